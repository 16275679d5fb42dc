from __future__ import annotations

import asyncio
import itertools
import logging
from contextlib import asynccontextmanager
from contextlib import contextmanager
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import attrs
import pytest
from agent_helpers import HELLO
from agent_helpers import RECEIVE_TIMEOUT_S
from agent_helpers import receive
from fake_control import FakeControl
from fake_worker import FakeBackendServer
from fake_worker import wait_until

from verbenaplank.agent import decision_log
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.agent.named_task import encode_task
from verbenaplank.agent.report import BackendServerReport
from verbenaplank.agent.supervisor import AgentSupervisor
from verbenaplank.agent.take_over import is_answering
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.crash import CrashEvidence
from verbenaplank.protocol.work import AgentWelcome
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import LeaseRenewal
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.errors import RPC_ERRORS
from verbenaplank.rpc.services import WORK
from verbenaplank.settings.agent import AgentSettings
from verbenaplank.settings.checker import check_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

    from grpclib.client import Stream

LEASE_S = 0.3
IMPOSSIBLE_ADDRESS = "127.0.0.1:808080"
SILENT_ADDRESS = "127.0.0.1:2"
RESTARTED_ADDRESS = "127.0.0.1:3"
YOUNG_LIFE = "young"
YOUNGER_BY_MS = 1_000
"""How far the clock of that life is behind that of the others."""

REPORT = BackendServerReport(
    server_id="server",
    incarnation="1",
    sequence=1,
    service="draw",
    address="127.0.0.1:1",
    slots=8,
    draining=False,
    size=Resources(cores=8.0, memory_mb=1_000),
)


def agent_settings(port: int, control_port: int) -> AgentSettings:
    local = {"host": "127.0.0.1", "port": port}
    document = {
        "instance_id": "a1",
        "data_centre": "d",
        "rpc": local,
        "control": [{"host": "127.0.0.1", "port": control_port, "instance_id": "c1"}],
        "backend_server": {"host": "127.0.0.1", "port": 1, "services": ["draw"]},
    }
    return check_settings(document, AgentSettings, "agent.toml")


@attrs.define
class Supervised:
    """A supervisor, the backend servers that its clients talk to, and a port.

    ``connects`` holds the report of each client, also of those that failed.
    """

    supervisor: AgentSupervisor
    servers: list[FakeBackendServer]
    port: int
    connects: list[BackendServerReport]

    async def wait_connected(self, report: BackendServerReport) -> None:
        """Wait until the supervisor has tried to connect to a reporter."""
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while report not in self.connects:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    @asynccontextmanager
    async def entry(self) -> AsyncIterator[Stream[ToAgent, FromAgent]]:
        """Connect as an entry, once the agent listens.

        The agent may have closed the stream before the end of the context.
        """
        is_open = is_used = False
        while True:
            try:
                with open_channel(Address("127.0.0.1", self.port)) as channel:
                    async with WORK.open(channel) as stream:
                        renewal = LeaseRenewal(lease_ms=60_000.0)
                        await stream.send_message(ToAgent(hello=HELLO, renewal=renewal))
                        is_open = True
                        yield stream
                        is_used = True
                        await stream.cancel()
                        return
            except RPC_ERRORS:
                if is_used:
                    return
                if is_open:
                    raise
                await asyncio.sleep(0.01)


@asynccontextmanager
async def supervised(
    port: int, size: Resources = REPORT.size
) -> AsyncIterator[Supervised]:
    servers: list[FakeBackendServer] = []
    connects: list[BackendServerReport] = []

    def connect(report: BackendServerReport) -> FakeBackendServer:
        connects.append(report)
        if report.address == IMPOSSIBLE_ADDRESS:
            raise OverflowError("port must be 0-65535")
        servers.append(FakeBackendServer())
        if report.incarnation == YOUNG_LIFE:
            servers[-1].clock_ms -= YOUNGER_BY_MS
        servers[-1].silent = report.address == SILENT_ADDRESS
        servers[-1].restarted = report.address == RESTARTED_ADDRESS
        return servers[-1]

    async with (
        FakeControl().serving() as control,
        AgentSupervisor(
            agent_settings(port, control.port), LEASE_S, connect
        ) as supervisor,
    ):
        supervisor.on_report(attrs.evolve(REPORT, size=size))
        yield Supervised(supervisor, servers, port, connects)


