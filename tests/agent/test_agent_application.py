from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
from agent_helpers import HELLO
from agent_helpers import LEASE
from agent_helpers import dispatch
from agent_helpers import receive

from verbenaplank.agent.application import AgentInstance
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.control.application import ControlInstance
from verbenaplank.history.event import Event
from verbenaplank.history.event import EventKind
from verbenaplank.membership.client import MembershipClient
from verbenaplank.membership.client_state import MembershipEvent
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.services import WORK
from verbenaplank.settings.agent import AgentSettings
from verbenaplank.settings.checker import check_settings
from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.control import ControlSettings
from verbenaplank.standin.backend_server import StandInBackendServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


LOCAL = {"host": "127.0.0.1", "port": 0}
ENTRY = Member(
    member_id="e1",
    role=MemberRole.ENTRY,
    incarnation="1",
    data_centre="d",
    address="127.0.0.1:1",
)


@attrs.frozen
class Site:
    agent: AgentInstance
    entry: MembershipClient
    changes: asyncio.Queue[MembershipEvent]
    events: list[Event]
    backend_started: asyncio.Event


def _control_settings(folder: Path) -> ControlSettings:
    document = {
        "instance_id": "c1",
        "data_centre": "d",
        "data_folder": str(folder),
        "http": LOCAL,
        "rpc": LOCAL,
        "peers": [{"instance_id": "c1", **LOCAL}],
        "administration": {"token_sha256": "0" * 64},
        "consensus": {"heartbeat_ms": 20.0, "election_timeout_ms": 150.0},
        "membership": {"heartbeat_ms": 50.0, "lease_ms": 1_000.0},
    }
    return check_settings(document, ControlSettings, "control.toml")


def _agent_settings(control_port: int, backend_port: int) -> AgentSettings:
    document = {
        "instance_id": "a1",
        "data_centre": "d",
        "rpc": LOCAL,
        "control": [{**LOCAL, "instance_id": "c1", "port": control_port}],
        "backend_server": {**LOCAL, "port": backend_port, "services": ["draw"]},
    }
    return check_settings(document, AgentSettings, "agent.toml")


@asynccontextmanager
async def _site(folder: Path, backend_port: int = 0) -> AsyncIterator[Site]:
    started = asyncio.Event()
    changes: asyncio.Queue[MembershipEvent] = asyncio.Queue()
    events: list[Event] = []
    async with (
        ControlInstance(_control_settings(folder)) as control,
        StandInBackendServer("b1", record=lambda _: started.set()) as backend,
    ):
        port = control.rpc_address.port
        peer = ControlPeer(instance_id="c1", host="127.0.0.1", port=port)
        settings = _agent_settings(port, backend_port or backend.port)
        async with (
            MembershipClient(
                ENTRY, [peer], None, monotonic_s, changes.put_nowait
            ) as entry,
            AgentInstance(settings, record=events.append, incarnation="a1") as agent,
        ):
            await agent.wait_ready()
            yield Site(agent, entry, changes, events, started)


async def _wait_for_agent(site: Site, *, present: bool, draining: bool = False) -> None:
    """Wait until the entry sees the agent with the given state, or sees it no more."""
    while True:
        member = site.entry.agents.get("a1")
        found = None if member is None else member.draining
        if found == (draining if present else None):
            return
        await site.changes.get()


async def test_drain_finishes_running_tasks_delivers_results_and_leaves(
    tmp_path: Path,
) -> None:
    """An agent that leaves before the result is delivered would lose it."""
    async with _site(tmp_path) as site:
        await _wait_for_agent(site, present=True)
        assert site.entry.agents["a1"].address == str(site.agent.rpc_address)
        with open_channel(site.agent.rpc_address) as channel:
            async with WORK.open(channel) as stream:
                task = dispatch(0, run_time_ms=100.0)
                await stream.send_message(
                    ToAgent(hello=HELLO, renewal=LEASE, dispatches=(task,))
                )
                await site.backend_started.wait()
                draining = asyncio.ensure_future(site.agent.drain())
                await _wait_for_agent(site, present=True, draining=True)
                while not (message := await receive(stream)).results:
                    pass
                await draining
                await stream.cancel()
        await _wait_for_agent(site, present=False)

    assert message.results[0].outcome is TaskOutcome.SUCCEEDED
    assert [event.kind for event in site.events] == [
        EventKind.JOINED,
        EventKind.STARTED,
        EventKind.LEFT,
        EventKind.ENDED,
    ]


async def test_agent_drains_while_its_backend_server_is_down(tmp_path: Path) -> None:
    """Entries must not dispatch to an agent whose backend server is unreachable."""
    with socket.socket() as reserved:
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        port = reserved.getsockname()[1]
        async with _site(tmp_path, backend_port=port) as site:
            await _wait_for_agent(site, present=True, draining=True)
            assert not site.agent.ready
            async with StandInBackendServer("b2", port=port):
                await _wait_for_agent(site, present=True, draining=False)
                assert site.agent.ready
