"""Names that fall due at a time."""

from __future__ import annotations

import heapq


class Timetable:
    """Holds names with the monotonic time at which each falls due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, name: str, due_s: float) -> None:
        """Add a name."""
        heapq.heappush(self._heap, (due_s, name))

    def take_due(self, now_s: float) -> list[str]:
        """Remove and return the names that are due, earliest first."""
        due: list[str] = []
        while self._heap and self._heap[0][0] <= now_s:
            due.append(heapq.heappop(self._heap)[1])
        return due