def dispatch(number: int, cores: float, incarnation: str) -> Dispatch:
    return Dispatch(
        job_id="job",
        task_index=number,
        dispatch_id=number,
        agent_incarnation=incarnation,
        service="draw",
        payload=encode_task(NamedTask(name=f"task-{number}", content="")),
        start_budget_ms=10_000.0,
        run_budget_ms=10_000.0,
        needs=Resources(cores=cores),
    )


@contextmanager
def signal_for(message: str) -> Iterator[asyncio.Event]:
    """Yield an event that is set when the agent logs a message."""
    logged = asyncio.Event()
    logger = logging.getLogger(decision_log.__name__)
    handler = logging.Handler()
    handler.addFilter(lambda record: record.msg == message)
    handler.emit = lambda _: logged.set()  # type: ignore[method-assign]
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield logged
    finally:
        logger.removeHandler(handler)
        logger.setLevel(logging.NOTSET)


async def receive_welcome(stream: Stream[ToAgent, FromAgent]) -> AgentWelcome:
    """Receive the welcome, and wait until the agent accepts dispatches."""
    message = await receive(stream)
    welcome = message.welcome
    assert welcome is not None
    async with asyncio.timeout(RECEIVE_TIMEOUT_S):
        while message.load is None or message.load.draining:
            message = await receive(stream)
    return welcome


async def receive_until(
    stream: Stream[ToAgent, FromAgent], field: str
) -> tuple[object, ...]:
    """Receive messages until one has items in a field, and return them."""
    async with asyncio.timeout(RECEIVE_TIMEOUT_S):
        while True:
            items: tuple[object, ...] = getattr(await receive(stream), field)
            if items:
                return items


async def receive_results_of(
    stream: Stream[ToAgent, FromAgent], server: FakeBackendServer
) -> tuple[object, ...]:
    """End the run that a backend server starts next, and receive its result."""
    await wait_until(server, lambda: bool(server.active))
    server.end(next(iter(server.active)), EndKind.DONE)
    return await receive_until(stream, "results")


async def test_capacity_that_shrinks_while_the_server_runs_is_used(
    unused_tcp_port: int,
) -> None:
    """Only the first report of an incarnation told the agent the worker's size."""
    async with supervised(unused_tcp_port) as site, site.entry() as stream:
        welcome = await receive_welcome(stream)
        smaller = Resources(cores=4.0, memory_mb=1_000)
        with signal_for("worker resized") as resized:
            site.supervisor.on_report(attrs.evolve(REPORT, sequence=2, size=smaller))
            await asyncio.wait_for(resized.wait(), RECEIVE_TIMEOUT_S)
        too_large = dispatch(1, 5.0, welcome.incarnation)
        await stream.send_message(ToAgent(dispatches=(too_large,)))
        (refusal,) = await receive_until(stream, "refusals")
        assert getattr(refusal, "reason") is RefusalReason.FULL  # noqa: B009


async def test_crash_of_the_backend_server_is_told_to_the_entries(
    unused_tcp_port: int,
) -> None:
    """Nothing told which tasks ran on a backend server that crashed."""
    async with supervised(unused_tcp_port) as site, site.entry() as stream:
        welcome = await receive_welcome(stream)
        started = dispatch(1, 1.0, welcome.incarnation)
        await stream.send_message(ToAgent(dispatches=(started,)))
        await wait_until(site.servers[0], lambda: bool(site.servers[0].active))
        site.servers[0].refuses_connections = True
        site.servers[0].state_changed.set()

        (report,) = await receive_until(stream, "crashes")
        assert getattr(report, "evidence") is CrashEvidence.REFUSED  # noqa: B009
        assert [run.task for run in report.runs] == ["task-1"]

        site.supervisor.on_report(attrs.evolve(REPORT, incarnation="2"))
        async with site.entry() as later:
            (report,) = await receive_until(later, "crashes")
            assert report.evidence is CrashEvidence.RESTARTED


async def test_worker_that_starts_without_capacity_is_used_once_it_has_some(
    unused_tcp_port: int,
) -> None:
    """The first report's zero cores ended the task that serves the backend server."""
    async with (
        supervised(unused_tcp_port, size=Resources()) as site,
        site.entry() as stream,
    ):
        welcome = await receive_welcome(stream)
        with signal_for("worker resized") as resized:
            site.supervisor.on_report(attrs.evolve(REPORT, sequence=2))
            await asyncio.wait_for(resized.wait(), RECEIVE_TIMEOUT_S)
        started = dispatch(1, 1.0, welcome.incarnation)
        await stream.send_message(ToAgent(dispatches=(started,)))
        await wait_until(site.servers[0], lambda: bool(site.servers[0].active))


