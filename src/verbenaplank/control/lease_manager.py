"""Renews the members' leases on the leader and removes members that expired."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import encode
from verbenaplank.membership.commands import Leave
from verbenaplank.membership.leases import LeaseTable
from verbenaplank.membership.renewals import LEASES
from verbenaplank.membership.renewals import RENEW
from verbenaplank.membership.renewals import LeaseReport
from verbenaplank.membership.renewals import LeasesReply
from verbenaplank.membership.renewals import LeasesRequest
from verbenaplank.membership.renewals import Renewal
from verbenaplank.membership.renewals import RenewalBatch
from verbenaplank.membership.renewals import RenewalReply

if TYPE_CHECKING:
    from collections.abc import Sequence

    from grpclib.server import Stream

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.control.replication import ReplicatedLog
    from verbenaplank.control.state_machine import ControlStateMachine
    from verbenaplank.rpc.method import Service

LEAVE_TIMEOUT_S = 2.0

logger = logging.getLogger(__name__)


class LeaseManager:
    """Manages the members' leases while this instance is the Raft leader."""

    def __init__(
        self,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        lease_s: float,
        clock: MonotonicClock,
    ) -> None:
        self._log = log
        self._machine = machine
        self._clock = clock
        self._table = LeaseTable(lease_s)
        self._term: int | None = None
        self._revision = -1
        # Expired incarnations by member id whose removal is proposed; not renewed.
        self._expiring: dict[str, str] = {}
        self._removal_tasks: set[asyncio.Task[None]] = set()

    def services(self) -> Sequence[Service]:
        """Return the RPC services that other control instances call on the leader."""
        return RENEW.create_service(self._serve_renewals), LEASES.create_service(
            self._serve_leases
        )

    def renew(self, batch: RenewalBatch) -> RenewalReply:
        """Renew the leases of a batch's members.

        Renewals of unknown incarnations, and of members whose removal is being
        proposed, are returned as ``unknown``.  While this instance does not lead
        or has no quorum, nothing is renewed and ``leads`` is false.
        """
        now_s = self._clock()
        if not self._sync_if_leader(now_s):
            return RenewalReply(leads=False)
        granted: list[Renewal] = []
        unknown: list[Renewal] = []
        for renewal in batch.renewals:
            if self._is_member(renewal):
                self._table.renew(renewal, now_s)
                granted.append(renewal)
            else:
                unknown.append(renewal)
        return RenewalReply(leads=True, granted=tuple(granted), unknown=tuple(unknown))

    def report(self) -> LeasesReply:
        """Return the current leases; ``leads`` is false unless this instance leads."""
        now_s = self._clock()
        if not self._sync_if_leader(now_s):
            return LeasesReply(leads=False)
        leases = tuple(
            LeaseReport(
                member_id=member_id,
                incarnation=lease.incarnation,
                renewed_ago_ms=(now_s - lease.renewed_s) * 1_000,
                configuration_version=lease.configuration_version,
            )
            for member_id, lease in self._table.leases.items()
        )
        return LeasesReply(leads=True, leases=leases)

    def expire(self) -> None:
        """Start tasks that propose the removal of each member with an expired lease."""
        now_s = self._clock()
        if not self._sync_if_leader(now_s):
            return
        for member_id, incarnation in self._table.pop_expired(now_s):
            self._expiring[member_id] = incarnation
            task = asyncio.create_task(self._propose_removal(member_id, incarnation))
            self._removal_tasks.add(task)
            task.add_done_callback(self._removal_tasks.discard)

    def _sync_if_leader(self, now_s: float) -> bool:
        """Bring the leases in line with the member list if this instance leads.

        Return whether it leads and has a quorum.  In a new Raft term every member
        gets a fresh lease.
        """
        if not (self._log.is_leader and self._log.is_current(now_s)):
            return False
        members = self._machine.membership.members
        if self._term != self._log.term:
            self._term = self._log.term
            self._expiring.clear()
            self._table.reset(members.values(), now_s)
        if self._revision != self._machine.membership.revision:
            self._revision = self._machine.membership.revision
            remaining = {
                member_id: member
                for member_id, member in members.items()
                if self._expiring.get(member_id) != member.incarnation
            }
            self._table.sync_members(remaining, now_s)
        return True

    def _is_member(self, renewal: Renewal) -> bool:
        member = self._machine.membership.members.get(renewal.member_id)
        if member is None or member.incarnation != renewal.incarnation:
            return False
        return self._expiring.get(renewal.member_id) != renewal.incarnation

    async def _propose_removal(self, member_id: str, incarnation: str) -> None:
        leave = Leave(member_id=member_id, incarnation=incarnation, expired=True)
        logger.warning("lease expired", extra={"member_id": member_id})
        try:
            command = encode(ControlCommand(leave=leave))
            await self._log.propose(command, LEAVE_TIMEOUT_S)
        except (ProposalRejectedError, OutcomeUnknownError) as error:
            logger.warning(
                "removal of expired member %s was not confirmed: %s", member_id, error
            )
        finally:
            if self._expiring.get(member_id) == incarnation:
                del self._expiring[member_id]
            # Sync again: if the removal failed, the member needs a lease again.
            self._revision = -1

    async def _serve_renewals(self, stream: Stream[RenewalBatch, RenewalReply]) -> None:
        async for batch in stream:
            await stream.send_message(self.renew(batch))

    async def _serve_leases(self, request: LeasesRequest) -> LeasesReply:
        del request
        return self.report()
