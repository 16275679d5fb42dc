from __future__ import annotations

import attrs

from entry.driver import Driver
from entry.messages import result
from verbenaplank.entry.disconnected_agents import RUNS_ENDED_AFTER_S
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.failure import Run
from verbenaplank.protocol import work

FAILED = work.TaskOutcome.FAILED
LOST = work.TaskOutcome.CONNECTION_LOST
NOT_STARTED = work.TaskOutcome.NOT_STARTED
EXCLUSIVE = {"claimed": False, "exclusive": True, "max_runs": 2}


def test_silent_agents_task_runs_again_only_once_its_run_must_be_over() -> None:
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


def test_restarted_agents_task_runs_again_at_once() -> None:
    """A new agent serves only after it has ended what ran before."""
    driver = Driver("a")
    driver.submit(**EXCLUSIVE)
    driver.disconnect("a")
    driver.join("a", incarnation="2")
    assert [dispatch.attempt for _, dispatch in driver.dispatches] == [1, 2]


def test_only_failed_runs_count_as_attempts() -> None:
    driver = Driver("a", "b")
    driver.submit(**EXCLUSIVE)
    for index, outcome in enumerate((LOST, NOT_STARTED, FAILED, LOST, FAILED)):
        assert not driver.failed
        driver.finish(index, outcome)
    assert driver.failed["job"].kind is FailureKind.TASK_FAILED


def test_job_without_time_for_another_run_is_not_told_to_have_failed() -> None:
    driver = Driver("a", "b")
    driver.submit(**EXCLUSIVE, deadline_s=2.0)
    driver.now_s = 2.5
    driver.finish(0, FAILED)
    failure = driver.failed["job"]
    assert (failure.kind, failure.run) == (FailureKind.DEADLINE_EXCEEDED, Run.RAN)


def test_refused_start_leaves_a_job_that_has_not_run() -> None:
    driver = Driver("a")
    driver.submit(**EXCLUSIVE, deadline_s=2.0)
    driver.now_s = 2.5
    driver.finish(0, NOT_STARTED)
    assert driver.failed["job"].run is Run.NOT_RUN


def test_task_that_found_no_room_may_return_to_the_same_agent() -> None:
    driver = Driver("a")
    driver.submit(**EXCLUSIVE)
    driver.refuse(0, work.RefusalReason.FULL)
    assert [agent_id for agent_id, _ in driver.dispatches] == ["a", "a"]


def test_exclusive_task_is_never_hedged() -> None:
    driver = Driver("a", "b")
    driver.learn()
    driver.submit(**EXCLUSIVE, deadline_s=99.0)
    for _ in range(20):
        driver.advance(0.1)
    assert len(driver.dispatches) == 1


def test_each_task_of_a_job_has_attempts_of_its_own() -> None:
    driver = Driver("a", "b")
    driver.submit(count=2, **EXCLUSIVE)
    driver.finish(0, FAILED)
    driver.finish(1, FAILED)
    again = driver.dispatches[2:]
    assert sorted(dispatch.task_index for _, dispatch in again) == [0, 1]
    for agent_id, dispatch in again:
        driver.say(agent_id, work.FromAgent(results=(result(dispatch),)))
    assert "job" in driver.completed
    assert attrs.asdict(again[0][1])["attempt"] == 2


def test_task_whose_service_has_left_waits_for_another_server() -> None:
    driver = Driver("a")
    driver.submit(**EXCLUSIVE)
    driver.leave("a")
    driver.refuse(0)
    assert not driver.failed
    driver.join("b")
    assert [agent_id for agent_id, _ in driver.dispatches] == ["a", "b"]
