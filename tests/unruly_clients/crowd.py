"""A crowd of clients of one kind, which send at once and then stay connected."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Self

from unruly_clients.requests import filled_head
from unruly_clients.requests import padded_job

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter

    from unruly_clients.requests import ClientKind
    from unruly_clients.requests import Target

PATIENCE_S = 5.0
"""How long a client waits for the server to take a piece before it falls silent."""

CONNECT_LIMIT_S = 10.0
ANSWER_LIMIT_S = 30.0


class Crowd:
    """Sends what each client of a kind sends; an async context manager.

    On entry, all clients send, until they have sent everything, the server closes
    their connection or it reads nothing more.  Connections that the server leaves
    open stay open until the context is left.
    """

    def __init__(self, kind: ClientKind, target: Target) -> None:
        self._kind = kind
        self._target = target
        self._writers: list[StreamWriter] = []
        self._readers: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        await asyncio.gather(*(self._send(n) for n in range(self._kind.count)))
        return self

    async def __aexit__(self, *_: object) -> None:
        for reader in self._readers:
            reader.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    async def _send(self, number: int) -> None:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    self._target.host, self._target.port
                )
            self._writers.append(writer)
            if self._kind.reads_answers:
                reading = asyncio.create_task(_close_at_end(reader, writer))
                self._readers.append(reading)
            for piece in self._kind.pieces(self._target, number):
                if writer.is_closing():
                    return
                writer.write(piece)
                async with asyncio.timeout(PATIENCE_S):
                    await writer.drain()


async def _close_at_end(reader: StreamReader, writer: StreamWriter) -> None:
    """Discard what the server sends; close the connection once the server has."""
    with suppress(OSError):
        while await reader.read(64 * 1024):
            continue
    writer.transport.abort()


async def send_request_at_the_limits(target: Target) -> int:
    """Send one request whose head and body are of the largest size; return its status.

    The body is a job with a padding that the program ignores, or cannot use.
    """
    body = padded_job(target.max_body_bytes)
    head = filled_head(target, len(body))
    async with asyncio.timeout(ANSWER_LIMIT_S):
        reader, writer = await asyncio.open_connection(target.host, target.port)
        writer.write(head + body)
        status_line = await reader.readline()
        writer.close()
    return int(status_line.split()[1])
