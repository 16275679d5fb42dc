"""Passes the heartbeats of this instance's members on to the leader."""

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
"""How long heartbeats wait for each other, so that a batch carries many."""

REPLY_TIMEOUT_S = 1.0
RETRY_S = 0.1


class RenewalForwarder:
    """Collects renewals and hands the leader's answers to a listener.

    Parameters
    ----------
    address_of
        Returns where a control instance listens.
    deliver
        Called with each reply of a leader.
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
        self._ready = asyncio.Event()

    def put(self, renewal: Renewal) -> None:
        """Pass a renewal on with the next batch; a newer one replaces it."""
        self._pending[renewal.member_id] = renewal
        self._ready.set()

    async def run(self) -> None:
        """Forward for as long as the task lasts."""
        while True:
            await self._ready.wait()
            leader_id = self._log.leader_id
            if self._log.is_leader:
                self._renew_here()
            elif leader_id is not None:
                await self._forward(leader_id)
            await asyncio.sleep(BATCH_PERIOD_S)

    def _renew_here(self) -> None:
        batch = self._take()
        reply = self._lease_manager.renew(batch)
        if reply.leads:
            self._deliver(reply)
        else:
            self._put_back(batch)

    async def _forward(self, leader_id: str) -> None:
        """Keep a stream to one leader until it fails or no longer leads."""
        address = self._address_of(leader_id)
        if address is None:
            return
        with suppress(*RPC_ERRORS), open_channel(address, self._tls) as channel:
            async with RENEW.open(channel) as stream:
                while self._log.leader_id == leader_id:
                    await self._ready.wait()
                    if not await self._forward_batch(stream):
                        break
                    await asyncio.sleep(BATCH_PERIOD_S)
        await asyncio.sleep(RETRY_S)

    async def _forward_batch(self, stream: Stream[RenewalBatch, RenewalReply]) -> bool:
        """Send what waits; return whether the receiver leads.

        A batch that no leader answered waits again, behind newer renewals.
        """
        batch = self._take()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await stream.send_message(batch)
                reply = await stream.recv_message()
            if reply is not None and reply.leads:
                self._deliver(reply)
                return True
        except RPC_ERRORS:
            self._put_back(batch)
            raise
        self._put_back(batch)
        return False

    def _put_back(self, batch: RenewalBatch) -> None:
        for renewal in batch.renewals:
            self._pending.setdefault(renewal.member_id, renewal)
            self._ready.set()

    def _take(self) -> RenewalBatch:
        batch = RenewalBatch(renewals=tuple(self._pending.values()))
        self._pending.clear()
        self._ready.clear()
        return batch
