"""A member's client of the control instances' membership service."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import TYPE_CHECKING

from verbenaplank.concurrency.cancellation import cancel_and_wait
from verbenaplank.concurrency.restarting import create_restarting_task
from verbenaplank.concurrency.running_timeout import running_timeout
from verbenaplank.membership.client_state import ClientState
from verbenaplank.membership.client_state import MembershipEvent
from verbenaplank.protocol.membership import Heartbeat
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import ToControl
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.errors import RPC_ERRORS
from verbenaplank.rpc.services import JOIN

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from grpclib.client import Stream

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.configuration.effective import EffectiveConfiguration
    from verbenaplank.protocol.membership import EvacuationList
    from verbenaplank.protocol.membership import FromControl
    from verbenaplank.protocol.membership import RegistrarGroup
    from verbenaplank.routing.table import RoutingTable
    from verbenaplank.settings.common import ControlPeer
    from verbenaplank.settings.common import TlsSettings

DEFAULT_HEARTBEAT_S = 0.5
"""Period of heartbeats until a control instance has asked for another."""

CONNECT_TIMEOUT_S = 0.5
"""Timeout for connecting and sending the first message to one instance.

After it, another instance is tried.
"""

FIRST_ANSWER_TIMEOUT_S = 1.0
"""Timeout for an instance's answer to the first message of a stream."""

MAX_HEARTBEATS_WITHOUT_GRANT = 3.0
"""Heartbeat periods without a lease grant after which a stream is abandoned."""

MIN_RECEIVE_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 2.0
LEAVE_TIMEOUT_S = 2.0


