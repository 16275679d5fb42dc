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


def test_results_are_returned_in_task_order() -> None:
    """Results arrive in another order than the tasks of the job."""
    driver = Driver("a")
    driver.submit(count=3)

    for index in (2, 0, 1):
        driver.finish(index)

    assert driver.completed == {"job": (b'"0"', b'"1"', b'"2"')}


def test_results_without_open_dispatch_are_ignored_and_counted() -> None:
    """An agent repeats a result or sends one for a dispatch that is not its own."""
    driver = Driver("a", "b")
    driver.submit(count=2)
    agent_id, dispatch = driver.dispatches[0]
    other = "b" if agent_id == "a" else "a"
    foreign = attrs.evolve(dispatch, dispatch_id=dispatch.dispatch_id + 1000)
    mixed_up = attrs.evolve(dispatch, task_index=1)

    driver.receive(
        agent_id, work.FromAgent(results=(result(foreign), result(mixed_up)))
    )
    driver.receive(
        other, work.FromAgent(results=(result(dispatch, output=b'"wrong"'),))
    )
    driver.finish(0)
    driver.finish(0, output=b'"again"')
    assert driver.completed == {}
    driver.finish(1)
    driver.finish(1, output=b'"late"')

    assert driver.completed == {"job": (b'"0"', b'"1"')}
    assert driver.engine.counts.ignored == 5


def test_tasks_stay_queued_while_agents_are_full() -> None:
    """Dispatching more tasks than the agents have slots would only move the queue."""
    driver = Driver("a", slots=2)
    driver.submit(count=6)
    sent = len(driver.dispatches)

    driver.finish(0)

    assert sent < 6
    assert len(driver.queue) == 6 - sent - 1
    assert len(driver.dispatches) == sent + 1


def test_refused_dispatch_is_requeued_to_another_agent() -> None:
    """A refused dispatch never ran, so its task moves under the same attempt."""
    driver = Driver("a", "b")
    driver.submit()
    first = driver.dispatches[0][0]

    driver.refuse(0)
    driver.finish(1)

    assert driver.dispatches[1][0] != first
    assert driver.dispatches[1][1].attempt == 1
    assert driver.completed == {"job": (b'"0"',)}


def test_second_refusal_by_the_same_agent_delays_the_task() -> None:
    """The only agent keeps refusing; without a delay the entry would loop."""
    driver = Driver("a")
    driver.submit()

    driver.refuse(0, work.RefusalReason.FULL)
    driver.refuse(1, work.RefusalReason.FULL)
    at_once = len(driver.dispatches)
    driver.advance(0.1)

    assert at_once == 2
    assert len(driver.dispatches) == 3


def test_delayed_task_of_a_cancelled_job_is_not_requeued() -> None:
    """Its job ends during the delay; the task would stay queued for ever."""
    driver = Driver("a")
    driver.submit()
    driver.refuse(0, work.RefusalReason.FULL)
    driver.refuse(1, work.RefusalReason.FULL)

    driver.cancel()
    driver.leave("a")
    driver.advance(0.1)

    assert len(driver.queue) == 0


def test_failed_task_fails_the_whole_job() -> None:
    """One task of a job fails; its other tasks must be dequeued or revoked."""
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
def test_failure_reports_what_the_revocations_found(
    state: work.RevocationState | None, run: RunState, by_deadline: bool
) -> None:
    """A job is cancelled or times out with a dispatch outstanding.

    The failure must wait for the agent's reply and then say whether the task ran, or
    that it may have run if no reply arrives in time.
    """
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


def test_cancelled_job_without_dispatches_has_not_run() -> None:
    """A job is cancelled while queued; it must not start when an agent joins."""
    driver = Driver()
    driver.submit(count=350)

    driver.cancel()
    driver.join("a")

    assert outcome_of(driver) == (FailureKind.CANCELLED, RunState.NOT_RUN)
    assert driver.dispatches == []


