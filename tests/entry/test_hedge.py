from __future__ import annotations

import pytest

from entry.driver import Driver
from verbenaplank.protocol import work


def driver_with_usual_latencies(*agents: str, hedge_share: float = 1.0) -> Driver:
    driver = Driver(*agents, hedge_share=hedge_share)
    driver.record_usual_latencies()
    return driver


def test_slow_idempotent_request_is_hedged_on_another_agent() -> None:
    """A run is slower than usual; the second run succeeds and the first is revoked."""
    driver = driver_with_usual_latencies("a", "b")
    driver.submit(claimed=False, max_runs=2, deadline_s=99.0)

    driver.advance(0.05)
    assert len(driver.dispatches) == 1
    driver.advance(0.06)
    driver.advance(0.06)
    first, second = driver.dispatches
    driver.finish(1)

    assert first[0] != second[0]
    assert [dispatch.attempt for _, dispatch in driver.dispatches] == [1, 2]
    assert driver.completed["job"] == (b'"0"',)
    assert [revoke.dispatch_id for _, revoke in driver.revokes] == [
        first[1].dispatch_id
    ]


def test_failure_of_a_hedged_run_waits_for_the_other_run() -> None:
    """The second run fails while the first one is still in progress and succeeds."""
    driver = driver_with_usual_latencies("a", "b")
    driver.submit(claimed=False, max_runs=2, deadline_s=99.0)
    driver.advance(0.2)

    driver.finish(1, work.TaskOutcome.FAILED)
    assert driver.failed == {}
    driver.finish(0)

    assert driver.completed["job"] == (b'"0"',)


@pytest.mark.parametrize("changes", [{"max_runs": 1}, {"claimed": True}])
def test_request_limited_to_one_run_is_never_hedged(changes: dict[str, object]) -> None:
    """Hedging would run a request twice that may run only once."""
    driver = driver_with_usual_latencies("a", "b")
    driver.submit(deadline_s=99.0, **changes)

    driver.advance(5.0)

    assert len(driver.dispatches) == 1


def test_hedges_are_limited_by_the_budget() -> None:
    """All requests are slow at the same time; hedging each would double the load."""
    driver = driver_with_usual_latencies("a", "b", hedge_share=0.0)
    for number in range(6):
        driver.submit(f"late-{number}", claimed=False, max_runs=2, deadline_s=99.0)

    driver.advance(0.2)

    assert len(driver.dispatches) == 6 + 3


def test_request_is_not_hedged_without_another_agent() -> None:
    """A second run on the same slow agent would not help."""
    driver = driver_with_usual_latencies("a")
    driver.submit(claimed=False, max_runs=2, deadline_s=99.0)

    driver.advance(0.2)

    assert len(driver.dispatches) == 1


def test_unstarted_tasks_of_a_stalled_agent_are_revoked_and_moved_once() -> None:
    """An agent finishes nothing while another one is free.

    Its dispatches are revoked once each, and only those that have not started move.
    """
    driver = driver_with_usual_latencies("a")
    driver.submit(count=4, deadline_s=99.0)
    driver.join("b")

    for _ in range(8):
        driver.advance(0.25)
    assert [revoke.task_index for _, revoke in driver.revokes] == [0, 1, 2, 3]
    for index in range(4):
        started = index < 2
        state = (
            work.RevocationState.STARTED if started else work.RevocationState.REVOKED
        )
        driver.answer_revoke(index, state)

    moved = driver.dispatches[4:]
    assert [agent_id for agent_id, _ in moved] == ["b", "b"]
    assert [dispatch.task_index for _, dispatch in moved] == [2, 3]
