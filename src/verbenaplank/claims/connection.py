"""A claimant's stream to one registrar, which is reopened whenever it breaks."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

from verbenaplank.concurrency.restarting import create_restarting_task
from verbenaplank.protocol.claims import Claim
from verbenaplank.protocol.claims import ClaimRelease
from verbenaplank.protocol.claims import Lookup
from verbenaplank.protocol.claims import ToRegistrar
from verbenaplank.rpc.address import parse_address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.errors import RPC_ERRORS
from verbenaplank.rpc.outbox import Outbox
from verbenaplank.rpc.services import CLAIM

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from grpclib.client import Stream

    from verbenaplank.protocol.claims import ClaimReply
    from verbenaplank.protocol.claims import FromRegistrar
    from verbenaplank.protocol.claims import LookupReply
    from verbenaplank.protocol.membership import Registrar
    from verbenaplank.settings.common import TlsSettings

CONNECT_TIMEOUT_S = 1.0
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 1.0

OutboxItem = Claim | ClaimRelease | Lookup


class RegistrarConnection:
    """Sends claims and releases to one registrar, and receives its replies.

    A release is kept until the registrar has handled it, and is sent again on
    the next stream, so that no grant outlives its attempt.

    Parameters
    ----------
    random
        Random numbers for the delay before each reconnection.
    on_reply
        Called with the registrar's identifier and a reply.
    on_unreachable
        Called with the registrar's identifier when a stream breaks or cannot be
        opened.
    on_lookup_reply
        Called with the registrar's identifier and a reply to a lookup.

    Attributes
    ----------
    connected
        Whether a stream is open.
    """

    def __init__(
        self,
        registrar: Registrar,
        tls: TlsSettings | None,
        random: random.Random,
        on_reply: Callable[[str, ClaimReply], None],
        on_unreachable: Callable[[str], None],
        on_lookup_reply: Callable[[str, LookupReply], None],
    ) -> None:
        self.connected = False
        self._registrar = registrar
        self._tls = tls
        self._random = random
        self._on_reply = on_reply
        self._on_unreachable = on_unreachable
        self._on_lookup_reply = on_lookup_reply
        self._outbox: Outbox[OutboxItem] = Outbox()
        self._unhandled_releases: deque[ClaimRelease] = deque()
        self._running: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Start connecting in the background; the event loop must be running."""
        self._running = create_restarting_task(self._run)

    async def close(self) -> None:
        """Close the stream and stop connecting."""
        if self._running is not None:
            self._running.cancel()
            await asyncio.gather(self._running, return_exceptions=True)

    def send_claim(self, claim: Claim) -> None:
        """Send a claim on the open stream; it is not repeated if the stream breaks."""
        self._outbox.put(claim)

    def send_release(self, release: ClaimRelease) -> None:
        """Send a release, and repeat it on later streams until it is handled."""
        self._unhandled_releases.append(release)
        self._outbox.put(release)

    def send_lookup(self, lookup: Lookup) -> None:
        """Send a lookup on the open stream; it is not repeated if the stream breaks."""
        self._outbox.put(lookup)

    async def _run(self) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            with suppress(*RPC_ERRORS):
                await self._run_one_stream()
            delay_s = RECONNECT_MIN_S if self.connected else delay_s * 2
            delay_s = min(RECONNECT_MAX_S, delay_s)
            self.connected = False
            self._on_unreachable(self._registrar.instance_id)
            await asyncio.sleep(delay_s * self._random.uniform(0.5, 1.0))

    async def _run_one_stream(self) -> None:
        address = parse_address(self._registrar.address)
        with open_channel(address, self._tls) as channel:
            async with CLAIM.open(channel) as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                self._start_outbox()
                sender = asyncio.create_task(_send_outbox(stream, self._outbox))
                try:
                    await self._receive(stream)
                finally:
                    sender.cancel()
                    await asyncio.gather(sender, return_exceptions=True)

    def _start_outbox(self) -> None:
        self._outbox = Outbox()
        for release in self._unhandled_releases:
            self._outbox.put(release)
        self.connected = True

    async def _receive(self, stream: Stream[ToRegistrar, FromRegistrar]) -> None:
        handled = 0
        async for message in stream:
            newly_handled = message.releases_handled - handled
            for _ in range(min(newly_handled, len(self._unhandled_releases))):
                self._unhandled_releases.popleft()
            handled = message.releases_handled
            for reply in message.replies:
                self._on_reply(self._registrar.instance_id, reply)
            for lookup_reply in message.lookup_replies:
                self._on_lookup_reply(self._registrar.instance_id, lookup_reply)


async def _send_outbox(
    stream: Stream[ToRegistrar, FromRegistrar], outbox: Outbox[OutboxItem]
) -> None:
    while True:
        items = await outbox.take_batch()
        claims = tuple(item for item in items if isinstance(item, Claim))
        releases = tuple(item for item in items if isinstance(item, ClaimRelease))
        lookups = tuple(item for item in items if isinstance(item, Lookup))
        await stream.send_message(
            ToRegistrar(claims=claims, releases=releases, lookups=lookups)
        )
