"""Decides which changes of an agent's load are reported to entries at once.

While several more tasks fit, an old report misleads no entry, so the change is sent
with the next reply or periodic report.  When the worker is nearly full, each change
decides whether entries send it a task or keep one waiting.
"""

from __future__ import annotations

import math

import attrs

NEARLY_FULL_HEADROOM = 2
"""A worker that can take fewer further tasks than this is nearly full."""


@attrs.define
class ReportPacing:
    """Remembers the headroom that was reported last."""

    _reported_headroom: int = NEARLY_FULL_HEADROOM

    def is_due(self, headroom: float) -> bool:
        """Return whether a change must be reported at once, and record the report.

        Parameters
        ----------
        headroom
            How many further tasks fit beside those on the worker.
        """
        rounded = min(NEARLY_FULL_HEADROOM, math.floor(headroom))
        if rounded == self._reported_headroom:
            return False
        self._reported_headroom = rounded
        return True
