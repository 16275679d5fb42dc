"""The commands of ``verbena``, one module each."""

from __future__ import annotations
