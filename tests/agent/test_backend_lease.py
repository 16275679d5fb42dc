from __future__ import annotations

import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenaplank.agent.backend_lease import BackendLease
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import RestartFoundError

LEASE_S = 1.0
SLOW_CLOCK_FACTOR = 1.02


@attrs.define
class Clock:
    now_s: float = 100.0
    limit_s: float = math.inf

    def read(self) -> float:
        return self.now_s

    def limit(self) -> float:
        return self.limit_s


def make_lease(clock: Clock) -> BackendLease:
    lease = BackendLease(LEASE_S, clock.read, clock.limit)
    lease.update_clock(round(clock.now_s * 1_000))
    return lease


def test_extension_that_was_not_sent_keeps_that_of_a_concurrent_request() -> None:
    """Both began at one lease, to which the failure of the first one returned.

    The runs then counted as ended before the lease of the second one had expired.
    """
    clock = Clock()
    lease = make_lease(clock)

    def fail_to_send() -> None:
        with lease.extend():
            clock.now_s += 0.5
            with lease.extend():
                pass
            raise NotSentError("refused")

    with pytest.raises(NotSentError):
        fail_to_send()
    assert lease.left_s >= LEASE_S


@pytest.mark.parametrize("error", [NotSentError("refused"), RestartFoundError()])
def test_extension_that_was_not_sent_leaves_nothing_to_a_later_life(
    error: Exception,
) -> None:
    """A start that found a restart kept the next life out of use for up to 60 s."""
    lease = make_lease(Clock())
    with pytest.raises(type(error)), lease.extend():
        raise error
    assert lease.unanswered is None
    with pytest.raises(CallFailedError), lease.extend():
        raise CallFailedError("lost")
    assert lease.unanswered is not None


OUTCOMES = st.sampled_from([None, CallFailedError("lost"), NotSentError("refused")])
STEPS = st.tuples(st.floats(0.0, 0.5), st.floats(-0.2, 1.5), OUTCOMES)


@given(st.lists(STEPS, max_size=20))
def test_lease_keeps_its_limit_and_covers_all_that_was_granted(
    steps: list[tuple[float, float, Exception | None]],
) -> None:
    """A request that got no answer may have extended the lease."""
    clock = Clock()
    lease = make_lease(clock)
    granted_until_s = 0.0
    for pause_s, limit_s, outcome in steps:
        clock.now_s += pause_s
        clock.limit_s = clock.now_s + limit_s
        try:
            with lease.extend() as deadline_ms:
                if outcome is not None:
                    raise outcome
        except (CallFailedError, NotSentError):
            pass
        if deadline_ms is None:
            continue
        assert deadline_ms / 1_000 <= clock.limit_s + 0.001
        assert deadline_ms / 1_000 <= clock.now_s + LEASE_S + 0.001
        if not isinstance(outcome, NotSentError):
            span_s = deadline_ms / 1_000 - clock.now_s
            slow_until_s = clock.now_s + span_s * SLOW_CLOCK_FACTOR
            granted_until_s = max(granted_until_s, slow_until_s)
        assert clock.now_s + lease.left_s >= granted_until_s - 1e-6
