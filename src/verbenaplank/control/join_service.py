"""Serves member streams: leases, configuration and the member list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from verbenaplank.control.join_session import JoinSession
from verbenaplank.control.member_update_builder import MemberUpdateBuilder
from verbenaplank.protocol.membership import FromControl
from verbenaplank.rpc.services import JOIN

if TYPE_CHECKING:
    from grpclib.server import Stream

    from verbenaplank.control.join_session import SessionContext
    from verbenaplank.membership.renewals import RenewalReply
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.membership import ToControl
    from verbenaplank.rpc.method import Service


class JoinService:
    """Holds one session for each member with a stream to this control instance."""

    def __init__(self, context: SessionContext) -> None:
        self._context = context
        self._sessions: dict[str, JoinSession] = {}
        self._wake_scheduled = False

    def __len__(self) -> int:
        return len(self._sessions)

    def service(self) -> Service:
        """Return the RPC service to which members open their streams."""
        return JOIN.create_service(self._serve)

    def schedule_updates(self) -> None:
        """Schedule one wake-up of all sessions that have something to send.

        Calls before that wake-up has run are merged into it.
        """
        if self._wake_scheduled or not self._sessions:
            return
        self._wake_scheduled = True
        asyncio.get_running_loop().call_soon(self._wake_sessions)

    def deliver(self, reply: RenewalReply) -> None:
        """Pass each renewal in the leader's reply to its member's session."""
        for renewal in reply.granted:
            session = self._sessions.get(renewal.member_id)
            if session is not None:
                session.grant(renewal)
        for renewal in reply.unknown:
            session = self._sessions.get(renewal.member_id)
            if session is not None:
                session.rejoin(renewal)

    def _wake_sessions(self) -> None:
        self._wake_scheduled = False
        for session in self._sessions.values():
            session.wake_if_updates()

    async def _serve(self, stream: Stream[ToControl, FromControl]) -> None:
        first = await stream.recv_message()
        if first is None:
            return
        if first.member is None:
            detail = "the first message announces no member"
            raise GRPCError(Status.INVALID_ARGUMENT, detail)
        session = self._create_session(stream, first, first.member)
        if not await session.join(first):
            await stream.send_message(FromControl(current=False))
            return
        await self._run_session(first.member.member_id, session)

    def _create_session(
        self, stream: Stream[ToControl, FromControl], first: ToControl, member: Member
    ) -> JoinSession:
        version = first.heartbeat.configuration_version if first.heartbeat else 0
        update_builder = MemberUpdateBuilder(
            self._context.machine, member, version, first.members_revision
        )
        return JoinSession(stream, self._context, member, update_builder)

    async def _run_session(self, member_id: str, session: JoinSession) -> None:
        replaced = self._sessions.get(member_id)
        if replaced is not None:
            replaced.mark_replaced()
        self._sessions[member_id] = session
        try:
            await session.run()
        finally:
            if self._sessions.get(member_id) is session:
                del self._sessions[member_id]
