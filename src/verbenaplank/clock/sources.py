"""Clock functions that the I/O code passes to decision-making code."""

from __future__ import annotations

import time
from collections.abc import Callable

MonotonicClock = Callable[[], float]
"""Function that returns seconds since a fixed, arbitrary time, never decreasing."""

WallClock = Callable[[], int]
"""Function that returns milliseconds since the Unix epoch."""


def monotonic_s() -> float:
    """Return the time since the machine booted, in seconds.

    The clock also runs while the machine is suspended, so that leases expire
    during the suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_clock_ms() -> int:
    """Return the current time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


def non_decreasing(wall_clock: WallClock) -> WallClock:
    """Return a clock that repeats its last time while the given one is behind it."""
    latest_ms = 0

    def read_ms() -> int:
        nonlocal latest_ms
        latest_ms = max(latest_ms, wall_clock())
        return latest_ms

    return read_ms
