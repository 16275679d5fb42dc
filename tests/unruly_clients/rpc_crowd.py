"""Crowds of clients on the RPC ports, which speak HTTP/2."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress
from typing import TYPE_CHECKING

import attrs
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import WindowUpdated
from h2.exceptions import ProtocolError

from unruly_clients.requests import KIB
from unruly_clients.requests import MIB
from unruly_clients.requests import ClientKind

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter
    from collections.abc import Iterator

    from unruly_clients.requests import Target

MESSAGE_BYTES = 4 * MIB
"""Size of the largest message that the programs accept."""

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_BYTES = 16 * KIB
HEADERS_TYPE, CONTINUATION_TYPE = 1, 9
PATIENCE_S = 5.0
READ_BYTES = 64 * KIB


@attrs.frozen(kw_only=True)
class MessageSender:
    """Sends one message but for its last byte, as far as the server takes it."""

    path: str

    async def send(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Send the message; stop where the server takes nothing more."""
        connection = H2Connection(H2Configuration(client_side=True))
        connection.initiate_connection()
        stream_id = connection.get_next_available_stream_id()
        headers = {
            ":method": "POST",
            ":scheme": "http",
            ":path": self.path,
            ":authority": "desk.example",
            "content-type": "application/grpc+msgpack",
            "te": "trailers",
        }
        connection.send_headers(stream_id, list(headers.items()))
        prefix = b"\0" + MESSAGE_BYTES.to_bytes(4, "big")
        data = prefix + b"x" * (MESSAGE_BYTES - 1)
        with suppress(OSError, TimeoutError, ProtocolError):
            while data:
                size = min(
                    connection.local_flow_control_window(stream_id),
                    connection.max_outbound_frame_size,
                    len(data),
                )
                if size:
                    connection.send_data(stream_id, data[:size])
                    data = data[size:]
                writer.write(connection.data_to_send())
                async with asyncio.timeout(PATIENCE_S):
                    await writer.drain()
                    if not size:
                        await _wait_for_window(connection, reader)


async def _wait_for_window(connection: H2Connection, reader: StreamReader) -> None:
    while True:
        received = await reader.read(READ_BYTES)
        if not received:
            raise ConnectionResetError
        events = connection.receive_data(received)
        if any(isinstance(event, WindowUpdated) for event in events):
            return


def endless_preface(target: Target, number: int) -> Iterator[bytes]:
    """Send bytes that are no HTTP/2."""
    yield from itertools.repeat(b"\r\n" * KIB, 2 * KIB)


def endless_continuation(target: Target, number: int) -> Iterator[bytes]:
    """Send the headers of one request in frames without an end."""
    yield PREFACE + _frame(4, 0, b"")
    yield _frame(HEADERS_TYPE, 1, b"")
    block = b"\0\x01a\x01b" * (FRAME_BYTES // 5)
    yield from itertools.repeat(
        _frame(CONTINUATION_TYPE, 1, block), 4 * MIB // FRAME_BYTES
    )


def silent_connection(target: Target, number: int) -> Iterator[bytes]:
    """Send the beginning of the preface."""
    yield PREFACE[:3]


RPC_KINDS = (
    ClientKind(
        name="endless_preface", pieces=endless_preface, count=40, exceeds_limits=True
    ),
    ClientKind(
        name="endless_continuation",
        pieces=endless_continuation,
        count=40,
        exceeds_limits=True,
    ),
    ClientKind(name="silent_connection", pieces=silent_connection, count=700),
)


def _frame(kind: int, stream_id: int, payload: bytes) -> bytes:
    """Return a frame without flags, so that its headers have no end."""
    return (
        len(payload).to_bytes(3, "big")
        + bytes((kind, 0))
        + stream_id.to_bytes(4, "big")
        + payload
    )
