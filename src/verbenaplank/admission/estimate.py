"""Estimates for the early refusal of requests that cannot meet their deadline."""

from __future__ import annotations

import math

import attrs

RATE_WINDOW_S = 1.0
MIN_RETRY_AFTER_S = 0.05
WAIT_MARGIN = 2.0
"""A request is feasible if it meets its deadline with this multiple of its wait."""


@attrs.frozen(kw_only=True)
class Estimate:
    """Estimate of whether a request can meet its deadline.

    Attributes
    ----------
    expected_s
        Time until the request is expected to be answered, in seconds.
    retry_after_s
        Time after which it may become feasible, in seconds; 0 if it is feasible.
    """

    feasible: bool
    expected_s: float
    retry_after_s: float = 0.0


class StartRate:
    """Moving average of an entry's starts per second, with exponential decay."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_s = -math.inf

    def record_starts(self, now_s: float, tasks: int = 1) -> None:
        """Add starts at a monotonic time, in seconds."""
        decayed = self.per_s(now_s)
        self._rate_per_s = decayed + tasks / RATE_WINDOW_S
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the average starts per second at a monotonic time, in seconds."""
        age_s = max(0.0, now_s - self._updated_s)
        return self._rate_per_s * math.exp(-age_s / RATE_WINDOW_S)


def estimate(
    *,
    tasks: int,
    tasks_ahead: int,
    start_rate_per_s: float,
    slots: int,
    run_time_s: float,
    remaining_s: float,
) -> Estimate:
    """Estimate whether a request would meet its deadline if it were admitted now.

    Parameters
    ----------
    tasks
        Tasks of the request.
    tasks_ahead
        Queued tasks that leave the queue before those of the request.
    start_rate_per_s
        Recent starts of this entry per second.
    slots
        Slots of the service's backend servers, which all entries share.
    run_time_s
        Expected run time of one task, in seconds.
    remaining_s
        Time to the request's deadline, in seconds.
    """
    min_rate_per_s = 1.0 / run_time_s
    rate_per_s = max(start_rate_per_s, min_rate_per_s)
    waiting_s = tasks_ahead / rate_per_s
    rounds = math.ceil(tasks / max(slots, 1))
    expected_s = waiting_s + rounds * run_time_s
    pessimistic_s = expected_s + (WAIT_MARGIN - 1.0) * waiting_s
    if pessimistic_s <= remaining_s:
        return Estimate(feasible=True, expected_s=expected_s)
    retry_after_s = max((pessimistic_s - remaining_s) / WAIT_MARGIN, MIN_RETRY_AFTER_S)
    return Estimate(feasible=False, expected_s=expected_s, retry_after_s=retry_after_s)
