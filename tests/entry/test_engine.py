from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest

from entry.driver import Driver
from entry.messages import result
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.failure import RunState
from verbenaplank.protocol import work

if TYPE_CHECKING:
    from collections.abc import Callable


def outcome_of(driver: Driver, job_id: str = "job") -> tuple[FailureKind, RunState]:
    failure = driver.failed[job_id]
    return failure.kind, failure.run


def test_results_out_of_order_are_answered_in_order() -> None:
    driver = Driver("a")
    driver.submit(count=3)

    for index in (2, 0, 1):
        driver.finish(index)

    assert driver.completed == {"job": (b'"0"', b'"1"', b'"2"')}


def test_duplicate_late_and_foreign_results_are_ignored_and_counted() -> None:
    driver = Driver("a", "b")
    driver.submit(count=2)
    agent_id, dispatch = driver.dispatches[0]
    other = "b" if agent_id == "a" else "a"
    foreign = attrs.evolve(dispatch, dispatch_id=dispatch.dispatch_id + 1000)
    mixed_up = attrs.evolve(dispatch, task_index=1)

    driver.say(agent_id, work.FromAgent(results=(result(foreign), result(mixed_up))))
    driver.say(other, work.FromAgent(results=(result(dispatch, output=b'"wrong"'),)))
    driver.finish(0)
    driver.finish(0, output=b'"again"')
    assert driver.completed == {}
    driver.finish(1)
    driver.finish(1, output=b'"late"')

    assert driver.completed == {"job": (b'"0"', b'"1"')}
    assert driver.engine.counts.ignored == 5


def test_tasks_wait_at_the_entry_while_agents_are_full() -> None:
    driver = Driver("a", slots=2)
    driver.submit(count=6)
    sent = len(driver.dispatches)

    driver.finish(0)

    assert sent < 6
    assert len(driver.queue) == 6 - sent - 1
    assert len(driver.dispatches) == sent + 1


def test_refused_dispatch_is_placed_elsewhere() -> None:
    driver = Driver("a", "b")
    driver.submit()
    first = driver.dispatches[0][0]

    driver.refuse(0)
    driver.finish(1)

    assert driver.dispatches[1][0] != first
    assert driver.dispatches[1][1].attempt == 1
    assert driver.completed == {"job": (b'"0"',)}


def test_agent_that_goes_on_refusing_is_asked_again_after_a_pause_only() -> None:
    driver = Driver("a")
    driver.submit()

    driver.refuse(0, work.RefusalReason.FULL)
    driver.refuse(1, work.RefusalReason.FULL)
    at_once = len(driver.dispatches)
    driver.advance(0.1)

    assert at_once == 2
    assert len(driver.dispatches) == 3


def test_job_fails_whole_when_one_task_fails() -> None:
    driver = Driver("a", slots=2)
    driver.submit(count=20)
    sent = len(driver.dispatches)
    driver.finish(0)

    driver.finish(1, work.TaskOutcome.FAILED)
    assert driver.failed == {}
    for index in range(2, len(driver.dispatches)):
        driver.answer_revoke(index, work.RevocationState.REVOKED)

    assert outcome_of(driver) == (FailureKind.TASK_FAILED, RunState.RAN)
    assert len(driver.dispatches) == sent + 1
    assert len(driver.queue) == 0
    assert driver.completed == {}


@pytest.mark.parametrize(
    ("state", "run"),
    [
        (work.RevocationState.REVOKED, RunState.NOT_RUN),
        (work.RevocationState.STARTED, RunState.RAN),
        (work.RevocationState.FINISHED, RunState.RAN),
        (None, RunState.MAY_HAVE_RUN),
    ],
)
@pytest.mark.parametrize("by_deadline", [True, False])
def test_cancelled_job_says_what_the_revocations_found(
    state: work.RevocationState | None, run: RunState, by_deadline: bool
) -> None:
    driver = Driver("a")
    driver.submit()
    if by_deadline:
        driver.advance(9.0)
    else:
        driver.cancel()
    assert [revoke.dispatch_id for _, revoke in driver.revokes] == [1]
    assert driver.failed == {}

    if state is not None:
        driver.answer_revoke(0, state)
    else:
        driver.advance(0.6)

    kind = FailureKind.DEADLINE_EXCEEDED if by_deadline else FailureKind.CANCELLED
    assert outcome_of(driver) == (kind, run)
    assert len(driver.stops) == (state is work.RevocationState.STARTED)


def test_queued_job_is_cancelled_at_once_as_not_run() -> None:
    driver = Driver()
    driver.submit(count=350)

    driver.cancel()
    driver.join("a")

    assert outcome_of(driver) == (FailureKind.CANCELLED, RunState.NOT_RUN)
    assert driver.dispatches == []


def test_wave_of_cancellations_leaves_the_other_jobs_whole() -> None:
    driver = Driver("a", "b", slots=4)
    for number in range(20):
        driver.submit(f"job-{number}", count=5)

    for number in range(0, 20, 2):
        driver.cancel(f"job-{number}")
    for index, (_, dispatch) in enumerate(driver.dispatches):
        if int(dispatch.job_id.removeprefix("job-")) % 2 == 0:
            driver.answer_revoke(index, work.RevocationState.REVOKED)
    finished = 0
    while finished < len(driver.dispatches):
        driver.finish(finished)
        finished += 1

    assert {f"job-{number}" for number in range(1, 20, 2)} == driver.completed.keys()
    assert {failure.run for failure in driver.failed.values()} == {RunState.NOT_RUN}
    assert len(driver.failed) == 10


