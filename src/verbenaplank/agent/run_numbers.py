"""Numbers of a task's runs, which only rise."""

from __future__ import annotations

from collections import OrderedDict

MAX_REMEMBERED_TASKS = 20_000


class RunNumbers:
    """The highest run of each task here, for as long as memory allows."""

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()

    def next(self, task: str, at_least: int) -> int:
        """Return a number above all that were given out for a task."""
        number = max(at_least, self._highest.pop(task, 0) + 1)
        self._highest[task] = number
        if len(self._highest) > MAX_REMEMBERED_TASKS:
            self._highest.popitem(last=False)
        return number
