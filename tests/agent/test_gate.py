from __future__ import annotations

import attrs
import pytest

from verbenaplank.agent.effects import Effect
from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.effects import Reply
from verbenaplank.agent.effects import StartRun
from verbenaplank.agent.effects import StopRun
from verbenaplank.agent.gate import Gate
from verbenaplank.agent.gate_limits import GateLimits
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import DispatchRefusal
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import Revocation
from verbenaplank.protocol.work import RevocationState
from verbenaplank.protocol.work import Revoke
from verbenaplank.protocol.work import Stop
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import TaskResult

ENTRY = EntryKey("e1", "1")
OTHER = EntryKey("e2", "1")
LIMITS = GateLimits(slots=1, max_queued_tasks=2, retention_s=300.0)
BUDGET_S = 1.0
LEASE_S = 2.0


def _dispatch(number: int, index: int = 0, *, urgent: bool = False) -> Dispatch:
    return Dispatch(
        job_id="job",
        task_index=index,
        dispatch_id=number,
        agent_incarnation="a1",
        service="draw",
        payload=b"{}",
        start_budget_ms=BUDGET_S * 1_000,
        run_budget_ms=1_000.0,
        urgent=urgent,
    )


def _revoke(number: int, index: int = 0) -> Revoke:
    return Revoke(dispatch_id=number, job_id="job", task_index=index)


def _result(number: int, index: int = 0) -> TaskResult:
    return TaskResult(
        job_id="job",
        task_index=index,
        dispatch_id=number,
        outcome=TaskOutcome.SUCCEEDED,
        output=b"1",
    )


def _gate(slots: int = 1) -> Gate:
    gate = Gate("a1", frozenset({"draw"}), attrs.evolve(LIMITS, slots=slots))
    for entry in (ENTRY, OTHER):
        gate.on_hello(entry, 0.0)
        gate.on_renewal(entry, LEASE_S, 0.0)
    return gate


def _busy_gate() -> Gate:
    """Return a gate with one slot where dispatch 1 runs and dispatch 2 is queued."""
    gate = _gate()
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    gate.on_dispatch(ENTRY, _dispatch(2, 1), 0.0)
    assert _start(gate) == [1]
    return gate


def _reasons(effects: list[Effect]) -> list[RefusalReason]:
    items = [effect.item for effect in effects if isinstance(effect, Reply)]
    return [item.reason for item in items if isinstance(item, DispatchRefusal)]


def _states(effects: list[Effect]) -> list[RevocationState]:
    items = [effect.item for effect in effects if isinstance(effect, Reply)]
    return [item.state for item in items if isinstance(item, Revocation)]


def _reserve(gate: Gate) -> list[StartRun]:
    return [each for each in gate.assign_slots(0.0) if isinstance(each, StartRun)]


def _start(gate: Gate) -> list[int]:
    starts = _reserve(gate)
    assert all(gate.confirm_start(start, 0.0).allowed for start in starts)
    return [start.dispatch.dispatch_id for start in starts]


def test_urgent_dispatch_starts_before_routine_ones() -> None:
    """An urgent dispatch that arrives last takes the first free slot."""
    gate = _gate(slots=2)
    gate.on_dispatch(ENTRY, _dispatch(1, 0), 0.0)
    gate.on_dispatch(ENTRY, _dispatch(2, 1), 0.0)
    gate.on_dispatch(ENTRY, _dispatch(3, 2, urgent=True), 0.0)

    assert _start(gate) == [3, 1]
    assert gate.load().queued == 1


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"agent_incarnation": "a0"}, RefusalReason.WRONG_INCARNATION),
        ({"service": "other"}, RefusalReason.UNKNOWN_SERVICE),
        ({"start_budget_ms": -1.0}, RefusalReason.BUDGET_SPENT),
    ],
)
def test_unacceptable_dispatch_is_refused_permanently(
    change: dict[str, object], reason: RefusalReason
) -> None:
    """A refused dispatch must not start if it is delivered again without the fault."""
    gate = _gate()
    refused = gate.on_dispatch(ENTRY, attrs.evolve(_dispatch(1), **change), 0.0)
    again = gate.on_dispatch(ENTRY, _dispatch(1), 0.0)

    assert _reasons(refused) == [reason]
    assert _reasons(again) == [RefusalReason.REVOKED]
    assert gate.assign_slots(0.0) == []


def test_dispatch_is_refused_when_the_queue_is_full() -> None:
    """With one slot and a queue of two, the fourth dispatch is refused."""
    gate = _gate()
    effects = [gate.on_dispatch(ENTRY, _dispatch(n, n), 0.0) for n in range(4)]

    assert [_reasons(each) for each in effects] == [[], [], [], [RefusalReason.FULL]]


def test_start_budget_is_checked_when_a_slot_is_assigned() -> None:
    """A dispatch whose start budget ran out in the queue must not start."""
    gate = _gate()
    gate.on_renewal(ENTRY, 60.0, 0.0)
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)

    assert _reasons(gate.assign_slots(BUDGET_S + 0.1)) == [RefusalReason.BUDGET_SPENT]