class MembershipClient:
    """Keeps a member joined to the system through one control instance at a time.

    Use it as an asynchronous context manager.  It connects to another instance
    when the stream breaks, when the instance grants no lease for too long, and
    when the instance tells the member to move, because it has no quorum or stops.

    Parameters
    ----------
    member
        The member's announcement: its id, role and other data.
    control
        The control instances.  Those in the member's data centre are tried first.
    listener
        Called with each change, after this object's properties have been updated.
    """

    def __init__(
        self,
        member: Member,
        control: Sequence[ControlPeer],
        tls: TlsSettings | None,
        clock: MonotonicClock,
        listener: Callable[[MembershipEvent], None] | None = None,
    ) -> None:
        self._member = member
        self._control = control
        self._tls = tls
        self._clock = clock
        self._listener = listener
        self._state = ClientState()
        self._random = random.Random(f"{member.member_id} {member.incarnation}")
        self._wake = asyncio.Event()
        self._ready = asyncio.Event()
        self._left = asyncio.Event()
        self._member_changed = False
        self._leaving = False
        self._joined = False
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> MembershipClient:
        """Start connecting; :meth:`wait_ready` waits for the first state."""
        self._task = create_restarting_task(self._run)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the stream without leaving.

        Unless :meth:`leave` was called, the member stays in the member list until
        its lease expires.
        """
        if self._task is None:
            return
        await cancel_and_wait(self._task)

    @property
    def configuration(self) -> EffectiveConfiguration:
        """Return the newest configuration; its version never decreases."""
        return self._state.configuration

    @property
    def agents(self) -> Mapping[str, Member]:
        """Return the agents by id; empty for a member that is an agent."""
        return self._state.agents

    @property
    def entries(self) -> Mapping[str, Member]:
        """Return the entries by id; empty for a member that is an agent."""
        return self._state.entries

    @property
    def registrars(self) -> RegistrarGroup | None:
        """Return the newest open registrar group, or ``None`` if none is known yet."""
        return self._state.registrars

    @property
    def routing(self) -> RoutingTable:
        """Return the newest routing table; its version never decreases."""
        return self._state.routing

    @property
    def evacuations(self) -> EvacuationList:
        """Return the newest list of evacuated data centres.

        Its revision never decreases, also while no control instance is reachable.
        """
        return self._state.evacuations

    @property
    def ready(self) -> bool:
        """Return whether a control instance with a quorum has sent a configuration."""
        return self._state.ready

    @property
    def drain_ordered(self) -> bool:
        """Return whether an operator or the configuration drains this member."""
        return self._state.drain_ordered

    @property
    def lease_since_s(self) -> float:
        """Return the time since which the lease has been held without a gap.

        The time is in seconds of the monotonic clock.  It is infinity before the
        first lease; after an expiry it keeps its value until a new lease begins.
        """
        return self._state.lease_since_s

    async def wait_ready(self) -> None:
        """Wait until :attr:`ready` is true."""
        await self._ready.wait()

    def lease_valid(self, now_s: float) -> bool:
        """Return whether the lease is valid at a time of the monotonic clock."""
        return self._state.lease_valid(now_s)

    def update(self, member: Member) -> None:
        """Replace the announced member and send the announcement at once."""
        self._member = member
        self._member_changed = True
        self._wake.set()

    def set_control_instances(self, control: Sequence[ControlPeer]) -> None:
        """Replace the control instances; used from the next connection on."""
        self._control = control

    async def leave(self) -> None:
        """Leave the member list.

        Return when a control instance has confirmed the removal, after
        ``LEAVE_TIMEOUT_S`` at the latest, or at once if the member has not joined.
        """
        self._leaving = True
        self._wake.set()
        if not self._joined:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._left.wait()

    async def _run(self) -> None:
        peers: list[ControlPeer] = []
        control: Sequence[ControlPeer] = ()
        failures = 0
        while not self._left.is_set():
            if control is not self._control:
                control = self._control
                peers = self._peers_by_preference()
            peer = peers[failures % len(peers)]
            if await self._run_stream(peer):
                # The next attempt starts with another instance.
                failures = 0
                peers = [*[p for p in peers if p is not peer], peer]
            else:
                failures += 1
            await asyncio.sleep(self._backoff_s(failures // len(peers)))

    def _peers_by_preference(self) -> list[ControlPeer]:
        peers = list(self._control)
        self._random.shuffle(peers)
        own_data_centre = self._member.data_centre
        return sorted(peers, key=lambda peer: peer.data_centre != own_data_centre)

    def _backoff_s(self, rounds: int) -> float:
        longest_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**rounds)
        return self._random.uniform(longest_s / 2, longest_s)

    async def _run_stream(self, peer: ControlPeer) -> bool:
        """Run one stream to an instance; return whether the member has joined."""
        self._joined = False
        with suppress(*RPC_ERRORS), open_channel(peer.address, self._tls) as channel:
            async with JOIN.open(channel) as stream:
                await self._serve_stream(stream)
        return self._joined

    async def _serve_stream(self, stream: Stream[ToControl, FromControl]) -> None:
        self._state.reset_heartbeats()
        self._member_changed = False
        async with running_timeout(CONNECT_TIMEOUT_S):
            await self._send(stream, 1, first=True)
        sender = asyncio.create_task(self._send_heartbeats(stream))
        try:
            await self._receive(stream)
        finally:
            await cancel_and_wait(sender, *RPC_ERRORS)

    async def _send_heartbeats(self, stream: Stream[ToControl, FromControl]) -> None:
        number = 1
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(self._heartbeat_s()):
                    await self._wake.wait()
            self._wake.clear()
            number += 1
            await self._send(stream, number)

    def _heartbeat_s(self) -> float:
        return self._state.heartbeat_s or DEFAULT_HEARTBEAT_S

    async def _send(
        self,
        stream: Stream[ToControl, FromControl],
        number: int,
        *,
        first: bool = False,
    ) -> None:
        announced = first or self._member_changed
        self._member_changed = False
        heartbeat = Heartbeat(
            configuration_version=self._state.configuration.version,
            draining=self._member.draining,
            number=number,
        )
        message = ToControl(
            member=self._member if announced else None,
            heartbeat=heartbeat,
            leaving=self._leaving,
            members_revision=self._state.members_revision if first else 0,
        )
        self._state.record_heartbeat(number, self._clock())
        await stream.send_message(message)

    async def _receive(self, stream: Stream[ToControl, FromControl]) -> None:
        async with running_timeout(FIRST_ANSWER_TIMEOUT_S):
            message = await stream.recv_message()
        granted_s = self._clock()
        while True:
            if message is None or not message.current:
                return
            if message.left:
                self._left.set()
                return
            if message.lease is not None:
                granted_s = self._clock()
            self._joined = True
            self._apply(message)
            timeout_s = self._receive_timeout_s() - (self._clock() - granted_s)
            async with asyncio.timeout(timeout_s):
                message = await stream.recv_message()

    def _receive_timeout_s(self) -> float:
        return max(
            MIN_RECEIVE_TIMEOUT_S, MAX_HEARTBEATS_WITHOUT_GRANT * self._heartbeat_s()
        )

    def _apply(self, message: FromControl) -> None:
        for event in self._state.apply(message):
            if self._listener is not None:
                self._listener(event)
        if self._state.ready:
            self._ready.set()
