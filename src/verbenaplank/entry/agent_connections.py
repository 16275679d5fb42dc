"""Manages the connections to agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Self

from verbenaplank.concurrency.restarting import create_restarting_task
from verbenaplank.entry.agent_connection import AgentConnection
from verbenaplank.entry.renewal import LONG_LEASE

if TYPE_CHECKING:
    from types import TracebackType

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.effects import ToAgentItem
    from verbenaplank.entry.renewal import TaskLease
    from verbenaplank.entry.runner import EngineRunner
    from verbenaplank.entry.traffic import Traffic
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.work import AgentWelcome
    from verbenaplank.protocol.work import EntryHello
    from verbenaplank.protocol.work import FromAgent
    from verbenaplank.settings.common import TlsSettings

CHECKS_PER_RENEWAL = 2


class EngineListener:
    """Forwards the events of the agents' streams to the engine."""

    def __init__(self, runner: EngineRunner, clock: MonotonicClock) -> None:
        self._runner = runner
        self._clock = clock

    def on_agent_connected(self, welcome: AgentWelcome) -> None:
        """Handle a stream that has opened."""
        self._runner.engine.on_agent_connected(welcome, self._clock())
        self._runner.flush_soon()

    def on_agent_message(self, agent_id: str, message: FromAgent) -> None:
        """Handle a message from an agent."""
        self._runner.engine.on_agent_message(agent_id, message, self._clock())
        self._runner.flush_soon()

    def on_agent_disconnected(self, agent_id: str) -> None:
        """Handle a stream that has closed."""
        self._runner.engine.on_agent_disconnected(agent_id, self._clock())
        self._runner.flush_soon()

    def has_open_dispatches(self, agent_id: str) -> bool:
        """Return whether an agent has dispatches that may start or are running."""
        return self._runner.engine.dispatch_table.has_open_dispatches(agent_id)


class AgentConnections:
    """Holds connections to agents, and closes them when its context ends.

    Parameters
    ----------
    hello
        The first message of every stream; identifies this entry.
    listener
        Receives the events of all streams.
    tls
        TLS settings, or ``None`` for plain text.
    traffic
        Counts messages and items of all streams.
    lease
        Length and renewal of the lease that the entry holds at each agent.
    """

    def __init__(
        self,
        hello: EntryHello,
        listener: EngineListener,
        tls: TlsSettings | None,
        traffic: Traffic,
        lease: TaskLease = LONG_LEASE,
    ) -> None:
        self._traffic = traffic
        self._lease = lease
        self._hello = hello
        self._listener = listener
        self._tls = tls
        self._connections: dict[str, AgentConnection] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._keep_alive_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._keep_alive_task = create_restarting_task(self._keep_alive_forever)
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        tasks = [*self._tasks.values()]
        if self._keep_alive_task is not None:
            tasks.append(self._keep_alive_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, agent_id: str, item: ToAgentItem) -> None:
        """Send an item to an agent; dropped if the agent's stream is not open."""
        connection = self._connections.get(agent_id)
        if connection is not None:
            connection.send(item)

    def connect(self, member: Member) -> None:
        """Connect to an agent that joined, or update the address of a known one."""
        connection = self._connections.get(member.member_id)
        if connection is not None and not self._tasks[member.member_id].done():
            connection.resume_reconnecting(member)
            return
        connection = AgentConnection(
            member,
            self._hello,
            self._listener,
            self._tls,
            self._traffic,
            self._lease,
        )
        self._connections[member.member_id] = connection
        task = create_restarting_task(connection.run)
        self._tasks[member.member_id] = task
        task.add_done_callback(lambda _: self._remove(member.member_id, connection))

    def stop_reconnecting(self, agent_id: str) -> None:
        """Keep an agent's current stream, but do not reopen it when it breaks."""
        connection = self._connections.get(agent_id)
        if connection is not None:
            connection.stop_reconnecting()

    def retire(self, agent_id: str) -> None:
        """Close an agent's stream once no dispatch is open there."""
        connection = self._connections.get(agent_id)
        if connection is not None:
            connection.retire()

    async def _keep_alive_forever(self) -> None:
        """Keep all streams alive; one loop costs less than one for each stream."""
        clock = asyncio.get_running_loop().time
        period_s = self._lease.renewal_period_s / CHECKS_PER_RENEWAL
        while True:
            due_s = clock() + period_s
            await asyncio.sleep(period_s)
            now_s = clock()
            for connection in self._connections.values():
                connection.keep_alive(now_s, now_s - due_s)

    def _remove(self, agent_id: str, connection: AgentConnection) -> None:
        if self._connections.get(agent_id) is connection:
            del self._connections[agent_id]
            del self._tasks[agent_id]
