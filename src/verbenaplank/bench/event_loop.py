"""Event loop of a discrete-event simulation."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventLoop:
    """Simulated clock that runs scheduled callbacks in order of time.

    Callbacks for the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback to run after a delay of simulated time."""
        event = (self.now_s + delay_s, next(self._sequence), callback)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Run the callbacks that are due up to and including a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
