"""Clock functions that adapters pass to the decisions."""

from __future__ import annotations

import time
from collections.abc import Callable

MonotonicClock = Callable[[], float]
"""Returns seconds on a clock that never goes back; its zero means nothing."""

WallClock = Callable[[], int]
"""Returns milliseconds since the Unix epoch."""


def monotonic_s() -> float:
    """Return the seconds since the machine started.

    The clock goes on while the machine is suspended, so that leases lapse then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_clock_ms() -> int:
    """Return the milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000
