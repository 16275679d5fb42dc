"""Minimal HTTP/1.1 server built on h11 and asyncio streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
import h11

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READ_BYTES = 65_536


@attrs.frozen
class HttpRequest:
    """A complete HTTP request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class HttpResponse:
    """A complete HTTP response with a JSON body."""

    status: HTTPStatus
    body: bytes


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@asynccontextmanager
async def serve_http(handler: HttpHandler, host: str, port: int) -> AsyncIterator[int]:
    """Serve HTTP while the context is open, and yield the port listened on.

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """
    connections: set[asyncio.Task[None]] = set()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(_serve_connection(handler, reader, writer))
        connections.add(task)
        task.add_done_callback(connections.discard)

    server = await asyncio.start_server(accept, host, port)
    try:
        yield int(server.sockets[0].getsockname()[1])
    finally:
        server.close()
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)


async def _serve_connection(
    handler: HttpHandler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    connection = h11.Connection(h11.SERVER)
    try:
        while (request := await _read_request(connection, reader)) is not None:
            response = await handler(request)
            writer.write(_encode_response(connection, response))
            await writer.drain()
            if connection.our_state is not h11.DONE:
                break
            connection.start_next_cycle()
    except (OSError, h11.ProtocolError):
        pass  # The client closed the connection or sent invalid HTTP.
    finally:
        writer.close()


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> HttpRequest | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _build_request(head, bytes(body))
        else:
            return None


def _build_request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = {name.decode(): value.decode() for name, value in head.headers}
    return HttpRequest(head.method.decode(), head.target.decode(), headers, body)


def _encode_response(connection: h11.Connection, response: HttpResponse) -> bytes:
    head = h11.Response(
        status_code=response.status,
        headers=[
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
        ],
    )
    parts = [
        connection.send(head),
        connection.send(h11.Data(response.body)),
        connection.send(h11.EndOfMessage()),
    ]
    return b"".join(part for part in parts if part)
