"""Reserves a share of the starts for each lower priority while its jobs wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

LOWER_PRIORITY_SHARE = 0.1
"""Share of the started work that is reserved for each lower priority.

It keeps a lower priority from being starved, and higher ones lose no more than it."""

MAX_RESERVED_TASKS = 2.0
"""Largest number of tasks whose reserved work accumulates while none can be used."""


class PriorityShares:
    """Work, in core seconds, that is owed to each priority."""

    def __init__(self) -> None:
        self._owed_core_s: dict[int, float] = {}

    def record_start(self, core_s: float, waiting: Iterable[tuple[int, float]]) -> None:
        """Reserve work for the priorities that had to wait for a start.

        Parameters
        ----------
        core_s
            Work of the task that starts.
        waiting
            The lower priorities with queued jobs, and the work of a task of each.
        """
        for priority, task_core_s in waiting:
            owed = self._owed_core_s.get(priority, 0.0) + LOWER_PRIORITY_SHARE * core_s
            self._owed_core_s[priority] = min(owed, MAX_RESERVED_TASKS * task_core_s)

    def is_owed(self, priority: int, core_s: float) -> bool:
        """Return whether a task of a priority may start before higher priorities."""
        return 0.0 < core_s <= self._owed_core_s.get(priority, 0.0)

    def charge(self, priority: int, core_s: float) -> None:
        """Record that such a task has started."""
        self._owed_core_s[priority] -= core_s
