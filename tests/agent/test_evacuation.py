"""An agent starts nothing while its data centre is evacuated."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from agent_helpers import HELLO
from agent_helpers import LEASE
from agent_helpers import RECEIVE_TIMEOUT_S
from agent_helpers import dispatch
from agent_helpers import receive
from fake_control import FakeControl

from verbenaplank.agent.application import AgentInstance
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.services import WORK
from verbenaplank.settings.agent import AgentSettings
from verbenaplank.settings.checker import check_settings
from verbenaplank.standin.backend_server import StandInBackendServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from grpclib.client import Stream

HERE = "Kochi"
ELSEWHERE = "Pune"


def _settings(control_port: int, backend_port: int) -> AgentSettings:
    local = {"host": "127.0.0.1", "port": 0}
    document = {
        "instance_id": "a1",
        "data_centre": HERE,
        "rpc": local,
        "control": [{**local, "instance_id": "c1", "port": control_port}],
        "backend_server": {**local, "port": backend_port, "services": ["draw"]},
    }
    return check_settings(document, AgentSettings, "agent.toml")


class Site:
    """An agent, its control instance and the stream of an entry."""

    def __init__(
        self,
        control: FakeControl,
        stream: Stream[ToAgent, FromAgent],
        started: asyncio.Event,
    ) -> None:
        self.control = control
        self.stream = stream
        self.started = started

    async def send(self, number: int, run_time_ms: float = 0.0) -> None:
        task = dispatch(number, run_time_ms)
        await self.stream.send_message(ToAgent(dispatches=(task,)))

    async def receive_until(
        self, condition: Callable[[FromAgent], object]
    ) -> FromAgent:
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while not condition(message := await receive(self.stream)):
                pass
        return message

    async def refusal(self) -> RefusalReason:
        message = await self.receive_until(lambda message: message.refusals)
        return message.refusals[0].reason

    async def load_with(self, *, draining: bool) -> None:
        await self.receive_until(
            lambda message: message.load and message.load.draining is draining
        )


@asynccontextmanager
async def _site(control: FakeControl) -> AsyncIterator[Site]:
    started = asyncio.Event()
    async with (
        control.serving(),
        StandInBackendServer("b1", record=lambda _: started.set()) as backend,
        AgentInstance(_settings(control.port, backend.port), incarnation="a1") as agent,
    ):
        with open_channel(agent.rpc_address) as channel:
            async with WORK.open(channel) as stream:
                await stream.send_message(ToAgent(hello=HELLO, renewal=LEASE))
                yield Site(control, stream, started)
                await stream.cancel()


async def test_nothing_starts_before_the_first_state() -> None:
    """A restarted agent ran tasks until it heard of the evacuation."""
    control = FakeControl()
    control.answers.clear()
    await control.evacuate(1, HERE)
    async with _site(control) as site:
        await site.send(1)
        assert await site.refusal() is RefusalReason.DRAINING
        control.answers.set()
        await site.send(2)
        assert await site.refusal() is RefusalReason.DRAINING
        assert not site.started.is_set()


async def test_evacuated_agent_finishes_runs_and_resumes_after_withdrawal() -> None:
    """An agent that announced a drain would leave its service for good."""
    async with _site(FakeControl()) as site:
        await site.load_with(draining=False)
        await site.send(1, run_time_ms=200.0)
        await asyncio.wait_for(site.started.wait(), RECEIVE_TIMEOUT_S)
        await site.control.evacuate(1, ELSEWHERE, HERE)
        await site.load_with(draining=True)
        await site.send(2)
        refused = await site.receive_until(lambda message: message.refusals)
        assert refused.refusals[0].reason is RefusalReason.DRAINING
        assert refused.refusals[0].evacuated
        ended = await site.receive_until(lambda message: message.results)
        assert ended.results[0].outcome is TaskOutcome.SUCCEEDED

        await site.control.evacuate(2, ELSEWHERE)
        await site.load_with(draining=False)
        await site.send(3)
        ended = await site.receive_until(lambda message: message.results)
        assert ended.results[0].outcome is TaskOutcome.SUCCEEDED
        assert not any(member.draining for member in site.control.announced)
