"""One HTTP/1.1 connection to the backend server: h11 on asyncio streams."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

import attrs
import h11

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Self

READ_BYTES = 65_536
MAX_BODY_BYTES = 1024 * 1024


class BackendServerError(Exception):
    """The backend server broke the connection or HTTP, or sent too much."""


@attrs.frozen
class Answer:
    """A complete HTTP response."""

    status: int
    body: bytes


class Connection:
    """A connection that carries one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._host = host
        self._http = h11.Connection(h11.CLIENT)

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
        if self._http.our_state is not h11.IDLE or self._writer.is_closing():
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
    ) -> Answer:
        """Send one request and return its response.

        Raises
        ------
        BackendServerError
            If no whole response came; the request may have been received.
        """
        try:
            self._write_request(path, payload, headers)
            await self._writer.drain()
            answer = await self._read_answer()
        except (OSError, h11.ProtocolError) as error:
            raise BackendServerError(str(error) or type(error).__name__) from error
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        return answer

    def _write_request(
        self, path: str, payload: bytes, headers: Mapping[str, str]
    ) -> None:
        head = h11.Request(
            method="POST",
            target=path,
            headers=[
                ("Host", self._host),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(payload))),
                *headers.items(),
            ],
        )
        parts = (head, h11.Data(payload), h11.EndOfMessage())
        self._writer.writelines(self._http.send(part) or b"" for part in parts)

    async def _read_answer(self) -> Answer:
        status = 0
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                _check_size(body)
            elif isinstance(event, h11.EndOfMessage):
                return Answer(status, bytes(body))
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise BackendServerError("the connection was closed")


def _check_size(body: bytearray) -> None:
    if len(body) > MAX_BODY_BYTES:
        raise BackendServerError(f"the response is over {MAX_BODY_BYTES} bytes")
