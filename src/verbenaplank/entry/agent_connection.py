"""A reconnecting gRPC stream to one agent, with lease renewal and batching."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import attrs

from verbenaplank.entry import decision_log
from verbenaplank.entry.renewal import LONG_LEASE
from verbenaplank.entry.renewal import RenewalSchedule
from verbenaplank.entry.renewal import TaskLease
from verbenaplank.protocol.crash import Confinement
from verbenaplank.protocol.crash import CrashReport
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import HeldCount
from verbenaplank.protocol.work import LeaseRenewal
from verbenaplank.protocol.work import Revoke
from verbenaplank.protocol.work import Stop
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.address import parse_address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.errors import RPC_ERRORS
from verbenaplank.rpc.outbox import Outbox
from verbenaplank.rpc.services import WORK

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from grpclib.client import Stream

    from verbenaplank.entry.effects import ToAgentItem
    from verbenaplank.entry.traffic import Traffic
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.work import AgentWelcome
    from verbenaplank.protocol.work import EntryHello
    from verbenaplank.protocol.work import FromAgent
    from verbenaplank.settings.common import TlsSettings

FIRST_RECONNECT_PAUSE_S = 0.05
MAX_RECONNECT_PAUSE_S = 1.0
CONNECT_TIMEOUT_S = 1.0
MAX_PAYLOAD_BYTES_PER_MESSAGE = 1024 * 1024
MS_PER_S = 1_000.0


OutboxItem = (
    Dispatch | Revoke | Stop | CrashReport | Confinement | HeldCount | LeaseRenewal
)


class AgentListener(Protocol):
    """Receives the events of an agent's stream."""

    def on_agent_connected(self, welcome: AgentWelcome) -> None:
        """Handle a stream that has opened."""

    def on_agent_message(self, agent_id: str, message: FromAgent) -> None:
        """Handle a message from an agent."""

    def on_agent_disconnected(self, agent_id: str) -> None:
        """Handle a stream that has closed."""

    def has_open_dispatches(self, agent_id: str) -> bool:
        """Return whether an agent has dispatches that may start or are running."""


