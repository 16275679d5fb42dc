"""How much longer the backend server stays slow, counted down between its reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.clock.sources import MonotonicClock

MS_PER_S = 1_000.0


class ColdCountdown:
    """The cold time of the backend server that reported last.

    Parameters
    ----------
    clock
        Monotonic clock of this process.

    Attributes
    ----------
    span_ms
        Duration of the whole cold time, in milliseconds; 0 before the first.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        self._clock = clock
        self._until_s = float("-inf")
        self.span_ms = 0.0

    def record(self, remaining_ms: float) -> bool:
        """Apply a report; return whether a cold time has begun or ended with it."""
        was_cold = self.remaining_ms() > 0.0
        if remaining_ms <= 0.0:
            self._until_s = float("-inf")
            return was_cold
        self.span_ms = max(remaining_ms, self.span_ms if was_cold else 0.0)
        self._until_s = self._clock() + remaining_ms / MS_PER_S
        return not was_cold

    def remaining_ms(self) -> float:
        """Return the milliseconds that are left of the cold time."""
        return max(0.0, (self._until_s - self._clock()) * MS_PER_S)
