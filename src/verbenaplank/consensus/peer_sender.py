"""Sender of consensus messages to one other control instance."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from verbenaplank.protocol.consensus import ConsensusEnvelope
from verbenaplank.protocol.consensus import PeerMessage
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.errors import RPC_ERRORS
from verbenaplank.rpc.method import StreamMethod
from verbenaplank.rpc.outbox import Outbox

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from grpclib.client import Channel
    from grpclib.client import Stream

    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.common import TlsSettings

CONSENSUS = StreamMethod(
    "/verbenaplank.Control/Consensus", ConsensusEnvelope, ConsensusEnvelope
)
RECONNECT_DELAY_S = 0.2
CONNECT_TIMEOUT_S = 1.0
MAX_QUEUED_MESSAGES = 1_000
MAX_ENVELOPE_BYTES = 2 * 1024 * 1024

_logger = logging.getLogger(__name__)


class PeerSender:
    """Sends messages to one instance in order, over one long-lived stream.

    A broken stream is opened again after a delay. Messages that are queued by then
    are dropped: the Raft core sends again what is still needed.

    Parameters
    ----------
    instance_id
        Instance to send to; used in log lines.
    address
        Address on which the instance listens.
    tls
        Certificates of this instance; ``None`` for a connection without TLS.
    """

    def __init__(
        self, instance_id: str, address: Address, tls: TlsSettings | None
    ) -> None:
        self._instance_id = instance_id
        self._address = address
        self._tls = tls
        self._outbox: Outbox[PeerMessage] = Outbox()
        self._closed = False

    def close(self) -> None:
        """Stop :meth:`run` from opening another stream.

        Cancelling its task is not enough: grpclib replaces a cancellation by the
        error of a stream that breaks at the same time.
        """
        self._closed = True

    def send(self, message: PeerMessage) -> None:
        """Queue a message without blocking.

        It is dropped if ``MAX_QUEUED_MESSAGES`` messages are queued already.
        """
        if len(self._outbox) < MAX_QUEUED_MESSAGES:
            self._outbox.put(message)

    async def run(self) -> None:
        """Keep a stream open until the sender is closed and its task is cancelled."""
        while not self._closed:
            with open_channel(self._address, self._tls) as channel:
                try:
                    await self._run_stream(channel)
                except* RPC_ERRORS as group:
                    _logger.debug(
                        "stream to control instance %s failed: %s",
                        self._instance_id,
                        group.exceptions,
                    )
            await asyncio.sleep(RECONNECT_DELAY_S)
            await self._drop_queued()

    async def _run_stream(self, channel: Channel) -> None:
        async with CONSENSUS.open(channel) as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_request()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._send_queued(stream))
                tasks.create_task(_wait_for_end(stream))

    async def _send_queued(
        self, stream: Stream[ConsensusEnvelope, ConsensusEnvelope]
    ) -> None:
        while True:
            for envelope in _pack_envelopes(await self._outbox.take_batch()):
                await stream.send_message(envelope)

    async def _drop_queued(self) -> None:
        while len(self._outbox):
            await self._outbox.take_batch()


async def _wait_for_end(stream: Stream[ConsensusEnvelope, ConsensusEnvelope]) -> None:
    """Raise an error once the peer has ended the stream.

    Raises
    ------
    ConnectionError
        If the peer ended the stream.
    """
    while await stream.recv_message() is not None:
        continue
    raise ConnectionError("the peer ended the stream")


def _pack_envelopes(messages: Iterable[PeerMessage]) -> Iterator[ConsensusEnvelope]:
    """Pack messages into envelopes of up to ``MAX_ENVELOPE_BYTES`` of data each.

    A larger message gets an envelope of its own.
    """
    batch: list[PeerMessage] = []
    size_bytes = 0
    for message in messages:
        message_bytes = _data_bytes(message)
        if batch and size_bytes + message_bytes > MAX_ENVELOPE_BYTES:
            yield ConsensusEnvelope(messages=tuple(batch))
            batch = []
            size_bytes = 0
        batch.append(message)
        size_bytes += message_bytes
    yield ConsensusEnvelope(messages=tuple(batch))


def _data_bytes(message: PeerMessage) -> int:
    if message.append_request:
        return sum(len(entry.data) for entry in message.append_request.entries)
    if message.snapshot_chunk:
        return len(message.snapshot_chunk.data)
    if message.forward:
        return len(message.forward.command)
    return len(message.forward_reply.result) if message.forward_reply else 0
