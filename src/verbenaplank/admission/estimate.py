"""Early refusal of a request that cannot meet its deadline."""

from __future__ import annotations

import math

import attrs

RATE_WINDOW_S = 1.0
MIN_RETRY_AFTER_S = 0.05
WAIT_MARGIN = 2.0
"""A request is taken on if it meets its deadline with the wait this much longer."""


@attrs.frozen(kw_only=True)
class Estimate:
    """Whether a request can meet its deadline.

    Attributes
    ----------
    expected_s
        When its answer is expected, in seconds from now.
    retry_after_s
        When it could be admitted; 0 if it can be now.
    """

    feasible: bool
    expected_s: float
    retry_after_s: float = 0.0


class StartRate:
    """Starts a second of this entry, as a moving average."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_s = -math.inf

    def record_starts(self, now_s: float, tasks: int = 1) -> None:
        """Count starts."""
        decayed = self.per_s(now_s)
        self._rate_per_s = decayed + tasks / RATE_WINDOW_S
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the starts a second, older ones counting less."""
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
    """Estimate when a request would be answered if it were admitted now.

    Parameters
    ----------
    tasks
        Tasks of the request.
    tasks_ahead
        Queued tasks that leave before it.
    start_rate_per_s
        Recent starts of this entry a second.
    slots
        Slots of the service's backend servers, which all entries share.
    run_time_s
        Learned run time of one task.
    remaining_s
        Time to the request's deadline.
    """
    least_rate_per_s = 1.0 / run_time_s
    rate_per_s = max(start_rate_per_s, least_rate_per_s)
    waiting_s = tasks_ahead / rate_per_s
    rounds = math.ceil(tasks / max(slots, 1))
    expected_s = waiting_s + rounds * run_time_s
    late_s = expected_s + (WAIT_MARGIN - 1.0) * waiting_s
    if late_s <= remaining_s:
        return Estimate(feasible=True, expected_s=expected_s)
    retry_after_s = max((late_s - remaining_s) / WAIT_MARGIN, MIN_RETRY_AFTER_S)
    return Estimate(feasible=False, expected_s=expected_s, retry_after_s=retry_after_s)
