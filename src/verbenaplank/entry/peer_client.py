"""Client for attaching to, or cancelling, jobs that other entries own."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from verbenaplank.clock.sources import MonotonicClock
from verbenaplank.entry.dispatch_table import DispatchTable
from verbenaplank.entry.interfaces import Membership
from verbenaplank.entry.response import HttpResponse
from verbenaplank.entry.response import failure_response
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.peer import AttachRequest
from verbenaplank.protocol.peer import AttachState
from verbenaplank.protocol.peer import CancelRequest
from verbenaplank.rpc.address import parse_address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.errors import RPC_ERRORS
from verbenaplank.rpc.services import ATTACH
from verbenaplank.rpc.services import CANCEL
from verbenaplank.settings.common import TlsSettings

if TYPE_CHECKING:
    from grpclib.client import Channel

    from verbenaplank.claims.decision import ClaimDecision
    from verbenaplank.entry.submission import Submission
    from verbenaplank.protocol.peer import AttachReply

WAIT_MS = 2_000.0
CALL_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.1
RESPONSE_GRACE_S = 2.0
"""Time after the deadline for which the owner's response is still awaited."""


OWNER_LOST = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN,
    detail="the entry that owns the job has left or no longer knows the job",
)
OWNER_TIMED_OUT = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN,
    detail="the entry that owns the job did not respond in time",
)
ID_REUSED = Rejection(
    kind=FailureKind.ID_REUSED,
    detail="the id belongs to a request with different content",
)


@attrs.frozen(kw_only=True)
class PeerClient:
    """Attaches to and cancels jobs at other entries.

    Attributes
    ----------
    member
        This entry.
    membership
        Provides the other entries and their addresses.
    dispatch_table
        Builds the failure for a rejection.
    clock
        The monotonic clock.
    tls
        TLS settings, or ``None`` for plain text.
    """

    member: Member
    membership: Membership
    dispatch_table: DispatchTable
    clock: MonotonicClock
    tls: TlsSettings | None = None

    async def attach_to_owner(
        self, submission: Submission, decision: ClaimDecision
    ) -> HttpResponse:
        """Return the response of the entry that owns a resubmitted job.

        The response is a failure of kind ``OUTCOME_UNKNOWN`` if the owner has left,
        no longer knows the job or does not respond in time, and of kind
        ``ID_REUSED`` if the job has different content.
        """
        if self._was_owned_by_this_entry(decision):
            return self._rejection_response(OWNER_LOST, submission.job_id)
        give_up_s = submission.deadline_s + RESPONSE_GRACE_S
        request = AttachRequest(
            job_id=submission.job_id, digest=submission.digest, wait_ms=WAIT_MS
        )
        while self.clock() < give_up_s:
            try:
                reply = await self._attach(decision.owner_address, request)
            except RPC_ERRORS:
                if not self._owner_is_member(decision):
                    return self._rejection_response(OWNER_LOST, submission.job_id)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if reply.state is AttachState.ANSWERED:
                return HttpResponse(status=reply.status, body=reply.body)
            if reply.state is AttachState.CONFLICT:
                return self._rejection_response(ID_REUSED, submission.job_id)
            if reply.state is AttachState.UNKNOWN:
                return self._rejection_response(OWNER_LOST, submission.job_id)
        return self._rejection_response(OWNER_TIMED_OUT, submission.job_id)

    async def attach_to_any(
        self, job_id: str, digest: bytes = b"", deadline_s: float = float("inf")
    ) -> HttpResponse | None:
        """Attach to a job at all other entries, and return the first response.

        Parameters
        ----------
        job_id
            The job.
        digest
            Digest of the content; empty to accept a job of any content.
        deadline_s
            Monotonic time by which the response is due.

        Returns
        -------
        HttpResponse or None
            ``None`` if no reachable entry knows the job.
        """
        request = AttachRequest(job_id=job_id, digest=digest, wait_ms=WAIT_MS)
        attaching = {
            asyncio.create_task(self._attach_to_peer(peer, request, deadline_s))
            for peer in self._peers()
        }
        try:
            for next_attaching in asyncio.as_completed(attaching):
                response = await next_attaching
                if response is not None:
                    return response
            return None
        finally:
            for task in attaching:
                task.cancel()

    async def cancel_at_peers(self, job_id: str) -> None:
        """Ask all other entries to cancel a job."""
        peers = self._peers()
        await asyncio.gather(*(self._cancel_at(peer, job_id) for peer in peers))

    async def _attach_to_peer(
        self, peer: Member, request: AttachRequest, deadline_s: float
    ) -> HttpResponse | None:
        while self.clock() < deadline_s + RESPONSE_GRACE_S:
            try:
                reply = await self._attach(peer.address, request)
            except RPC_ERRORS:
                return None
            if reply.state is AttachState.ANSWERED:
                return HttpResponse(status=reply.status, body=reply.body)
            if reply.state is AttachState.CONFLICT:
                return self._rejection_response(ID_REUSED, request.job_id)
            if reply.state is AttachState.UNKNOWN:
                return None
        return self._rejection_response(OWNER_TIMED_OUT, request.job_id)

    async def _cancel_at(self, peer: Member, job_id: str) -> None:
        try:
            with open_channel(parse_address(peer.address), self.tls) as channel:
                request = CancelRequest(job_id=job_id)
                await CANCEL.call(channel, request, CALL_TIMEOUT_S)
        except RPC_ERRORS:
            return

    async def _attach(self, address: str, request: AttachRequest) -> AttachReply:
        with open_channel(parse_address(address), self.tls) as channel:
            reply = await ATTACH.call(channel, request, CALL_TIMEOUT_S)
            return await _fetch_remaining(channel, request, reply)

    def _peers(self) -> list[Member]:
        return [
            member
            for member in self.membership.entries.values()
            if member.member_id != self.member.member_id
        ]

    def _was_owned_by_this_entry(self, decision: ClaimDecision) -> bool:
        """Return whether the owner is an earlier incarnation of this entry."""
        return (
            decision.owner_entry_id == self.member.member_id
            or decision.owner_address == self.member.address
        )

    def _owner_is_member(self, decision: ClaimDecision) -> bool:
        member = self.membership.entries.get(decision.owner_entry_id)
        return member is not None and member.incarnation == decision.owner_incarnation

    def _rejection_response(self, rejection: Rejection, job_id: str) -> HttpResponse:
        return failure_response(self.dispatch_table.make_failure(rejection), job_id)


async def _fetch_remaining(
    channel: Channel, request: AttachRequest, reply: AttachReply
) -> AttachReply:
    """Fetch the rest of a response body that did not fit into the first reply."""
    parts = [reply.body]
    size_bytes = len(reply.body)
    while reply.state is AttachState.ANSWERED and size_bytes < reply.size_bytes:
        next_request = attrs.evolve(request, offset_bytes=size_bytes)
        reply = await ATTACH.call(channel, next_request, CALL_TIMEOUT_S)
        parts.append(reply.body)
        size_bytes += len(reply.body)
    return attrs.evolve(reply, body=b"".join(parts))
