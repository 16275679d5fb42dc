"""Forwards the lease renewals of this instance's members to the leader."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from verbenaplank.membership.renewals import RENEW
from verbenaplank.membership.renewals import Renewal
from verbenaplank.membership.renewals import RenewalBatch
from verbenaplank.membership.renewals import RenewalReply
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.errors import RPC_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable

    from grpclib.client import Stream

    from verbenaplank.control.lease_manager import LeaseManager
    from verbenaplank.control.replication import ReplicatedLog
    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.common import TlsSettings

BATCH_PERIOD_S = 0.05
"""Time for which renewals are collected, so that one batch carries many."""

REPLY_TIMEOUT_S = 1.0
RETRY_S = 0.1


class RenewalForwarder:
    """Collects renewals and sends them to the leader in batches.

    Parameters
    ----------
    address_of
        Returns the address at which a control instance listens, or ``None`` if the
        instance is unknown.
    deliver
        Called with each reply of the leader.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        lease_manager: LeaseManager,
        address_of: Callable[[str], Address | None],
        tls: TlsSettings | None,
        deliver: Callable[[RenewalReply], None],
    ) -> None:
        self._log = log
        self._lease_manager = lease_manager
        self._address_of = address_of
        self._tls = tls
        self._deliver = deliver
        self._pending: dict[str, Renewal] = {}
        self._has_pending = asyncio.Event()

    def enqueue(self, renewal: Renewal) -> None:
        """Queue a renewal for the next batch; it replaces the member's queued one."""
        self._pending[renewal.member_id] = renewal
        self._has_pending.set()

    async def run(self) -> None:
        """Send the queued renewals to the current leader until cancelled."""
        while True:
            await self._has_pending.wait()
            leader_id = self._log.leader_id
            if self._log.is_leader:
                self._renew_locally()
            elif leader_id is not None:
                await self._forward(leader_id)
            await asyncio.sleep(BATCH_PERIOD_S)

    def _renew_locally(self) -> None:
        batch = self._take_batch()
        reply = self._lease_manager.renew(batch)
        if reply.leads:
            self._deliver(reply)
        else:
            self._requeue(batch)

    async def _forward(self, leader_id: str) -> None:
        """Send batches over one stream until it fails or the leader changes."""
        address = self._address_of(leader_id)
        if address is None:
            return
        with suppress(*RPC_ERRORS), open_channel(address, self._tls) as channel:
            async with RENEW.open(channel) as stream:
                while self._log.leader_id == leader_id:
                    await self._has_pending.wait()
                    if not await self._forward_batch(stream):
                        break
                    await asyncio.sleep(BATCH_PERIOD_S)
        await asyncio.sleep(RETRY_S)

    async def _forward_batch(self, stream: Stream[RenewalBatch, RenewalReply]) -> bool:
        """Send the queued renewals; return whether the leader answered.

        If it did not, the renewals are queued again, except those of
        members with a newer renewal in the queue.
        """
        batch = self._take_batch()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await stream.send_message(batch)
                reply = await stream.recv_message()
            if reply is not None and reply.leads:
                self._deliver(reply)
                return True
        except RPC_ERRORS:
            self._requeue(batch)
            raise
        self._requeue(batch)
        return False

    def _requeue(self, batch: RenewalBatch) -> None:
        for renewal in batch.renewals:
            self._pending.setdefault(renewal.member_id, renewal)
            self._has_pending.set()

    def _take_batch(self) -> RenewalBatch:
        batch = RenewalBatch(renewals=tuple(self._pending.values()))
        self._pending.clear()
        self._has_pending.clear()
        return batch