async def test_report_that_cannot_be_served_does_not_end_the_service(
    unused_tcp_port: int,
) -> None:
    """One report ended the only task that serves backend servers, without a line."""
    async with (
        asyncio.timeout(3 * RECEIVE_TIMEOUT_S),
        supervised(unused_tcp_port) as site,
    ):
        foreign = attrs.evolve(
            REPORT, server_id="other", address=IMPOSSIBLE_ADDRESS, service="none"
        )
        async with site.entry() as stream:
            await receive_welcome(stream)
        site.supervisor.on_report(foreign)
        await site.wait_connected(foreign)
        site.supervisor.on_report(attrs.evolve(REPORT, sequence=2))
        async with site.entry() as stream:
            welcome = await receive_welcome(stream)
            started = dispatch(1, 1.0, welcome.incarnation)
            await stream.send_message(ToAgent(dispatches=(started,)))
            (result,) = await receive_results_of(stream, site.servers[-1])
            assert getattr(result, "outcome") is TaskOutcome.SUCCEEDED  # noqa: B009


@pytest.mark.parametrize(
    "changes",
    [
        {"server_id": "other", "service": "none", "address": SILENT_ADDRESS},
        {"server_id": "other", "service": "none", "address": IMPOSSIBLE_ADDRESS},
        {"incarnation": "0", "sequence": 9, "address": RESTARTED_ADDRESS},
    ],
    ids=["foreign", "impossible", "earlier life"],
)
async def test_report_of_a_server_that_does_not_answer_interrupts_no_run(
    unused_tcp_port: int, changes: dict[str, Any]
) -> None:
    """A foreign report, or a late one of an earlier life, ended all runs."""
    async with supervised(unused_tcp_port) as site, site.entry() as stream:
        welcome = await receive_welcome(stream)
        started = dispatch(1, 1.0, welcome.incarnation)
        await stream.send_message(ToAgent(dispatches=(started,)))
        await wait_until(site.servers[0], lambda: bool(site.servers[0].active))
        other = attrs.evolve(REPORT, **changes)
        site.supervisor.on_report(other)
        await site.wait_connected(other)
        (result,) = await receive_results_of(stream, site.servers[0])
        assert getattr(result, "outcome") is TaskOutcome.SUCCEEDED  # noqa: B009


async def test_cold_time_of_a_server_that_replaces_another_one_is_counted(
    unused_tcp_port: int,
) -> None:
    """Its first report came while the former one was still served."""
    async with supervised(unused_tcp_port) as site:
        async with site.entry() as stream:
            await receive_welcome(stream)
        successor = attrs.evolve(REPORT, incarnation="2", cold_remaining_ms=60_000.0)
        site.supervisor.on_report(successor)
        await site.wait_connected(successor)
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while len(site.servers) < 3:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        async with site.entry() as stream:
            left_ms, span_ms = await receive_cold(stream, cold=True)
            assert 0.0 < left_ms <= span_ms == 60_000.0


async def test_fenced_off_agent_takes_over_again_after_the_next_report(
    unused_tcp_port: int,
) -> None:
    """A late order with a higher token made the agent ignore this life for good.

    The report shows that the backend server still counts on this agent.  Without one,
    two agents would take the backend server from each other by turns.
    """
    async with supervised(unused_tcp_port) as site:
        async with site.entry() as stream:
            welcome = await receive_welcome(stream)
            site.servers[0].fence *= 2
            refused = dispatch(1, 1.0, welcome.incarnation)
            await stream.send_message(ToAgent(dispatches=(refused,)))
            (result,) = await receive_until(stream, "results")
            assert getattr(result, "error") == "fenced"  # noqa: B009
        sequences = itertools.count(2)
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while len(site.servers) == 1:
                report = attrs.evolve(REPORT, sequence=next(sequences))
                site.supervisor.on_report(report)
                await asyncio.sleep(0.05)
        async with site.entry() as stream:
            welcome = await receive_welcome(stream)
            started = dispatch(2, 1.0, welcome.incarnation)
            await stream.send_message(ToAgent(dispatches=(started,)))
            await wait_until(site.servers[1], lambda: bool(site.servers[1].active))