@pytest.mark.parametrize(
    "lose",
    [
        lambda driver: (driver.disconnect("a"), driver.leave("a"), driver.join("b")),
        lambda driver: (driver.disconnect("a"), driver.join("a", incarnation="2")),
        lambda driver: driver.refuse(1, work.RefusalReason.ALREADY_STARTED),
    ],
    ids=["agent left", "agent restarted", "task had started before"],
)
def test_task_that_may_have_started_is_not_placed_again(
    lose: Callable[[Driver], object],
) -> None:
    driver = Driver("a")
    driver.submit(count=2)
    driver.finish(0)

    lose(driver)
    for index in range(len(driver.revokes)):
        driver.answer_revoke(index, work.RevocationState.REVOKED)

    assert outcome_of(driver) == (FailureKind.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN)
    assert [agent_id for agent_id, _ in driver.dispatches] == ["a", "a"]


def test_agent_that_left_may_still_deliver_over_its_open_stream() -> None:
    driver = Driver("a")
    driver.submit()

    driver.leave("a")
    driver.submit("later")
    driver.finish(0)

    assert driver.completed == {"job": (b'"0"',)}
    assert len(driver.dispatches) == 1


def test_broken_connection_revokes_before_a_task_is_placed_elsewhere() -> None:
    driver = Driver("a")
    driver.submit(count=3)
    driver.disconnect("a")
    driver.join("b")
    assert {agent_id for agent_id, _ in driver.dispatches} == {"a"}

    driver.connect("a")
    assert len(driver.revokes) == 3
    incarnations = {revoke.agent_incarnation for _, revoke in driver.revokes}
    assert incarnations == {driver.dispatches[0][1].agent_incarnation}
    driver.answer_revoke(0, work.RevocationState.REVOKED)
    driver.answer_revoke(1, work.RevocationState.STARTED)
    driver.answer_revoke(2, work.RevocationState.FINISHED)
    assert [agent_id for agent_id, _ in driver.dispatches] == ["a", "a", "a", "b"]
    for index in (1, 2, 3):
        driver.finish(index)

    assert driver.completed == {"job": (b'"0"', b'"1"', b'"2"')}


def test_lapsed_lease_answers_claimed_jobs_as_unknown_and_starts_no_more() -> None:
    driver = Driver("a", slots=1)
    driver.submit(count=5)
    driver.submit("free", claimed=False)
    sent = len(driver.dispatches)

    driver.lease_since_s = float("inf")
    driver.finish(0)
    driver.lease_since_s = driver.now_s
    driver.finish(1)

    assert outcome_of(driver) == (FailureKind.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN)
    assert {d.job_id for _, d in driver.dispatches[sent:]} == {"free"}


def test_lease_that_lapsed_and_was_renewed_unseen_counts_as_lapsed() -> None:
    driver = Driver("a")
    driver.submit()

    driver.now_s += 30.0
    driver.lease_since_s = driver.now_s - 1.0
    driver.finish(0)

    assert outcome_of(driver) == (FailureKind.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN)


def test_request_whose_claim_outlasted_lease_or_deadline_is_not_started() -> None:
    driver = Driver("a")
    driver.lease_since_s = 0.5
    driver.advance(0.0)

    driver.submit("lapsed", received_s=0.2)
    driver.submit("late", received_s=0.8, deadline_s=0.9)

    assert driver.dispatches == []
    assert outcome_of(driver, "lapsed")[0] is FailureKind.OUTCOME_UNKNOWN
    assert outcome_of(driver, "late") == (
        FailureKind.DEADLINE_EXCEEDED,
        RunState.NOT_RUN,
    )


@pytest.mark.parametrize("output", [b"", b"{", b'{"a": 1} 2', b'"\xff"'])
def test_output_that_is_no_json_fails_the_task(output: bytes) -> None:
    driver = Driver("a")
    driver.submit()

    driver.finish(0, output=output)

    assert outcome_of(driver) == (FailureKind.TASK_FAILED, RunState.RAN)


def test_idempotent_request_runs_again_up_to_its_limit() -> None:
    driver = Driver("a", "b", "c", "d")
    driver.submit(claimed=False, max_runs=3)

    driver.finish(0, work.TaskOutcome.FAILED)
    driver.disconnect(driver.dispatches[1][0])
    driver.leave(driver.dispatches[1][0])
    driver.finish(2, work.TaskOutcome.CONNECTION_LOST)

    assert [dispatch.attempt for _, dispatch in driver.dispatches] == [1, 2, 3]
    assert len({agent_id for agent_id, _ in driver.dispatches}) == 3
    assert outcome_of(driver) == (FailureKind.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN)


def test_retries_stay_within_the_budget() -> None:
    driver = Driver("a", "b", slots=20, retry_share=0.0)
    for number in range(10):
        driver.submit(f"job-{number}", claimed=False, max_runs=2)

    for index in range(10):
        driver.finish(index, work.TaskOutcome.FAILED)

    assert len(driver.dispatches) + len(driver.queue) == 13
    assert len(driver.failed) == 7


def test_stop_fails_what_is_left_with_what_is_known() -> None:
    driver = Driver("a", slots=1)
    driver.submit("sent")
    driver.submit("queued", count=9)

    driver.engine.stop(driver.now_s)
    for index in range(len(driver.dispatches)):
        driver.answer_revoke(index, work.RevocationState.REVOKED)

    assert {failure.run for failure in driver.failed.values()} == {RunState.NOT_RUN}
    assert driver.failed.keys() == {"sent", "queued"}