class AgentConnection:
    """Keeps one stream to an agent open and reopens it when it breaks.

    Items sent while the stream is down are dropped.  When it is open again, the
    engine revokes every open dispatch, so that the agent reports its state.  If the
    agent has restarted, its open dispatches are lost.

    Parameters
    ----------
    member
        The agent and its address.
    hello
        The first message of every stream; identifies this entry.
    listener
        Receives the events of the stream.
    tls
        TLS settings, or ``None`` for plain text.
    traffic
        Counts messages and items.
    lease
        Length and renewal of the lease that the entry holds at the agent.
    """

    def __init__(
        self,
        member: Member,
        hello: EntryHello,
        listener: AgentListener,
        tls: TlsSettings | None,
        traffic: Traffic,
        lease: TaskLease = LONG_LEASE,
    ) -> None:
        self._traffic = traffic
        self._lease = lease
        self._member = member
        self._hello = hello
        self._listener = listener
        self._tls = tls
        self._outbox: Outbox[OutboxItem] | None = None
        self._reconnect_stopped = False
        self._results_received = 0
        self._renewals = _new_schedule(lease)
        self._last_message_s = 0.0
        self._agent_clock_s: float | None = None
        self._close_requested = asyncio.Event()
        self._close_cause = ""
        self._retired = False
        self._busy_since_s: float | None = None

    def send(self, item: OutboxItem) -> None:
        """Queue an item; it is sent in one message with other queued items."""
        if self._outbox is not None:
            self._outbox.put(item)

    def stop_reconnecting(self) -> None:
        """Keep the current stream, but do not reopen it when it breaks."""
        self._reconnect_stopped = True

    def resume_reconnecting(self, member: Member) -> None:
        """Reopen the stream again when it breaks, at the member's new address."""
        self._member = member
        self._reconnect_stopped = False
        self._retired = False

    def retire(self) -> None:
        """Close the stream for good once no dispatch is open at the agent."""
        self._retired = True

    def keep_alive(self, now_s: float, late_s: float) -> None:
        """Send a renewal if a message is due, and close a stream that has timed out.

        Parameters
        ----------
        now_s
            Monotonic time in seconds.
        late_s
            By how much this check is late.  Messages that arrived meanwhile may not
            have been read yet, so that time does not count as silence of the agent.
        """
        outbox = self._outbox
        if outbox is None:
            return
        busy = self._listener.has_open_dispatches(self._member.member_id)
        received = self._results_received
        if self._renewals.is_message_due(now_s, received, has_open=busy):
            outbox.put(self._renewal())
        if self._has_timed_out(now_s - late_s, busy=busy):
            self._request_close("silent")
        elif self._retired and not busy:
            self._request_close("retired")

    async def run(self) -> None:
        """Keep a stream open until cancelled or told to stop reconnecting."""
        pause_s = FIRST_RECONNECT_PAUSE_S
        while self._needs_stream():
            if await self._run_stream():
                pause_s = FIRST_RECONNECT_PAUSE_S
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RECONNECT_PAUSE_S)

    def _needs_stream(self) -> bool:
        if self._reconnect_stopped:
            return False
        agent_id = self._member.member_id
        return not self._retired or self._listener.has_open_dispatches(agent_id)

    def _request_close(self, cause: str) -> None:
        self._close_cause = cause
        self._close_requested.set()

    async def _run_stream(self) -> bool:
        """Open a stream and serve it; return whether it could be opened."""
        try:
            with open_channel(
                parse_address(self._member.address), self._tls
            ) as channel:
                async with WORK.open(channel) as stream:
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        first = await self._handshake(stream)
                    welcome = first.welcome if first is not None else None
                    if welcome is None or welcome.agent_id != self._member.member_id:
                        return False
                    await self._serve(stream, welcome, _clock_s(first))
                    return True
        except RPC_ERRORS:
            return False

    async def _handshake(self, stream: Stream[ToAgent, FromAgent]) -> FromAgent | None:
        await stream.send_message(ToAgent(hello=self._hello))
        return await stream.recv_message()

    async def _serve(
        self,
        stream: Stream[ToAgent, FromAgent],
        welcome: AgentWelcome,
        agent_clock_s: float | None,
    ) -> None:
        outbox: Outbox[OutboxItem] = Outbox()
        self._outbox = outbox
        self._close_requested.clear()
        self._busy_since_s = None
        self._results_received = 0
        self._renewals = _new_schedule(self._lease)
        self._last_message_s = asyncio.get_running_loop().time()
        self._agent_clock_s = agent_clock_s
        self._listener.on_agent_connected(welcome)
        if self._listener.has_open_dispatches(welcome.agent_id):
            outbox.put(self._renewal())
        decision_log.agent_connected(welcome.agent_id, welcome.incarnation)
        stream_tasks: set[asyncio.Task[Any]] = {
            asyncio.create_task(self._receive(stream)),
            asyncio.create_task(self._send_forever(stream, outbox)),
            asyncio.create_task(self._close_requested.wait()),
        }
        try:
            await asyncio.wait(stream_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._outbox = None
            for stream_task in stream_tasks:
                stream_task.cancel()
            await asyncio.gather(*stream_tasks, return_exceptions=True)
            self._listener.on_agent_disconnected(welcome.agent_id)
            cause = self._close_cause if self._close_requested.is_set() else "closed"
            silent_s = asyncio.get_running_loop().time() - self._last_message_s
            decision_log.agent_disconnected(welcome.agent_id, cause, silent_s)

    async def _receive(self, stream: Stream[ToAgent, FromAgent]) -> None:
        agent_id = self._member.member_id
        clock = asyncio.get_running_loop().time
        async for message in stream:
            self._last_message_s = clock()
            self._traffic.count_received(message)
            self._results_received += len(message.results)
            self._listener.on_agent_message(agent_id, message)
            if message.load is None:
                continue
            self._agent_clock_s = message.load.clock_s
            if message.load.draining or self._is_renewal_due_on_report(agent_id):
                self.send(self._renewal())

    def _is_renewal_due_on_report(self, agent_id: str) -> bool:
        return (
            self._lease.renews_on_report
            and self._listener.has_open_dispatches(agent_id)
            and self._renewals.is_due_on_report(asyncio.get_running_loop().time())
        )

    def _has_timed_out(self, now_s: float, *, busy: bool) -> bool:
        """Return whether the agent has sent nothing for longer than the timeout."""
        if not busy:
            self._busy_since_s = None
            return now_s - self._last_message_s > self._lease.idle_timeout_s
        if self._busy_since_s is None:
            self._busy_since_s = now_s
        since_s = max(self._last_message_s, self._busy_since_s)
        return now_s - since_s > self._lease.busy_timeout_s

    def _renewal(self) -> LeaseRenewal:
        report_clock_s = self._agent_clock_s if self._lease.renews_on_report else None
        lease_ms = self._lease.lease_s * MS_PER_S
        return LeaseRenewal(lease_ms=lease_ms, heard_clock_s=report_clock_s)

    async def _send_forever(
        self, stream: Stream[ToAgent, FromAgent], outbox: Outbox[OutboxItem]
    ) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            items = await outbox.take_batch()
            if self._renewals.is_renewal_due(
                clock(), has_dispatches=_has_dispatch(items)
            ):
                items.insert(0, self._renewal())
            for message in pack_messages(items, self._results_received):
                self._traffic.count_sent(message)
                self._renewals.record_sent(
                    clock(),
                    message.results_received,
                    renewal=message.renewal is not None,
                )
                await stream.send_message(message)


def _clock_s(message: FromAgent | None) -> float | None:
    """Return the reading of the agent's clock in a message, if it has one."""
    if message is None or message.load is None:
        return None
    return message.load.clock_s


def _new_schedule(lease: TaskLease) -> RenewalSchedule:
    return RenewalSchedule(
        period_s=lease.renewal_period_s,
        dispatch_period_s=lease.dispatch_renewal_period_s,
    )


def _has_dispatch(items: Iterable[OutboxItem]) -> bool:
    return any(isinstance(item, Dispatch) for item in items)


def pack_messages(
    items: Iterable[OutboxItem], results_received: int = 0
) -> Iterator[ToAgent]:
    """Pack items into messages that are well below the maximum message size.

    A message holds payloads of at most ``MAX_PAYLOAD_BYTES_PER_MESSAGE`` bytes, or
    one dispatch with a larger payload.

    Each message also acknowledges the number of results received on the stream so
    far, so that the agent can discard them.
    """
    builder = _MessageBuilder()
    for item in items:
        if isinstance(item, Dispatch) and builder.is_full_for(item):
            yield builder.build(results_received)
            builder = _MessageBuilder()
        builder.add(item)
    yield builder.build(results_received)


@attrs.define
class _MessageBuilder:
    dispatches: list[Dispatch] = attrs.field(factory=list)
    revokes: list[Revoke] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    crashes: list[CrashReport] = attrs.field(factory=list)
    confinements: list[Confinement] = attrs.field(factory=list)
    renewal: LeaseRenewal | None = None
    held: int | None = None
    payload_bytes: int = 0

    def is_full_for(self, dispatch: Dispatch) -> bool:
        size_bytes = self.payload_bytes + len(dispatch.payload)
        return bool(self.dispatches) and size_bytes > MAX_PAYLOAD_BYTES_PER_MESSAGE

    def add(self, item: ToAgentItem | LeaseRenewal) -> None:
        if isinstance(item, Dispatch):
            self.dispatches.append(item)
            self.payload_bytes += len(item.payload)
        elif isinstance(item, Revoke):
            self.revokes.append(item)
        elif isinstance(item, Stop):
            self.stops.append(item)
        elif isinstance(item, CrashReport):
            self.crashes.append(item)
        elif isinstance(item, Confinement):
            self.confinements.append(item)
        elif isinstance(item, HeldCount):
            self.held = item.tasks
        else:
            self.renewal = item

    def build(self, results_received: int) -> ToAgent:
        return ToAgent(
            dispatches=tuple(self.dispatches),
            revokes=tuple(self.revokes),
            stops=tuple(self.stops),
            renewal=self.renewal,
            results_received=results_received,
            crashes=tuple(self.crashes),
            confinements=tuple(self.confinements),
            held=self.held,
        )
