"""HTTP/1.1 client connection to the backend server, on httptools and asyncio."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

import attrs
import httptools

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Self

READ_BYTES = 65_536
MAX_BODY_BYTES = 1024 * 1024


class BackendServerError(Exception):
    """The backend server closed the connection, broke HTTP or sent too large a body."""


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


class Connection:
    """HTTP connection that carries one request at a time, without pipelining."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._host = host
        self._idle = True

    @classmethod
    async def open(cls, host: str, port: int) -> Self:
        """Open a connection to the backend server.

        Raises
        ------
        OSError
            If the backend server cannot be reached.
        """
        reader, writer = await asyncio.open_connection(host, port)
        return cls(reader, writer, f"{host}:{port}")

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection.

        An idle connection with unread data is not reusable: the other side has closed
        it or has sent data without a request.
        """
        if not self._idle or self._writer.is_closing():
            return False
        return not (self._reader.at_eof() or self._has_unread_data())

    def _has_unread_data(self) -> bool:
        poll = select.poll()
        poll.register(self._writer.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close the connection without waiting until it is closed."""
        self._writer.close()

    async def post(
        self, path: str, payload: bytes, headers: Mapping[str, str]
    ) -> HttpResponse:
        """Send one POST request and return its response.

        Raises
        ------
        BackendServerError
            If no complete response came; the request may have been received.
        """
        self._idle = False
        try:
            self._writer.write(_request(path, self._host, payload, headers))
            await self._writer.drain()
            return await self._read_response()
        except (OSError, httptools.HttpParserError) as error:
            raise BackendServerError(str(error) or type(error).__name__) from error

    async def _read_response(self) -> HttpResponse:
        response = _ResponseParser()
        while not response.complete:
            received = await self._reader.read(READ_BYTES)
            if not received:
                raise BackendServerError(
                    "the connection was closed before the response ended"
                )
            response.parser.feed_data(received)
            if len(response.body) > MAX_BODY_BYTES:
                raise BackendServerError(f"the response is over {MAX_BODY_BYTES} bytes")
        self._idle = response.keep_alive
        return HttpResponse(response.parser.get_status_code(), bytes(response.body))


def _request(path: str, host: str, payload: bytes, headers: Mapping[str, str]) -> bytes:
    all_headers = {
        "Host": host,
        "Content-Type": "application/json",
        "Content-Length": str(len(payload)),
        **headers,
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + payload