def test_lease_is_checked_when_a_slot_is_assigned() -> None:
    """A dispatch whose entry lost its lease during the wait must not start."""
    gate = _gate()
    long_budget = attrs.evolve(_dispatch(1), start_budget_ms=1e9)
    gate.on_dispatch(ENTRY, long_budget, 0.0)

    late_s = LEASE_S + 0.1
    assert _reasons(gate.assign_slots(late_s)) == [RefusalReason.LEASE_EXPIRED]
    assert _reasons(gate.on_dispatch(ENTRY, _dispatch(2, 1), late_s)) == [
        RefusalReason.LEASE_EXPIRED
    ]


def test_second_dispatch_of_a_started_task_is_refused() -> None:
    """A task must not start twice, whichever entry dispatches it again, and when."""
    gate = _gate()
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    _start(gate)
    from_other_entry = gate.on_dispatch(OTHER, _dispatch(1), 0.0)
    gate.on_finished("job/0/1", _result(1), 0.0)
    later = gate.on_dispatch(ENTRY, _dispatch(2), 1.0)

    assert _reasons(from_other_entry) == [RefusalReason.ALREADY_STARTED]
    assert _reasons(later) == [RefusalReason.ALREADY_STARTED]
    assert gate.assign_slots(1.0) == []


def test_duplicate_dispatch_starts_once_and_gets_the_result_again() -> None:
    """A dispatch that is delivered twice must not start twice."""
    gate = _gate()
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    assert _start(gate) == [1]
    gate.on_finished("job/0/1", _result(1), 0.0)

    again = gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    assert again == [Reply(ENTRY, _result(1))]


def test_revocation_reports_whether_the_task_started() -> None:
    """An entry may dispatch a revoked task elsewhere, so it must never have started."""
    gate = _busy_gate()

    started = gate.on_revoke(ENTRY, _revoke(1), 0.0)
    revoked = gate.on_revoke(ENTRY, _revoke(2, 1), 0.0)
    gate.on_finished("job/0/1", _result(1), 0.0)
    finished = gate.on_revoke(ENTRY, _revoke(1), 0.0)

    assert _states(started) == [RevocationState.STARTED]
    assert _states(revoked) == [RevocationState.REVOKED]
    assert _states(finished) == [RevocationState.FINISHED]
    assert finished[1:] == [Reply(ENTRY, _result(1))]
    assert gate.assign_slots(0.0) == []


def test_dispatch_that_arrives_after_its_revocation_never_starts() -> None:
    """A delayed dispatch must not start after the entry was told that it is revoked."""
    gate = _gate()
    gate.on_revoke(ENTRY, _revoke(1), 0.0)

    assert _reasons(gate.on_dispatch(ENTRY, _dispatch(1), 0.0)) == [
        RefusalReason.REVOKED
    ]


def test_start_older_than_the_retention_is_not_reported_as_revoked() -> None:
    """A start whose record was evicted must not be reported as revoked."""
    gate = _gate()
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    _start(gate)
    gate.on_finished("job/0/1", _result(1), 0.0)
    gate.expire(1_000.0)

    assert _states(gate.on_revoke(ENTRY, _revoke(1), 1_000.0)) == [
        RevocationState.FINISHED
    ]


def test_duplicate_after_the_retention_does_not_count_as_refused() -> None:
    """Refusing a duplicate of an evicted start must not close the dispatch.

    A later revocation would then report that the task never started.
    """
    gate = _gate()
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    assert _start(gate) == [1]
    gate.on_finished("job/0/1", _result(1), 0.0)
    gate.expire(1_000.0)

    again = gate.on_dispatch(ENTRY, _dispatch(1), 1_000.0)
    revoked = gate.on_revoke(ENTRY, _revoke(1), 1_000.0)
    assert _reasons(again) == [RefusalReason.ALREADY_STARTED]
    assert _states(revoked) == [RevocationState.FINISHED]


def test_revocation_for_an_earlier_incarnation_is_not_answered_as_revoked() -> None:
    """The earlier incarnation of the agent may have started the task."""
    revoke = attrs.evolve(_revoke(1), agent_incarnation="a0")

    assert _states(_gate().on_revoke(ENTRY, revoke, 0.0)) == [RevocationState.FINISHED]


def test_closed_stream_refuses_queued_dispatches_and_keeps_runs() -> None:
    """Queued dispatches can no longer start for the entry; running tasks finish."""
    gate = _busy_gate()

    assert _reasons(gate.on_disconnect(ENTRY, 0.5)) == [RefusalReason.LEASE_EXPIRED]
    assert gate.load().running == 1
    gate.on_finished("job/0/1", _result(1), 1.0)
    gate.on_hello(ENTRY, 1.0)
    assert _states(gate.on_revoke(ENTRY, _revoke(2, 1), 1.0)) == [
        RevocationState.REVOKED
    ]


def test_expired_lease_stops_each_run_once() -> None:
    """A run is not stopped again at each later check of the leases."""
    gate = _gate()
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    _start(gate)

    assert gate.expire(LEASE_S + 0.1) == [StopRun("job/0/1")]
    assert gate.expire(LEASE_S + 0.2) == []


