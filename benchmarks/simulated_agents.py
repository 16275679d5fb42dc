"""Agents on real streams that answer each dispatch after its run time.

They run in the event loop of the benchmark, join the membership and send load reports
as agents do: with each message, and at intervals without one.
"""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from verbenaplank.agent.named_task import decode_task
from verbenaplank.agent.work_service import BUSY_REPORT_PERIOD_S
from verbenaplank.agent.work_service import IDLE_REPORT_PERIOD_S
from verbenaplank.membership.client import MembershipClient
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.protocol.work import AgentWelcome
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import TaskResult
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.outbox import Outbox
from verbenaplank.rpc.services import WORK

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from grpclib.server import Stream

    from verbenaplank.settings.common import ControlPeer

AGENTS_PER_RACK = 4
CORES = 32.0
MEMORY_MB = 65_536
SLOTS = 350
RUN_TIME_SPREAD = 0.4
"""Standard deviation of the logarithm of the run times."""

MS_PER_S = 1_000.0


class SimulatedAgent:
    """An agent that runs each task as a timer.

    Parameters
    ----------
    number
        Number of the agent; also the seed of its run times.
    """

    def __init__(self, number: int) -> None:
        self.agent_id = f"agent-{number}"
        self._rack = f"rack-{number // AGENTS_PER_RACK}"
        self._random = random.Random(number)
        self._running = 0
        self._cores_used = 0.0

    @asynccontextmanager
    async def joined(
        self, control: Sequence[ControlPeer], service: str, data_centre: str
    ) -> AsyncIterator[None]:
        """Serve streams of entries and be a member while the context is open."""
        work = WORK.create_service(self._serve)
        async with serve([work], Address("127.0.0.1", 0)) as address:
            member = Member(
                member_id=self.agent_id,
                role=MemberRole.AGENT,
                incarnation="1",
                data_centre=data_centre,
                address=str(address),
                rack=self._rack,
                services=(service,),
                slots=SLOTS,
                worker=WorkerSize(cores=CORES, memory_mb=MEMORY_MB),
            )
            async with MembershipClient(member, control, None, time.monotonic):
                yield

    def _load(self) -> LoadReport:
        return LoadReport(
            running=self._running,
            queued=0,
            cores_used=self._cores_used,
            clock_s=time.monotonic(),
        )

    async def _serve(self, stream: Stream[ToAgent, FromAgent]) -> None:
        await stream.recv_message()
        welcome = AgentWelcome(agent_id=self.agent_id, incarnation="1", slots=SLOTS)
        await stream.send_message(FromAgent(welcome=welcome, load=self._load()))
        outbox: Outbox[TaskResult] = Outbox()
        sender = asyncio.create_task(self._send_forever(stream, outbox))
        try:
            async for message in stream:
                for dispatch in message.dispatches:
                    self._start(dispatch, outbox)
        finally:
            sender.cancel()

    def _start(self, dispatch: Dispatch, outbox: Outbox[TaskResult]) -> None:
        mean_s = float(decode_task(dispatch.payload).content)
        run_s = mean_s * self._random.lognormvariate(0.0, RUN_TIME_SPREAD)
        self._running += 1
        self._cores_used += dispatch.needs.cores
        loop = asyncio.get_running_loop()
        loop.call_later(run_s, self._finish, dispatch, run_s, outbox)

    def _finish(
        self, dispatch: Dispatch, run_s: float, outbox: Outbox[TaskResult]
    ) -> None:
        self._running -= 1
        self._cores_used -= dispatch.needs.cores
        outbox.put(
            TaskResult(
                job_id=dispatch.job_id,
                task_index=dispatch.task_index,
                dispatch_id=dispatch.dispatch_id,
                outcome=TaskOutcome.SUCCEEDED,
                output=b"{}",
                run_time_ms=run_s * MS_PER_S,
                attempt=dispatch.attempt,
            )
        )

    async def _send_forever(
        self, stream: Stream[ToAgent, FromAgent], outbox: Outbox[TaskResult]
    ) -> None:
        while True:
            busy = self._running > 0
            period_s = BUSY_REPORT_PERIOD_S if busy else IDLE_REPORT_PERIOD_S
            results: list[TaskResult] = []
            try:
                async with asyncio.timeout(period_s):
                    results = await outbox.take_batch()
            except TimeoutError:
                pass
            message = FromAgent(results=tuple(results), load=self._load())
            await stream.send_message(message)


@asynccontextmanager
async def joined_agents(
    count: int, control: Sequence[ControlPeer], service: str, data_centre: str
) -> AsyncIterator[None]:
    """Run agents that are members while the context is open."""
    async with AsyncExitStack() as stack:
        for number in range(count):
            agent = SimulatedAgent(number)
            await stack.enter_async_context(agent.joined(control, service, data_centre))
        yield