async def receive_cold(
    stream: Stream[ToAgent, FromAgent], *, cold: bool
) -> tuple[float, float]:
    """Receive until a load is cold or not; return what is left, and the whole time."""
    async with asyncio.timeout(RECEIVE_TIMEOUT_S):
        while True:
            load = (await receive(stream)).load
            if load is not None and (load.cold_remaining_ms > 0.0) is cold:
                return load.cold_remaining_ms, load.cold_span_ms


async def test_cold_time_is_reported_to_entries_counted_down(
    unused_tcp_port: int,
) -> None:
    """Guards against entries that learn the cold time of an old status report."""
    async with supervised(unused_tcp_port) as site, site.entry() as stream:
        await receive_cold(stream, cold=False)
        report = attrs.evolve(REPORT, sequence=2, cold_remaining_ms=60_000.0)
        site.supervisor.on_report(report)
        first_ms, span_ms = await receive_cold(stream, cold=True)
        later_ms, later_span_ms = await receive_cold(stream, cold=True)
        assert later_ms < first_ms < span_ms == later_span_ms == 60_000.0

        later = attrs.evolve(REPORT, sequence=3, cold_remaining_ms=30_000.0)
        site.supervisor.on_report(later)
        async with site.entry() as restarted:
            left_ms, span_ms = await receive_cold(restarted, cold=True)
            assert left_ms < 30_000.0
            assert span_ms == 60_000.0

        site.supervisor.on_report(attrs.evolve(REPORT, sequence=4))
        assert await receive_cold(stream, cold=False) == (0.0, 0.0)


async def start_lost_run(site: Supervised, stream: Stream[ToAgent, FromAgent]) -> None:
    """Start a run whose first start request got no answer, then restart the server."""
    welcome = await receive_welcome(stream)
    site.servers[0].starts_to_lose = 1
    started = dispatch(1, 1.0, welcome.incarnation)
    await stream.send_message(ToAgent(dispatches=(started,)))
    await wait_until(site.servers[0], lambda: bool(site.servers[0].active))
    site.servers[0].restarted = True
    site.servers[0].state_changed.set()


async def test_run_of_a_former_life_is_reported_after_its_next_life_was_fenced_off(
    unused_tcp_port: int,
) -> None:
    """The next life may carry out the start, beside the next run of the task."""
    async with supervised(unused_tcp_port) as site, site.entry() as stream:
        await start_lost_run(site, stream)
        with suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await receive_until(stream, "results")
                pytest.fail("the run was reported before the next life was known")
        site.supervisor.on_report(attrs.evolve(REPORT, incarnation="2"))
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while not any(server.fence for server in site.servers[1:]):  # noqa: ASYNC110
                await asyncio.sleep(0.01)


async def test_nothing_starts_while_a_lease_for_a_former_life_may_last(
    unused_tcp_port: int,
) -> None:
    """A run went on beside the next one of its task, as its lease was far too long.

    The next life may have taken it from a start that the former one did not answer.
    """
    async with supervised(unused_tcp_port) as site:
        async with site.entry() as stream:
            await start_lost_run(site, stream)
            began_s = monotonic_s()
            with signal_for("lease of a former life may last") as in_doubt:
                site.supervisor.on_report(attrs.evolve(REPORT, incarnation=YOUNG_LIFE))
                await asyncio.wait_for(in_doubt.wait(), RECEIVE_TIMEOUT_S)
        async with site.entry() as stream:
            welcome = (await receive(stream)).welcome
            assert welcome is not None
            refused = dispatch(2, 1.0, welcome.incarnation)
            await stream.send_message(ToAgent(dispatches=(refused,)))
            (refusal,) = await receive_until(stream, "refusals")
            assert getattr(refusal, "reason") is RefusalReason.DRAINING  # noqa: B009
            with signal_for("agent accepts dispatches") as accepts:
                await asyncio.wait_for(accepts.wait(), RECEIVE_TIMEOUT_S)
            assert monotonic_s() - began_s > YOUNGER_BY_MS / 1_000 + LEASE_S
            started = dispatch(3, 1.0, welcome.incarnation)
            await stream.send_message(ToAgent(dispatches=(started,)))
            await wait_until(site.servers[-1], lambda: bool(site.servers[-1].active))


async def test_server_that_is_slow_to_be_reached_is_answering() -> None:
    """A busy agent gave up the next life of its backend server after one try."""
    server = FakeBackendServer()
    server.connections_to_delay = 2
    assert await is_answering(server)
    server.refuses_connections = True
    assert not await is_answering(server)
