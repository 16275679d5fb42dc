from __future__ import annotations

import pytest

from verbenaplank.overload.retry_after import MAX_RETRY_AFTER_S
from verbenaplank.overload.retry_after import MIN_RETRY_AFTER_S
from verbenaplank.overload.retry_after import retry_after_s

KEYS = [f"{number:016x}" for number in range(1_000)]


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_callers_that_were_refused_together_return_at_different_times(
    priority: int,
) -> None:
    """A data centre returns; all its callers are refused within the same second."""
    times_s = sorted(retry_after_s(2.0, priority, key) for key in KEYS)
    earliest_s = 2.0 * (1 + priority)
    assert earliest_s <= times_s[0] < times_s[-1] <= earliest_s + 2.0
    in_tenths = [int((time_s - earliest_s) / 0.2) for time_s in times_s]
    assert max(in_tenths.count(tenth) for tenth in range(10)) < 2 * len(KEYS) / 10


def test_urgent_callers_return_before_others() -> None:
    urgent = max(retry_after_s(1.5, 0, key) for key in KEYS)
    routine = min(retry_after_s(1.5, 1, key) for key in KEYS)
    assert urgent <= routine


@pytest.mark.parametrize("wait_s", [0.0, 0.3, 1.0, 4.0, 20.0, float("inf")])
def test_no_caller_returns_before_there_is_room(wait_s: float) -> None:
    for key in KEYS[:100]:
        time_s = retry_after_s(wait_s, 0, key)
        assert min(wait_s, MAX_RETRY_AFTER_S) <= time_s <= MAX_RETRY_AFTER_S
        assert time_s >= MIN_RETRY_AFTER_S
