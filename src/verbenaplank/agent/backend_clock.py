"""Estimates the clock of a backend server from the readings in its replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.clock.sources import MonotonicClock

MS_PER_S = 1_000.0


class BackendClock:
    """Estimate of a backend server's clock, based on the latest reading.

    The estimate is slightly behind, by the time that the reply took to arrive.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        self._clock = clock
        self._reading_ms = 0
        self._read_at_s = clock()

    def update(self, clock_ms: int) -> None:
        """Set the latest reading of the clock, in milliseconds."""
        self._reading_ms = clock_ms
        self._read_at_s = self._clock()

    def now_ms(self) -> int:
        """Return the estimated current time of the clock, in milliseconds."""
        return self._reading_ms + round((self._clock() - self._read_at_s) * MS_PER_S)
