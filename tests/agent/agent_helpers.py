"""Runs an agent's runner and streams beside a stand-in backend server.

No control instances are involved.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.backend import BackendClient
from verbenaplank.agent.crash_feed import CrashFeed
from verbenaplank.agent.gate import Gate
from verbenaplank.agent.gate_limits import GateLimits
from verbenaplank.agent.runner import TaskRunner
from verbenaplank.agent.work_service import WorkStreams
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.history.event import Event
from verbenaplank.history.event import EventKind
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import EntryHello
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import LeaseRenewal
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.services import WORK
from verbenaplank.settings.agent import BackendServerSettings
from verbenaplank.standin.backend_server import StandInBackendServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from grpclib.client import Stream

    from verbenaplank.clock.sources import MonotonicClock

    WorkStream = Stream[ToAgent, FromAgent]

HELLO = EntryHello(entry_id="e1", incarnation="1", data_centre="d")
LEASE = LeaseRenewal(lease_ms=60_000.0)
INCARNATION = "a1"
RECEIVE_TIMEOUT_S = 10.0


def dispatch(number: int, run_time_ms: float = 0.0, job_id: str = "job") -> Dispatch:
    return Dispatch(
        job_id=job_id,
        task_index=number,
        dispatch_id=number,
        agent_incarnation=INCARNATION,
        service="draw",
        payload=b'{"run_time_ms": %d}' % run_time_ms,
        start_budget_ms=10_000.0,
        run_budget_ms=10_000.0,
    )


@attrs.frozen
class Site:
    address: Address
    runner: TaskRunner
    streams: WorkStreams
    events: list[Event]
    started: asyncio.Event

    @asynccontextmanager
    async def entry(self, hello: EntryHello = HELLO) -> AsyncIterator[WorkStream]:
        """Open the stream of an entry and receive the welcome."""
        with open_channel(self.address) as channel:
            async with WORK.open(channel) as stream:
                await stream.send_message(ToAgent(hello=hello, renewal=LEASE))
                first = await stream.recv_message()
                assert first is not None
                assert first.welcome is not None
                yield stream
                await stream.cancel()


@asynccontextmanager
async def agent_site(
    slots: int = 2, *, stoppable: bool = False, clock: MonotonicClock = monotonic_s
) -> AsyncIterator[Site]:
    events: list[Event] = []
    started = asyncio.Event()

    def note_start(event: Event) -> None:
        if event.kind is EventKind.BACKEND_STARTED:
            started.set()

    limits = GateLimits(slots=slots, max_queued_tasks=64, retention_s=300.0)
    gate = Gate(INCARNATION, frozenset({"draw"}), limits)
    async with StandInBackendServer(
        "b1", stoppable=stoppable, record=note_start
    ) as backend_server:
        settings = BackendServerSettings(
            host="127.0.0.1",
            port=backend_server.port,
            services=("draw",),
            stop_path="/stop/{task}" if stoppable else "",
        )
        async with (
            BackendClient(settings) as backend,
            TaskRunner("a", gate, backend, clock, events.append) as runner,
        ):
            streams = WorkStreams(runner, "a", INCARNATION, slots, CrashFeed(clock))
            async with serve([streams.service()], Address("127.0.0.1", 0)) as address:
                yield Site(address, runner, streams, events, started)


async def receive(stream: WorkStream) -> FromAgent:
    async with asyncio.timeout(RECEIVE_TIMEOUT_S):
        message = await stream.recv_message()
    assert message is not None
    return message
