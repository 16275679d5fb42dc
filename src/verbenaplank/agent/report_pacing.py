"""Decides which changes of an agent's load are reported to entries at once.

While several rooms are free, an old report misleads no entry, so the change is told
with the next reply or periodic report.  When the worker is nearly full, each change
decides whether entries send it a task or keep one waiting.
"""

from __future__ import annotations

import math

import attrs

NEARLY_FULL_ROOMS = 2
"""A worker with fewer free rooms than this is nearly full."""


@attrs.define
class ReportPacing:
    """Remembers the number of free rooms that was reported last."""

    _reported_rooms: int = NEARLY_FULL_ROOMS

    def is_due(self, free_rooms: float) -> bool:
        """Return whether a change must be reported at once, and record the report.

        Parameters
        ----------
        free_rooms
            How many further tasks fit beside those on the worker.
        """
        rooms = min(NEARLY_FULL_ROOMS, math.floor(free_rooms))
        if rooms == self._reported_rooms:
            return False
        self._reported_rooms = rooms
        return True
