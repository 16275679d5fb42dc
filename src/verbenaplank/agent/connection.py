"""One HTTP/1.1 connection to the backend server: httptools on asyncio streams."""

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
    """The backend server broke the connection or HTTP, or sent too much."""


@attrs.frozen
class HttpResponse:
    """A complete HTTP response."""

    status: int
    body: bytes


class _ResponseParser:
    """Takes in what its parser finds of one response."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.complete = False
        self.keeps_alive = False

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        self.keeps_alive = self.parser.should_keep_alive()


class Connection:
    """A connection that carries one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._host = host
        self._idle = True

    @classmethod
    async def open(cls, host: str, port: int) -> Self:
        """Connect to the backend server.

        Raises
        ------
        OSError
            If it cannot be reached.
        """
        reader, writer = await asyncio.open_connection(host, port)
        return cls(reader, writer, f"{host}:{port}")

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent.

        An idle connection that has something to read was closed by the other
        side or has spoken out of turn.
        """
        if not self._idle or self._writer.is_closing():
            return False
        return not (self._reader.at_eof() or self._readable())

    def _readable(self) -> bool:
        poll = select.poll()
        poll.register(self._writer.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()

    async def post(
        self, path: str, payload: bytes, headers: Mapping[str, str]
    ) -> HttpResponse:
        """Send one request and return its response.

        Raises
        ------
        BackendServerError
            If no whole response came; the request may have been received.
        """
        self._idle = False
        try:
            self._writer.write(_request(path, self._host, payload, headers))
            await self._writer.drain()
            return await self._read_answer()
        except (OSError, httptools.HttpParserError) as error:
            raise BackendServerError(str(error) or type(error).__name__) from error

    async def _read_answer(self) -> HttpResponse:
        response = _ResponseParser()
        while not response.complete:
            received = await self._reader.read(READ_BYTES)
            if not received:
                raise BackendServerError("the connection was closed")
            response.parser.feed_data(received)
            if len(response.body) > MAX_BODY_BYTES:
                raise BackendServerError(f"the response is over {MAX_BODY_BYTES} bytes")
        self._idle = response.keeps_alive
        return HttpResponse(response.parser.get_status_code(), bytes(response.body))


def _request(path: str, host: str, payload: bytes, headers: Mapping[str, str]) -> bytes:
    fields = {
        "Host": host,
        "Content-Type": "application/json",
        "Content-Length": str(len(payload)),
        **headers,
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + payload
