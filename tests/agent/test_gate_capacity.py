from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.effects import Reply
from verbenaplank.agent.effects import StartRun
from verbenaplank.agent.effects import StopRun
from verbenaplank.agent.gate import Gate
from verbenaplank.agent.gate_limits import GateLimits
from verbenaplank.agent.worker_capacity import Usage
from verbenaplank.agent.worker_capacity import WorkerCapacity
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import DispatchRefusal
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import TaskResult

ENTRY = EntryKey("e", "1")
SIZE = Resources(cores=4.0, memory_mb=1_000)
LIMITS = GateLimits(slots=350, max_queued_tasks=0, retention_s=300.0, size=SIZE)


def dispatch(number: int, needs: Resources) -> Dispatch:
    return Dispatch(
        job_id=f"job-{number}",
        task_index=0,
        dispatch_id=number,
        agent_incarnation="a1",
        service="draw",
        payload=b"",
        start_budget_ms=60_000.0,
        run_budget_ms=1_000.0,
        needs=needs,
    )


def sized_gate() -> Gate:
    gate = Gate("a1", frozenset({"draw"}), LIMITS)
    gate.on_hello(ENTRY, 0.0)
    gate.on_renewal(ENTRY, 2.0, 0.0)
    return gate


def start(gate: Gate, number: int, needs: Resources, now_s: float = 0.0) -> bool:
    """Dispatch a task and return whether it starts."""
    gate.on_dispatch(ENTRY, dispatch(number, needs), now_s)
    starts = [item for item in gate.assign_slots(now_s) if isinstance(item, StartRun)]
    return bool(starts) and gate.confirm_start(starts[0], now_s).allowed


def finish(gate: Gate, number: int) -> None:
    result = TaskResult(
        job_id=f"job-{number}",
        task_index=0,
        dispatch_id=number,
        outcome=TaskOutcome.SUCCEEDED,
    )
    gate.on_finished(f"job-{number}/0/1", result, 0.0)


def test_dispatch_that_does_not_fit_is_refused() -> None:
    """Without a queue, a task that exceeds the free cores of the worker is refused."""
    gate = sized_gate()
    assert start(gate, 1, Resources(cores=2.5))
    effects = gate.on_dispatch(ENTRY, dispatch(2, Resources(cores=1.6)), 0.0)
    items = [effect.item for effect in effects if isinstance(effect, Reply)]
    assert [item.reason for item in items if isinstance(item, DispatchRefusal)] == [
        RefusalReason.FULL
    ]


def test_run_that_is_being_stopped_keeps_its_resources() -> None:
    """A run still uses its cores after the request to stop it, until it has ended."""
    gate = sized_gate()
    assert start(gate, 1, Resources(cores=3.0))
    gate.expire(10.0)
    gate.on_renewal(ENTRY, 60.0, 10.0)
    assert not start(gate, 2, Resources(cores=3.0), 10.0)
    result = TaskResult(
        job_id="job-1", task_index=0, dispatch_id=1, outcome=TaskOutcome.STOPPED
    )
    gate.on_finished("job-1/0/1", result, 10.0)
    assert start(gate, 3, Resources(cores=3.0), 10.0)


def test_load_reports_the_resources_in_use() -> None:
    gate = sized_gate()
    start(gate, 1, Resources(cores=1.25, memory_mb=64))
    load = gate.load(7.0)
    assert (load.cores_used, load.memory_used_mb, load.clock_s) == (1.25, 64, 7.0)


def test_lease_counts_from_the_clock_reading_in_the_renewal() -> None:
    """A renewal that a network partition delayed must not extend the lease."""
    gate = sized_gate()
    assert start(gate, 1, Resources(cores=1.0))
    gate.on_renewal(ENTRY, 0.8, 5.0, heard_clock_s=1.5)
    assert gate.expire(2.2) == []
    assert gate.expire(2.4) == [StopRun("job-1/0/1")]


@given(st.lists(st.integers(1, 5_000), max_size=60))
def test_running_tasks_never_exceed_the_worker(millicores: list[int]) -> None:
    """The cores of running tasks are summed without rounding errors."""
    gate = sized_gate()
    millicores_in_use = 0
    for number, millicores_needed in enumerate(millicores, start=1):
        if start(gate, number, Resources(cores=millicores_needed / 1_000)):
            millicores_in_use += millicores_needed
    assert millicores_in_use <= 4_000


def test_memory_and_accelerators_are_limited_like_cores() -> None:
    capacity = WorkerCapacity(slots=10, size=attrs.evolve(SIZE, accelerators=1))
    assert capacity.fits_alone(Resources(memory_mb=1_000, accelerators=1))
    assert not capacity.fits_alone(Resources(memory_mb=1_001))
    assert not capacity.fits(
        Resources(accelerators=1), Usage.total([Resources(accelerators=1)])
    )


def test_start_that_was_reserved_before_the_worker_shrank_is_refused() -> None:
    """The size changes while the connection to the backend server is being opened."""
    gate = sized_gate()
    gate.on_dispatch(ENTRY, dispatch(1, Resources(cores=3.0)), 0.0)
    (reserved,) = gate.assign_slots(0.0)
    assert isinstance(reserved, StartRun)
    gate.resize(Resources(cores=2.0, memory_mb=1_000))
    assert not gate.confirm_start(reserved, 0.0).allowed


def test_nothing_starts_until_the_runs_fit_into_the_shrunken_worker() -> None:
    """Runs go on when the worker shrinks, and those being stopped count as well."""
    gate = sized_gate()
    assert start(gate, 1, Resources(cores=1.5))
    assert start(gate, 2, Resources(cores=1.5))
    gate.resize(Resources(cores=2.0, memory_mb=1_000))
    assert not start(gate, 3, Resources(cores=0.5))
    finish(gate, 1)
    assert start(gate, 4, Resources(cores=0.5))
    assert not start(gate, 5, Resources(cores=0.1))
    gate.resize(SIZE)
    assert start(gate, 6, Resources(cores=2.0))


def test_queued_dispatch_that_no_longer_fits_does_not_block_smaller_ones() -> None:
    limits = attrs.evolve(LIMITS, max_queued_tasks=8)
    gate = Gate("a1", frozenset({"draw"}), limits)
    gate.on_hello(ENTRY, 0.0)
    gate.on_renewal(ENTRY, 2.0, 0.0)
    assert start(gate, 1, Resources(cores=4.0))
    gate.on_dispatch(ENTRY, dispatch(2, Resources(cores=3.0)), 0.0)
    gate.on_dispatch(ENTRY, dispatch(3, Resources(cores=1.0)), 0.0)
    refusals = gate.resize(Resources(cores=2.0, memory_mb=1_000))
    assert [effect.item.job_id for effect in refusals if isinstance(effect, Reply)] == [
        "job-2"
    ]
    finish(gate, 1)
    starts = [item for item in gate.assign_slots(0.0) if isinstance(item, StartRun)]
    assert [item.dispatch.job_id for item in starts] == ["job-3"]


def test_worker_that_shrank_to_nothing_starts_nothing() -> None:
    gate = sized_gate()
    gate.resize(Resources())
    assert not start(gate, 1, Resources(cores=0.1))
