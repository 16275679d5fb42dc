"""Allocates increasing numbers for the runs of each task."""

from __future__ import annotations

from collections import OrderedDict

MAX_RETAINED_TASKS = 20_000
"""With more tasks, the numbers of the least recently started ones are dropped."""


class RunNumbers:
    """Highest run number of each task, for the most recently started tasks."""

    def __init__(self) -> None:
        self._highest_numbers: OrderedDict[str, int] = OrderedDict()

    def next(self, task: str, at_least: int) -> int:
        """Return a run number that is higher than all earlier ones of a task.

        Parameters
        ----------
        at_least
            Lowest number to return.
        """
        number = max(at_least, self._highest_numbers.pop(task, 0) + 1)
        self._highest_numbers[task] = number
        if len(self._highest_numbers) > MAX_RETAINED_TASKS:
            self._highest_numbers.popitem(last=False)
        return number
