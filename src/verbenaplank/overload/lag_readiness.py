"""Decides when an entry whose event loop lags reports not ready.

Load pattern: callers keep their connections, so one entry gets more of the traffic than
its processor can handle while others have time left.  The load balancer then sends new
connections to these.

An entry reports not ready for at least ``MIN_NOT_READY_S``, so that the load balancer
notices, and for at most ``MAX_NOT_READY_S``, whatever its lag.  After that it reports
ready for at least ``MIN_READY_S``.  So no time in which all entries report not ready is
longer than ``MAX_NOT_READY_S``, even if all lag at once; a random delay keeps them from
leaving together.  New requests are refused meanwhile as before.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenaplank.overload.loop_lag import MAX_LAG_S

if TYPE_CHECKING:
    from collections.abc import Callable

LAG_TO_LEAVE_S = MAX_LAG_S
LAG_TO_RETURN_S = 0.1
"""Lag below which the entry has time left; between the two limits nothing changes."""

MAX_LEAVE_DELAY_S = 3.0
"""Longest random delay between a lag and the report; as long as an absence."""

MIN_NOT_READY_S = 2.5
"""A load balancer notices in this time by two failed checks, a second apart."""

MAX_NOT_READY_S = 4.0
MIN_READY_S = 12.0
"""Three times the longest absence, so that an entry is away a quarter of the time."""


class LagReadiness:
    """Whether an entry reports ready in spite of the lag of its event loop.

    Parameters
    ----------
    random
        Returns a random number from 0 to 1.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._ready = True
        self._changed_s = -math.inf
        self._leave_s = math.inf

    def update(self, lag_s: float, now_s: float) -> bool:
        """Return whether the entry reports ready, given its lag at a monotonic time."""
        since_s = now_s - self._changed_s
        if not self._ready:
            has_recovered = lag_s < LAG_TO_RETURN_S and since_s >= MIN_NOT_READY_S
            if has_recovered or since_s >= MAX_NOT_READY_S:
                self._change(now_s)
            return self._ready
        if lag_s < LAG_TO_RETURN_S or since_s < MIN_READY_S:
            self._leave_s = math.inf
        elif self._leave_s < math.inf:
            if now_s >= self._leave_s:
                self._change(now_s)
        elif lag_s > LAG_TO_LEAVE_S:
            self._leave_s = now_s + MAX_LEAVE_DELAY_S * self._random()
        return self._ready

    def _change(self, now_s: float) -> None:
        self._ready = not self._ready
        self._changed_s = now_s
        self._leave_s = math.inf
