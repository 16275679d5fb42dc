"""Commands of ``verbena``, one module for each command or group."""

from __future__ import annotations
