"""A seeded discrete-event loop: callbacks in order of their times."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventLoop:
    """Runs callbacks at simulated times; equal times keep their order."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back after a delay."""
        event = (self.now_s + delay_s, next(self._sequence), callback)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
