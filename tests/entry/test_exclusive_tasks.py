from __future__ import annotations

import attrs

from entry.driver import Driver
from entry.messages import result
from verbenaplank.entry.disconnected_agents import RUNS_ENDED_AFTER_S
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.failure import RunState
from verbenaplank.protocol import work

FAILED = work.TaskOutcome.FAILED
LOST = work.TaskOutcome.CONNECTION_LOST
NOT_STARTED = work.TaskOutcome.NOT_STARTED
EXCLUSIVE = {"claimed": False, "exclusive": True, "max_runs": 2}


def test_exclusive_task_of_a_lost_agent_is_retried_after_its_leases_expired() -> None:
    """A lost agent's run goes on until its leases expire; runs must not overlap."""
    driver = Driver("a")
    driver.submit(**EXCLUSIVE)
    driver.join("b")
    driver.disconnect("a")
    driver.leave("a")

    driver.advance(RUNS_ENDED_AFTER_S - 0.1)
    assert len(driver.dispatches) == 1

    driver.advance(0.2)
    assert [agent_id for agent_id, _ in driver.dispatches] == ["a", "b"]
    assert driver.dispatches[1][1].attempt == 2


def test_exclusive_task_of_a_restarted_agent_is_retried_immediately() -> None:
    """A restarted agent connects only after it has ended all earlier runs."""
    driver = Driver("a")
    driver.submit(**EXCLUSIVE)
    driver.disconnect("a")
    driver.join("a", incarnation="2")
    assert [dispatch.attempt for _, dispatch in driver.dispatches] == [1, 2]


def test_only_failed_runs_count_against_the_limit_of_exclusive_tasks() -> None:
    """Lost and unstarted runs must not use up the runs of an exclusive task."""
    driver = Driver("a", "b")
    driver.submit(**EXCLUSIVE)
    for index, outcome in enumerate((LOST, NOT_STARTED, FAILED, LOST, FAILED)):
        assert not driver.failed
        driver.finish(index, outcome)
    assert driver.failed["job"].kind is FailureKind.TASK_FAILED


def test_exclusive_job_without_time_to_retry_exceeds_its_deadline() -> None:
    """A run fails after the deadline with runs left; the task has not failed."""
    driver = Driver("a", "b")
    driver.submit(**EXCLUSIVE, deadline_s=2.0)
    driver.now_s = 2.5
    driver.finish(0, FAILED)
    failure = driver.failed["job"]
    assert (failure.kind, failure.run) == (FailureKind.DEADLINE_EXCEEDED, RunState.RAN)


def test_exclusive_job_whose_run_never_started_has_not_run() -> None:
    """The backend server did not start the run, and no time is left for another."""
    driver = Driver("a")
    driver.submit(**EXCLUSIVE, deadline_s=2.0)
    driver.now_s = 2.5
    driver.finish(0, NOT_STARTED)
    assert driver.failed["job"].run is RunState.NOT_RUN


def test_exclusive_task_refused_by_a_full_agent_may_return_to_it() -> None:
    """The only agent is briefly full; avoiding it would leave the task queued."""
    driver = Driver("a")
    driver.submit(**EXCLUSIVE)
    driver.refuse(0, work.RefusalReason.FULL)
    assert [agent_id for agent_id, _ in driver.dispatches] == ["a", "a"]


def test_exclusive_task_is_never_hedged() -> None:
    """Hedging a slow exclusive task would make its runs overlap."""
    driver = Driver("a", "b")
    driver.record_usual_latencies()
    driver.submit(**EXCLUSIVE, deadline_s=99.0)
    for _ in range(20):
        driver.advance(0.1)
    assert len(driver.dispatches) == 1


def test_failed_runs_are_counted_per_task() -> None:
    """Two tasks of a job fail once each; a shared count would fail the job."""
    driver = Driver("a", "b")
    driver.submit(count=2, **EXCLUSIVE)
    driver.finish(0, FAILED)
    driver.finish(1, FAILED)
    again = driver.dispatches[2:]
    assert sorted(dispatch.task_index for _, dispatch in again) == [0, 1]
    for agent_id, dispatch in again:
        driver.receive(agent_id, work.FromAgent(results=(result(dispatch),)))
    assert "job" in driver.completed
    assert attrs.asdict(again[0][1])["attempt"] == 2


def test_exclusive_task_waits_when_the_last_agent_of_its_service_left() -> None:
    """The only agent of a service leaves and refuses the task it was sent."""
    driver = Driver("a")
    driver.submit(**EXCLUSIVE)
    driver.leave("a")
    driver.refuse(0)
    assert not driver.failed
    driver.join("b")
    assert [agent_id for agent_id, _ in driver.dispatches] == ["a", "b"]


def test_queued_job_leaves_when_it_can_no_longer_end_in_time() -> None:
    """Large jobs fill the only worker; the next job must not wait for its deadline."""
    driver = Driver("a", slots=1)
    driver.submit("large", count=3)
    driver.submit(
        "short", latest_start_s=driver.now_s + 1.0, deadline_s=driver.now_s + 3.0
    )
    driver.advance(0.9)
    assert "short" not in driver.failed
    driver.advance(0.2)
    failure = driver.failed["short"]
    assert (failure.kind, failure.run) == (FailureKind.OVERLOADED, RunState.NOT_RUN)


def test_job_that_started_in_time_keeps_running() -> None:
    driver = Driver("a", slots=1)
    driver.submit(latest_start_s=driver.now_s + 1.0, deadline_s=driver.now_s + 3.0)
    driver.advance(2.0)
    driver.finish(0)
    assert "job" in driver.completed


def test_task_that_avoids_the_only_free_agent_does_not_block_others() -> None:
    """A task failed at an agent, and the other agent is full."""
    driver = Driver("a", "b", slots=1)
    driver.submit("failed", **EXCLUSIVE)
    failed_on = driver.dispatches[0][0]
    driver.submit("long", **EXCLUSIVE)
    driver.finish(0, FAILED)
    assert len(driver.queue) == 1
    driver.submit("other", **EXCLUSIVE)
    assert driver.dispatches[-1][0] == failed_on
    assert driver.dispatches[-1][1].job_id == "other"
