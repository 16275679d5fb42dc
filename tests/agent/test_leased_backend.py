from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from fake_worker import FakeBackendServer

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


def make_backend(
    server: FakeBackendServer, on_lost: Callable[[], None] = lambda: None
) -> LeasedBackend:
    return LeasedBackend(server, LEASE_S, monotonic_s, on_lost)


def start_run(backend: LeasedBackend, attempt: int = 1) -> asyncio.Task[RunReport]:
    run = backend.run(backend, f"job/0/{attempt}", "draw", PAYLOAD, 30.0)
    return asyncio.create_task(run)


async def wait_until(server: FakeBackendServer, condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            server.polled.clear()
            await server.polled.wait()


async def wait_until_started(server: FakeBackendServer) -> RunId:
    await wait_until(server, lambda: bool(server.active))
    return next(iter(server.active))


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [
        (EndKind.DONE, TaskOutcome.SUCCEEDED),
        (EndKind.FAILED, TaskOutcome.FAILED),
        (EndKind.LEASE_EXPIRED, TaskOutcome.CONNECTION_LOST),
    ],
)
async def test_end_listed_in_a_poll_reply_is_reported(
    kind: EndKind, outcome: TaskOutcome
) -> None:
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        server.end(await wait_until_started(server), kind)
        assert (await run).outcome is outcome


async def test_fencing_token_is_higher_than_that_of_an_earlier_agent() -> None:
    """With a lower token, the backend server would refuse this agent's requests."""
    server = FakeBackendServer()
    server.fence = 4_000
    async with make_backend(server):
        assert server.fence == server.clock_ms


async def test_runs_of_an_earlier_agent_end_before_the_first_start() -> None:
    """Runs that the agent does not know of would use resources that it assigns."""
    server = FakeBackendServer()
    orphaned_run = RunId(task="old", number=1)
    server.active[orphaned_run] = 10
    async with make_backend(server):
        assert not server.active
        assert server.ends[0].run == orphaned_run


async def test_unanswered_start_never_runs_and_is_reported_as_not_started() -> None:
    """A start request may be executed late, after the agent has given up on the run.

    The stop request raises the run number of the task, so the late start is refused.
    """
    server = FakeBackendServer()
    server.loses_starts = True
    async with make_backend(server) as backend:
        report = await start_run(backend)
        assert report.outcome is TaskOutcome.NOT_STARTED
        assert server.execute_start(server.lost_starts[0]) is StartStatus.OUTDATED
        assert not server.active


async def test_later_run_of_a_task_has_a_higher_number() -> None:
    """A backend server refuses a run whose number is not above the earlier ones."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        numbers = []
        for _ in range(2):
            run = start_run(backend)
            run_id = await wait_until_started(server)
            numbers.append(run_id.number)
            server.end(run_id, EndKind.STOPPED)
            await run
        assert numbers[0] < numbers[1]


async def test_run_number_that_another_agent_used_is_skipped() -> None:
    """A start that is refused as outdated is tried again with a higher number."""
    server = FakeBackendServer()
    server.highest_numbers["task"] = 3
    async with make_backend(server) as backend:
        run = start_run(backend)
        server.end(await wait_until_started(server), EndKind.DONE)
        assert (await run).outcome is TaskOutcome.SUCCEEDED


async def test_refused_start_is_reported_as_not_started() -> None:
    """The refusal is the error of the report."""
    server = FakeBackendServer()
    server.status = StartStatus.UNHEALTHY
    async with make_backend(server) as backend:
        report = await start_run(backend)
        assert (report.outcome, report.error) == (TaskOutcome.NOT_STARTED, "unhealthy")


async def test_stopped_run_is_reported_once_its_end_is_listed() -> None:
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        await backend.stop("job/0/1")
        assert (await run).outcome is TaskOutcome.STOPPED


async def test_runs_on_a_silent_server_end_only_after_the_lease() -> None:
    """They may be active until then, so their resources must not be assigned again."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        silent_since_s = monotonic_s()
        server.silent = True
        server.state_changed.set()
        assert (await run).outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - silent_since_s >= LEASE_S


async def test_runs_end_when_the_server_restarts() -> None:
    server = FakeBackendServer()
    lost = asyncio.Event()
    async with make_backend(server, lost.set) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        server.restarted = True
        server.state_changed.set()
        assert (await run).outcome is TaskOutcome.CONNECTION_LOST
        assert lost.is_set()


async def test_run_without_progress_is_stopped() -> None:
    """A stalled run is stopped and reported as lost."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        started_s = monotonic_s()
        report = await start_run(backend)
        assert report.outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - started_s >= STALL_TIMEOUT_S
        assert server.ends[0].kind is EndKind.STOPPED


async def test_end_of_a_run_is_acknowledged() -> None:
    """The backend server lists an end until it is acknowledged."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        server.end(await wait_until_started(server), EndKind.DONE)
        await run
        await wait_until(server, lambda: server.acknowledged == 1)


async def test_lease_is_renewed_while_a_task_runs() -> None:
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        run_id = await wait_until_started(server)
        first_ms = server.lease_until_ms
        server.clock_ms += 200
        server.active[run_id] = 50
        server.state_changed.set()
        await wait_until(server, lambda: server.lease_until_ms > first_ms)
        server.end(run_id, EndKind.DONE)
        await run


async def test_start_that_was_not_sent_is_reported_at_once() -> None:
    """The run cannot have started, so there is no lease to wait for."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        server.refuses_connections = True
        started_s = monotonic_s()
        report = await start_run(backend)
        assert report.outcome is TaskOutcome.NOT_STARTED
        assert monotonic_s() - started_s < LEASE_S
        with pytest.raises(BackendServerDownError):
            await backend.connect()


async def test_renewals_that_were_not_sent_do_not_extend_the_lease() -> None:
    """Runs count as ended one lease after the last renewal that was sent."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        await wait_until(server, lambda: server.lease_until_ms > server.clock_ms)
        server.refuses_connections = True
        server.state_changed.set()
        refused_s = monotonic_s()
        assert (await run).outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - refused_s < 1.5 * LEASE_S + EXPIRY_MARGIN_S
