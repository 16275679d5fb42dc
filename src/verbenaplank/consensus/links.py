"""Long-lived streams to the other control instances."""

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
RECONNECT_S = 0.2
CONNECT_TIMEOUT_S = 1.0
MAX_QUEUED_MESSAGES = 1_000
MAX_ENVELOPE_BYTES = 2 * 1024 * 1024

_logger = logging.getLogger(__name__)


class PeerLink:
    """Sends messages to one instance, in order, for as long as it is reachable.

    Messages that wait when the stream breaks are dropped: each duty of the
    replicated log repeats what it still needs.
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
        """Open no further stream.

        Cancelling the task is not enough: grpclib replaces a cancellation by
        the error of a stream that breaks at the same time.
        """
        self._closed = True

    def send(self, message: PeerMessage) -> None:
        """Queue a message; it is dropped if the instance does not keep up."""
        if len(self._outbox) < MAX_QUEUED_MESSAGES:
            self._outbox.put(message)

    async def run(self) -> None:
        """Keep a stream open until the link is closed and the task cancelled."""
        while not self._closed:
            with open_channel(self._address, self._tls) as channel:
                try:
                    await self._use(channel)
                except* RPC_ERRORS as group:
                    _logger.debug("link to %s: %s", self._instance_id, group.exceptions)
            await asyncio.sleep(RECONNECT_S)
            await self._drop_waiting()

    async def _use(self, channel: Channel) -> None:
        async with CONSENSUS.open(channel) as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_request()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._send_all(stream))
                tasks.create_task(_watch_end(stream))

    async def _send_all(
        self, stream: Stream[ConsensusEnvelope, ConsensusEnvelope]
    ) -> None:
        while True:
            for envelope in _envelopes(await self._outbox.take_batch()):
                await stream.send_message(envelope)

    async def _drop_waiting(self) -> None:
        while len(self._outbox):
            await self._outbox.take_batch()


async def _watch_end(stream: Stream[ConsensusEnvelope, ConsensusEnvelope]) -> None:
    """Fail once the other side has ended the stream."""
    while await stream.recv_message() is not None:
        continue
    raise ConnectionError("the stream has ended")


def _envelopes(messages: Iterable[PeerMessage]) -> Iterator[ConsensusEnvelope]:
    """Put messages together up to a size."""
    together: list[PeerMessage] = []
    size_bytes = 0
    for message in messages:
        message_bytes = _data_bytes(message)
        if together and size_bytes + message_bytes > MAX_ENVELOPE_BYTES:
            yield ConsensusEnvelope(messages=tuple(together))
            together = []
            size_bytes = 0
        together.append(message)
        size_bytes += message_bytes
    yield ConsensusEnvelope(messages=tuple(together))


def _data_bytes(message: PeerMessage) -> int:
    if message.append_request:
        return sum(len(entry.data) for entry in message.append_request.entries)
    if message.snapshot_chunk:
        return len(message.snapshot_chunk.data)
    if message.forward:
        return len(message.forward.command)
    return len(message.forward_reply.result) if message.forward_reply else 0
