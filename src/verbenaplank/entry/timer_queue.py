"""A queue of items ordered by due time."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")


class TimerQueue(Generic[Item]):
    """Holds items, each with the monotonic time at which it is due, in seconds."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Item]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, item: Item, due_s: float) -> None:
        """Add an item that is due at ``due_s``."""
        heapq.heappush(self._heap, (due_s, next(self._sequence), item))

    def pop_due(self, now_s: float) -> list[Item]:
        """Remove and return the items that are due, earliest first."""
        due: list[Item] = []
        while self._heap and self._heap[0][0] <= now_s:
            due.append(heapq.heappop(self._heap)[2])
        return due
