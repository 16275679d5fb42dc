"""Serves the stream of one member to this control instance."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from verbenaplank.consensus.errors import NoQuorumError
from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import decode_result
from verbenaplank.control.commands import encode
from verbenaplank.control.replication import ReplicatedLog
from verbenaplank.control.replication import SharedReadBarrier
from verbenaplank.control.state_machine import ControlStateMachine
from verbenaplank.membership.commands import Announce
from verbenaplank.membership.commands import Leave
from verbenaplank.membership.renewals import Renewal
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import LeaseGrant
from verbenaplank.protocol.membership import Member

if TYPE_CHECKING:
    from grpclib.server import Stream

    from verbenaplank.control.member_update_builder import MemberUpdateBuilder
    from verbenaplank.protocol.membership import Heartbeat
    from verbenaplank.protocol.membership import ToControl

PROPOSAL_TIMEOUT_S = 2.0

logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class SessionContext:
    """Dependencies and settings that the sessions of one control instance share.

    Attributes
    ----------
    has_quorum
        Returns whether this instance has a quorum now.
    should_disconnect_members
        Returns whether members should move to another control instance, because
        this one has been without a quorum for too long or is shutting down.
    forward
        Passes a renewal on to the leader.
    """

    machine: ControlStateMachine
    log: ReplicatedLog
    barrier: SharedReadBarrier
    lease_ms: float
    heartbeat_ms: float
    has_quorum: Callable[[], bool]
    should_disconnect_members: Callable[[], bool]
    forward: Callable[[Renewal], None]


class JoinSession:
    """Handles the messages of one member and sends it the state that it lacks."""

    def __init__(
        self,
        stream: Stream[ToControl, FromControl],
        context: SessionContext,
        member: Member,
        update_builder: MemberUpdateBuilder,
    ) -> None:
        self._stream = stream
        self._context = context
        self._member = member
        self._update_builder = update_builder
        self._is_announced = False
        self._left = False
        self._replaced = False
        self._wake = asyncio.Event()

    async def join(self, first: ToControl) -> bool:
        """Add the member to the member list and handle its first message.

        Return whether the member joined, which requires a quorum.  If so, everything
        that was committed before the call is applied here.
        """
        try:
            await self._context.barrier.wait()
            await self._announce(rejoin=False)
        except (NoQuorumError, ProposalRejectedError, OutcomeUnknownError) as error:
            logger.info("member %s could not join: %s", self._member.member_id, error)
            return False
        if not self._context.has_quorum():
            return False
        await self._handle(attrs.evolve(first, member=None))
        self._wake.set()
        return True

    async def run(self) -> None:
        """Serve the stream until it ends, the member leaves or it is disconnected."""
        reader = asyncio.create_task(self._read())
        writer = asyncio.create_task(self._write())
        try:
            await asyncio.wait((reader, writer), return_when=asyncio.FIRST_COMPLETED)
            if reader.done() and not self._left:
                reader.result()
            else:
                await writer
        finally:
            reader.cancel()
            writer.cancel()
            await asyncio.gather(reader, writer, return_exceptions=True)

    def wake_if_updates(self) -> None:
        """Wake the writer if the member lacks updates or is to be disconnected."""
        if (
            self._update_builder.has_updates()
            or self._context.should_disconnect_members()
        ):
            self._wake.set()

    def grant(self, renewal: Renewal) -> None:
        """Send the member the lease that the leader has renewed."""
        if renewal.incarnation != self._member.incarnation:
            return
        lease = LeaseGrant(
            lease_ms=self._context.lease_ms,
            heartbeat_ms=self._context.heartbeat_ms,
            number=renewal.number,
        )
        self._update_builder.grant(lease)
        self._wake.set()

    def rejoin(self, renewal: Renewal) -> None:
        """Announce the member again at its next heartbeat.

        Called after the leader has reported the incarnation as unknown.
        """
        if renewal.incarnation == self._member.incarnation:
            self._is_announced = False

    def mark_replaced(self) -> None:
        """Make the session end because the member has opened another stream."""
        self._replaced = True
        self._wake.set()

    async def _announce(self, *, rejoin: bool) -> None:
        """Propose the member's announcement unless the member list matches it.

        Raises
        ------
        GRPCError
            If another incarnation of the member has joined.
        """
        member = self._member
        known = self._context.machine.membership.members.get(member.member_id)
        if known != member:
            announce = Announce(member=member, rejoin=rejoin)
            result = await self._propose(ControlCommand(announce=announce))
            if not decode_result(result).changed:
                raise GRPCError(
                    Status.ALREADY_EXISTS,
                    f"another incarnation of member {member.member_id} has joined",
                )
        self._is_announced = member == self._member

    async def _propose(self, command: ControlCommand) -> bytes:
        return await self._context.log.propose(encode(command), PROPOSAL_TIMEOUT_S)

    async def _read(self) -> None:
        async for message in self._stream:
            if message.member is not None:
                self._member = message.member
                self._is_announced = False
            await self._handle(message)
            if self._left:
                return

    async def _handle(self, message: ToControl) -> None:
        try:
            if message.leaving:
                await self._leave()
                return
            if not self._is_announced:
                await self._announce(rejoin=True)
        except (ProposalRejectedError, OutcomeUnknownError) as error:
            logger.info(
                "command of member %s was not confirmed: %s",
                self._member.member_id,
                error,
            )
            return
        if message.heartbeat is not None:
            self._forward(message.heartbeat)

    async def _leave(self) -> None:
        member = self._member
        leave = Leave(member_id=member.member_id, incarnation=member.incarnation)
        await self._propose(ControlCommand(leave=leave))
        self._left = True
        self._wake.set()

    def _forward(self, heartbeat: Heartbeat) -> None:
        renewal = Renewal(
            member_id=self._member.member_id,
            incarnation=self._member.incarnation,
            configuration_version=heartbeat.configuration_version,
            number=heartbeat.number,
        )
        self._context.forward(renewal)

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._left:
                await self._stream.send_message(FromControl(left=True))
                return
            if self._replaced:
                raise GRPCError(Status.ABORTED, "the member has opened another stream")
            if self._context.should_disconnect_members():
                await self._stream.send_message(FromControl(current=False))
                return
            if self._context.has_quorum() and self._update_builder.has_updates():
                await self._stream.send_message(self._update_builder.next_message())
