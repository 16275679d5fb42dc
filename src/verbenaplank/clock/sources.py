"""Clock functions that adapters pass to the decisions."""

from __future__ import annotations

import time
from collections.abc import Callable

MonotonicClock = Callable[[], float]
"""Returns seconds on a clock that never goes back; its zero means nothing."""

WallClock = Callable[[], int]
"""Returns milliseconds since the Unix epoch."""


def monotonic_s() -> float:
    """Return the seconds of the machine's monotonic clock."""
    return time.monotonic()


def wall_clock_ms() -> int:
    """Return the milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000