def test_drain_refuses_queued_and_later_dispatches() -> None:
    """A draining gate refuses all dispatches and is idle once the last run ended."""
    gate = _busy_gate()

    assert _reasons(gate.drain()) == [RefusalReason.DRAINING]
    assert _reasons(gate.on_dispatch(ENTRY, _dispatch(3, 2), 0.0)) == [
        RefusalReason.DRAINING
    ]
    assert not gate.idle
    gate.on_finished("job/0/1", _result(1), 0.0)
    assert gate.idle


def test_stop_refuses_a_queued_dispatch_and_stops_a_running_one() -> None:
    """The same message stops a task in either state."""
    gate = _busy_gate()

    queued_refusal = gate.on_stop(
        ENTRY, Stop(dispatch_id=2, job_id="job", task_index=1)
    )
    run_stop = gate.on_stop(ENTRY, Stop(dispatch_id=1, job_id="job", task_index=0))
    assert _reasons(queued_refusal) == [RefusalReason.REVOKED]
    assert run_stop == [StopRun("job/0/1")]


def test_revoke_while_connecting_prevents_the_start() -> None:
    """A dispatch that is revoked while its connection is opened must not start."""
    gate = _gate()
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    (start,) = _reserve(gate)

    assert _states(gate.on_revoke(ENTRY, _revoke(1), 0.0)) == [RevocationState.REVOKED]
    assert not gate.confirm_start(start, 0.0).allowed


def test_revoked_start_does_not_take_the_reservation_of_a_later_dispatch() -> None:
    """Two dispatches of one task share the task id that reservations are keyed by.

    The first one, revoked while connecting, must neither start in place of the second
    nor release its slot.
    """
    gate = _gate()
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    (revoked,) = _reserve(gate)
    gate.on_revoke(ENTRY, _revoke(1), 0.0)
    gate.on_dispatch(ENTRY, _dispatch(2), 0.0)
    (later,) = _reserve(gate)

    assert not gate.confirm_start(revoked, 0.0).allowed
    assert gate.on_connect_failed(revoked) == []
    assert gate.confirm_start(later, 0.0).allowed


def test_running_task_is_not_started_again_after_its_start_was_evicted() -> None:
    """A run that outlasts the retention still counts as started."""
    gate = _gate(slots=2)
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    assert _start(gate) == [1]
    gate.expire(1_000.0)
    gate.on_renewal(ENTRY, 1.0, 1_000.0)

    again = gate.on_dispatch(ENTRY, _dispatch(2), 1_000.0)
    assert _reasons(again) == [RefusalReason.ALREADY_STARTED]


def test_budget_and_lease_are_checked_after_connecting() -> None:
    """Opening the connection takes time in which either can run out."""
    gate = _gate(slots=2)
    gate.on_dispatch(ENTRY, attrs.evolve(_dispatch(1), start_budget_ms=1e9), 0.0)
    gate.on_dispatch(ENTRY, _dispatch(2, 1), 0.0)
    long_budget, short_budget = _reserve(gate)

    after_budget = gate.confirm_start(short_budget, BUDGET_S + 0.1)
    after_lease = gate.confirm_start(long_budget, LEASE_S + 0.1)
    assert _reasons([*after_budget.effects]) == [RefusalReason.BUDGET_SPENT]
    assert _reasons([*after_lease.effects]) == [RefusalReason.LEASE_EXPIRED]


def test_failed_connection_refuses_the_dispatch_without_a_start() -> None:
    """The task has not started, so another dispatch of it is accepted."""
    gate = _gate()
    gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    (start,) = _reserve(gate)

    assert _reasons([*gate.on_connect_failed(start)]) == [
        RefusalReason.BACKEND_SERVER_DOWN
    ]
    gate.on_dispatch(ENTRY, _dispatch(2), 0.0)
    assert _start(gate) == [2]


def test_new_stream_does_not_extend_the_lease_that_the_entry_renews() -> None:
    """Tasks ran twice: a stream granted 2 s, of which an entry killed then made use.

    Its caller sends the job again after 1.3 s, to an entry that starts it anew.
    """
    gate = Gate("a1", frozenset({"draw"}), LIMITS)
    gate.on_hello(ENTRY, 0.0)
    gate.on_renewal(ENTRY, 0.8, 0.1, heard_clock_s=0.0)
    gate.on_dispatch(ENTRY, _dispatch(1), 0.1)
    assert _start(gate) == [1]
    gate.on_hello(ENTRY, 0.7)

    assert gate.expire(0.9) == [StopRun("job/0/1")]


def test_dispatch_of_an_entry_that_never_renewed_its_lease_is_refused() -> None:
    """A stream alone says nothing of whether the entry still wants its tasks run."""
    gate = Gate("a1", frozenset({"draw"}), LIMITS)
    gate.on_hello(ENTRY, 0.0)

    refused = gate.on_dispatch(ENTRY, _dispatch(1), 0.0)
    assert _reasons(refused) == [RefusalReason.LEASE_EXPIRED]
