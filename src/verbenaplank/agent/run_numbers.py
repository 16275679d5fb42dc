"""Allocates increasing numbers for the runs of each task."""

from __future__ import annotations

from collections import OrderedDict

MAX_REMEMBERED_TASKS = 20_000


class RunNumbers:
    """Highest run number of each task, for the most recently started tasks."""

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()

    def next(self, task: str, at_least: int) -> int:
        """Return a run number that is higher than all earlier ones of a task.

        Parameters
        ----------
        at_least
            Lowest number to return.
        """
        number = max(at_least, self._highest.pop(task, 0) + 1)
        self._highest[task] = number
        if len(self._highest) > MAX_REMEMBERED_TASKS:
            self._highest.popitem(last=False)
        return number
