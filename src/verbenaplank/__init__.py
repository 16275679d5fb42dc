"""A dispatcher for sub-second tasks."""

from __future__ import annotations
