"""A backend server's clock, as its answers tell it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.clock.sources import MonotonicClock

MS_PER_S = 1_000.0


class BackendClock:
    """Estimates the clock from the newest answer; it runs slightly behind."""

    def __init__(self, clock: MonotonicClock) -> None:
        self._clock = clock
        self._reading_ms = 0
        self._read_at_s = clock()

    def update(self, clock_ms: int) -> None:
        """Take in the clock that an answer told."""
        self._reading_ms = clock_ms
        self._read_at_s = self._clock()

    def now_ms(self) -> int:
        """Return the estimated time of the backend server's clock."""
        return self._reading_ms + round((self._clock() - self._read_at_s) * MS_PER_S)