def test_mass_cancellation_does_not_affect_other_jobs() -> None:
    """Every second of many jobs is cancelled while all compete for the same slots."""
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
def test_task_that_may_have_started_is_not_requeued(
    lose: Callable[[Driver], object],
) -> None:
    """A task would run twice if it were requeued after its agent was lost.

    The agent leaves, restarts, or reports that an earlier dispatch had started.
    """
    driver = Driver("a")
    driver.submit(count=2)
    driver.finish(0)

    lose(driver)
    for index in range(len(driver.revokes)):
        driver.answer_revoke(index, work.RevocationState.REVOKED)

    assert outcome_of(driver) == (FailureKind.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN)
    assert [agent_id for agent_id, _ in driver.dispatches] == ["a", "a"]


def test_results_of_a_departed_agent_are_accepted_on_its_open_stream() -> None:
    """An agent leaves the membership while a task runs and its stream stays open."""
    driver = Driver("a")
    driver.submit()

    driver.leave("a")
    driver.submit("later")
    driver.finish(0)

    assert driver.completed == {"job": (b'"0"',)}
    assert len(driver.dispatches) == 1


def test_reconnected_agent_must_confirm_revocation_before_tasks_move() -> None:
    """A stream breaks, and the entry can't know which dispatches have started.

    A task may go to another agent only after the first one has confirmed its
    revocation.
    """
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


def test_lapsed_lease_fails_claimed_jobs_as_outcome_unknown() -> None:
    """The lease lapses during a claimed job, which another entry may then answer.

    Jobs without a claim are not affected.
    """
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


def test_lease_lapse_between_two_events_is_detected() -> None:
    """The lease lapses and is renewed between two events, so it is valid at both."""
    driver = Driver("a")
    driver.submit()

    driver.now_s += 30.0
    driver.lease_since_s = driver.now_s - 1.0
    driver.finish(0)

    assert outcome_of(driver) == (FailureKind.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN)


def test_request_is_not_started_if_its_claim_took_too_long() -> None:
    """The lease lapses or the deadline passes while the claim is in progress."""
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
def test_output_that_is_not_json_fails_the_task(output: bytes) -> None:
    """A backend server returns bytes that would make the response invalid JSON."""
    driver = Driver("a")
    driver.submit()

    driver.finish(0, output=output)

    assert outcome_of(driver) == (FailureKind.TASK_FAILED, RunState.RAN)


def test_idempotent_request_is_retried_up_to_its_limit() -> None:
    """Runs of an idempotent request fail or are lost until none is left."""
    driver = Driver("a", "b", "c", "d")
    driver.submit(claimed=False, max_runs=3)

    driver.finish(0, work.TaskOutcome.FAILED)
    driver.disconnect(driver.dispatches[1][0])
    driver.leave(driver.dispatches[1][0])
    driver.finish(2, work.TaskOutcome.CONNECTION_LOST)

    assert [dispatch.attempt for _, dispatch in driver.dispatches] == [1, 2, 3]
    assert len({agent_id for agent_id, _ in driver.dispatches}) == 3
    assert outcome_of(driver) == (FailureKind.OUTCOME_UNKNOWN, RunState.MAY_HAVE_RUN)


def test_retries_are_limited_by_the_budget() -> None:
    """All requests fail at the same time; retrying each would double the load."""
    driver = Driver("a", "b", slots=20, retry_share=0.0)
    for number in range(10):
        driver.submit(f"job-{number}", claimed=False, max_runs=2)

    for index in range(10):
        driver.finish(index, work.TaskOutcome.FAILED)

    assert len(driver.dispatches) + len(driver.queue) == 13
    assert len(driver.failed) == 7


def test_stop_fails_all_jobs_with_their_run_state() -> None:
    """The engine stops with one job dispatched and another one queued."""
    driver = Driver("a", slots=1)
    driver.submit("sent")
    driver.submit("queued", count=9)

    driver.engine.stop(driver.now_s)
    for index in range(len(driver.dispatches)):
        driver.answer_revoke(index, work.RevocationState.REVOKED)

    assert {failure.run for failure in driver.failed.values()} == {RunState.NOT_RUN}
    assert driver.failed.keys() == {"sent", "queued"}
