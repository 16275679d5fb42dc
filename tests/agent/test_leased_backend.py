from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from fake_worker import FakeWorker

from verbenaplank.agent.active_run import STALL_TIMEOUT_S
from verbenaplank.agent.backend import BackendServerDownError
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.agent.lease_protocol import StartStatus
from verbenaplank.agent.leased_backend import EXPIRY_MARGIN_S
from verbenaplank.agent.leased_backend import LeasedBackend
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.agent.named_task import encode_task
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.agent.backend import RunReport

LEASE_S = 0.3
PAYLOAD = encode_task(NamedTask(name="task", content="do"))


def backend_of(
    worker: FakeWorker, on_gone: Callable[[], None] = lambda: None
) -> LeasedBackend:
    return LeasedBackend(worker, LEASE_S, monotonic_s, on_gone)


def run_on(backend: LeasedBackend, attempt: int = 1) -> asyncio.Task[RunReport]:
    run = backend.run(backend, f"job/0/{attempt}", "draw", PAYLOAD, 30.0)
    return asyncio.create_task(run)


async def until(worker: FakeWorker, condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            worker.held.clear()
            await worker.held.wait()


async def started(worker: FakeWorker) -> RunId:
    await until(worker, lambda: bool(worker.active))
    return next(iter(worker.active))


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [
        (EndKind.DONE, TaskOutcome.SUCCEEDED),
        (EndKind.FAILED, TaskOutcome.FAILED),
        (EndKind.LEASE_EXPIRED, TaskOutcome.CONNECTION_LOST),
    ],
)
async def test_listed_end_is_reported(kind: EndKind, outcome: TaskOutcome) -> None:
    worker = FakeWorker()
    async with backend_of(worker) as backend:
        running = run_on(backend)
        worker.end(await started(worker), kind)
        assert (await running).outcome is outcome


async def test_fence_is_above_that_of_an_agent_before() -> None:
    worker = FakeWorker()
    worker.fence = 4_000
    async with backend_of(worker):
        assert worker.fence == worker.clock_ms


async def test_runs_of_an_earlier_agent_end_before_any_start() -> None:
    worker = FakeWorker()
    orphan = RunId(task="old", number=1)
    worker.active[orphan] = 10
    async with backend_of(worker):
        assert not worker.active
        assert worker.ends[0].run == orphan


async def test_unanswered_start_never_runs_and_says_so() -> None:
    """The order is carried out late, after the run has been given up."""
    worker = FakeWorker()
    worker.loses_starts = True
    async with backend_of(worker) as backend:
        report = await run_on(backend)
        assert report.outcome is TaskOutcome.NOT_STARTED
        assert worker.carry_out(worker.silent_starts[0]) is StartStatus.OUTDATED
        assert not worker.active


async def test_later_run_of_a_task_has_a_higher_number() -> None:
    worker = FakeWorker()
    async with backend_of(worker) as backend:
        numbers = []
        for _ in range(2):
            running = run_on(backend)
            name = await started(worker)
            numbers.append(name.number)
            worker.end(name, EndKind.STOPPED)
            await running
        assert numbers[0] < numbers[1]


async def test_number_that_another_agent_used_is_passed_over() -> None:
    worker = FakeWorker()
    worker.highest["task"] = 3
    async with backend_of(worker) as backend:
        running = run_on(backend)
        worker.end(await started(worker), EndKind.DONE)
        assert (await running).outcome is TaskOutcome.SUCCEEDED


async def test_refused_start_is_reported_as_such() -> None:
    worker = FakeWorker()
    worker.status = StartStatus.UNHEALTHY
    async with backend_of(worker) as backend:
        report = await run_on(backend)
        assert (report.outcome, report.error) == (TaskOutcome.NOT_STARTED, "unhealthy")


async def test_stop_is_reported_once_its_end_is_listed() -> None:
    worker = FakeWorker()
    async with backend_of(worker) as backend:
        running = run_on(backend)
        await started(worker)
        await backend.stop("job/0/1")
        assert (await running).outcome is TaskOutcome.STOPPED


async def test_runs_on_a_silent_server_are_over_only_after_the_lease() -> None:
    worker = FakeWorker()
    async with backend_of(worker) as backend:
        running = run_on(backend)
        await started(worker)
        began_s = monotonic_s()
        worker.mute = True
        worker.changed.set()
        assert (await running).outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - began_s >= LEASE_S


async def test_runs_end_with_the_life_of_the_server() -> None:
    worker = FakeWorker()
    gone = asyncio.Event()
    async with backend_of(worker, gone.set) as backend:
        running = run_on(backend)
        await started(worker)
        worker.restarted = True
        worker.changed.set()
        assert (await running).outcome is TaskOutcome.CONNECTION_LOST
        assert gone.is_set()


async def test_run_that_stands_still_is_stopped() -> None:
    worker = FakeWorker()
    async with backend_of(worker) as backend:
        began_s = monotonic_s()
        report = await run_on(backend)
        assert report.outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - began_s >= STALL_TIMEOUT_S
        assert worker.ends[0].kind is EndKind.STOPPED


async def test_every_end_is_acknowledged() -> None:
    worker = FakeWorker()
    async with backend_of(worker) as backend:
        running = run_on(backend)
        worker.end(await started(worker), EndKind.DONE)
        await running
        await until(worker, lambda: worker.acknowledged == 1)


async def test_lease_is_renewed_while_something_runs() -> None:
    worker = FakeWorker()
    async with backend_of(worker) as backend:
        running = run_on(backend)
        name = await started(worker)
        first_ms = worker.lease_until_ms
        worker.clock_ms += 200
        worker.active[name] = 50
        worker.changed.set()
        await until(worker, lambda: worker.lease_until_ms > first_ms)
        worker.end(name, EndKind.DONE)
        await running


async def test_start_that_never_left_is_reported_at_once() -> None:
    worker = FakeWorker()
    async with backend_of(worker) as backend:
        worker.refuses = True
        began_s = monotonic_s()
        report = await run_on(backend)
        assert report.outcome is TaskOutcome.NOT_STARTED
        assert monotonic_s() - began_s < LEASE_S
        with pytest.raises(BackendServerDownError):
            await backend.connect()


async def test_renewals_that_never_left_extend_no_lease() -> None:
    worker = FakeWorker()
    async with backend_of(worker) as backend:
        running = run_on(backend)
        await started(worker)
        await until(worker, lambda: worker.lease_until_ms > worker.clock_ms)
        worker.refuses = True
        worker.changed.set()
        refused_s = monotonic_s()
        assert (await running).outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - refused_s < 1.5 * LEASE_S + EXPIRY_MARGIN_S
