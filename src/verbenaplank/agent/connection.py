"""HTTP/1.1 client connection to the backend server, with httptools and asyncio.

It is an asyncio protocol: a stream reader would add a buffer, a future and flow control
to each response.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

import attrs
import httptools

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Self

MAX_BODY_BYTES = 1024 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSED = "the connection was closed before the response ended"


class BackendServerError(Exception):
    """The connection failed, or the response is not valid HTTP or is too large."""


@attrs.frozen
class HttpResponse:
    """Status and body of a complete HTTP response."""

    status: int
    body: bytes


class _ResponseParser:
    """Collects one response from the callbacks of its HTTP parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.complete = False
        self.keep_alive = False

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()


class Connection(asyncio.Protocol):
    """HTTP connection that carries one request at a time, without pipelining.

    It is created by :meth:`open`.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._transport: asyncio.Transport | None = None
        self._unread = select.poll()
        self._parser = _ResponseParser()
        self._response: asyncio.Future[HttpResponse] | None = None
        self._idle = True

    @classmethod
    async def open(cls, host: str, port: int) -> Self:
        """Open a connection to the backend server.

        Raises
        ------
        OSError
            If the backend server cannot be reached.
        """
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: cls(f"{host}:{port}"), host, port
        )
        return connection

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection.

        An idle connection with unread data is not reusable: the other side has closed
        it or has sent data without a request.
        """
        if not self._idle or self._transport is None or self._transport.is_closing():
            return False
        return not self._unread.poll(0)

    def close(self) -> None:
        """Close the connection without waiting until it is closed."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Close the connection, and drop what has not reached the other side yet.

        A request that a partition holds up is not delivered after it any more.
        """
        if self._transport is None:
            return
        with suppress(OSError):
            connection = self._transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    async def post(
        self, path: str, payload: bytes, headers: Mapping[str, str]
    ) -> HttpResponse:
        """Send one POST request and return its response.

        Raises
        ------
        BackendServerError
            If no valid response was received; the request may have been executed.
        """
        self._idle = False
        if self._transport is None or self._transport.is_closing():
            raise BackendServerError(CLOSED)
        self._parser = _ResponseParser()
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(_encode_request(path, self._host, payload, headers))
        return await self._response

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to use a connection that asyncio has opened."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport
        self._unread.register(transport.get_extra_info("socket"), select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response, and close on data without a request."""
        response = self._response
        if response is None or response.done():
            self.close()
            return
        try:
            self._parser.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(str(error) or type(error).__name__)
            return
        if len(self._parser.body) > MAX_BODY_BYTES:
            self._fail(f"the response is over {MAX_BODY_BYTES} bytes")
        elif self._parser.complete:
            self._idle = self._parser.keep_alive
            status = self._parser.parser.get_status_code()
            response.set_result(HttpResponse(status, bytes(self._parser.body)))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request that is waiting for its response, if there is one."""
        self._fail(CLOSED if error is None else str(error) or type(error).__name__)

    def _fail(self, cause: str) -> None:
        self.close()
        if self._response is not None and not self._response.done():
            self._response.set_exception(BackendServerError(cause))


def _encode_request(
    path: str, host: str, payload: bytes, headers: Mapping[str, str]
) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = (
        f"POST {path} HTTP/1.1\r\n"
        f"Host: {host}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(payload)}\r\n"
        f"{lines}\r\n"
    )
    return head.encode("latin-1") + payload
