"""HTTP/1.1 connection whose requests a handler answers, one after the other.

It serves a handler without ASGI, whose tasks and messages for each request cost more
processor time than many handlers.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import time
from collections import deque
from collections.abc import Callable
from email.utils import formatdate
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from verbenaplank.http.limits import ReadLimits
from verbenaplank.http.messages import Handler
from verbenaplank.http.messages import Response
from verbenaplank.http.messages import call_handler
from verbenaplank.http.request_parser import HeadTooLargeError
from verbenaplank.http.request_parser import MalformedRequestError
from verbenaplank.http.request_parser import RequestParser

if TYPE_CHECKING:
    from verbenaplank.http.incoming import IncomingRequest

MAX_UNANSWERED = 8
"""Unanswered requests of a connection beyond which nothing more is read.

While nothing is read, a client that disconnects is not noticed.
"""

TEXT = {"content-type": "text/plain; charset=utf-8", "connection": "close"}
MALFORMED = Response(
    status=HTTPStatus.BAD_REQUEST, body=b"Invalid HTTP request received.", headers=TEXT
)
HEAD_TOO_LARGE = Response(
    status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    body=b"The head of the request is too large.",
    headers=TEXT,
)
STOPPED = Response(
    status=HTTPStatus.INTERNAL_SERVER_ERROR, body=b"Internal Server Error", headers=TEXT
)
TOO_LARGE = Response(status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_LINES = {
    int(status): f"HTTP/1.1 {int(status)} {status.phrase}\r\n" for status in HTTPStatus
}

logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class ConnectionSettings:
    """What the connections of one server have in common.

    Attributes
    ----------
    read_limits
        Returns the limits of requests; one with a larger head gets status 431, one
        with a larger body status 413.
    keep_alive_s
        How long a connection without requests stays open, in seconds.
    on_close
        Called when a connection is closed.
    """

    handler: Handler
    read_limits: ReadLimits
    keep_alive_s: float
    on_close: Callable[[HttpConnection], None]


class HttpConnection(asyncio.Protocol):
    """One connection of a client.

    A handler is cancelled when its client disconnects.  Pipelined requests wait until
    the earlier ones are answered.
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        self._settings = settings
        self._parser = RequestParser(
            self._on_head, self._continue, settings.read_limits
        )
        self._transport: asyncio.Transport
        self._unanswered: deque[IncomingRequest] = deque()
        self._handling: asyncio.Task[None] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._write_paused = False
        self._stopping = False

    def stop(self) -> None:
        """Close the connection after the answers to the requests received so far."""
        self._stopping = True
        if not self._unanswered:
            self._transport.close()

    def cancel(self) -> None:
        """Cancel the handler of the request in progress."""
        if self._handling is not None:
            self._handling.cancel()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a connection that was accepted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle a connection that was closed by either side."""
        self._stop_idle_timer()
        self.cancel()
        self._settings.on_close(self)

    def pause_writing(self) -> None:
        """Read nothing more until the client has received earlier answers."""
        self._write_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Read again after the client has received earlier answers."""
        self._write_paused = False
        self._update_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        self._stop_idle_timer()
        try:
            self._parse(data)
        except MalformedRequestError:
            logger.warning("Invalid HTTP request received.")
            self._refuse(MALFORMED)
        except HeadTooLargeError:
            logger.warning("head of a request refused as too large")
            self._refuse(HEAD_TOO_LARGE)
        incoming = self._parser.incoming
        is_receiving = not (incoming.is_complete or incoming.is_too_large)
        if not (is_receiving or self._unanswered or self._transport.is_closing()):
            self._start_idle_timer()

    def _parse(self, data: bytes) -> None:
        """Parse received data up to its end, or until the connection is closed."""
        rest = memoryview(data)
        while rest and not self._transport.is_closing():
            rest = rest[self._parser.feed(rest) :]

    def _on_head(self, incoming: IncomingRequest) -> None:
        """Queue the request behind those that are not answered yet."""
        self._unanswered.append(incoming)
        self._update_reading()
        if len(self._unanswered) == 1:
            self._begin(incoming)

    def _begin(self, incoming: IncomingRequest) -> None:
        if incoming.needs_continue():
            self._transport.write(CONTINUE)
        if incoming.is_complete or incoming.is_too_large:
            self._continue(incoming)

    def _continue(self, incoming: IncomingRequest) -> None:
        """Answer a request that was received or refused, once it is the next one."""
        if self._unanswered[0] is not incoming or self._transport.is_closing():
            return
        if incoming.is_too_large:
            self._answer(incoming, TOO_LARGE)
            return
        handling = asyncio.get_running_loop().create_task(self._handle(incoming))
        self._handling = handling

    async def _handle(self, incoming: IncomingRequest) -> None:
        try:
            response = await call_handler(self._settings.handler, incoming.to_request())
        except asyncio.CancelledError:
            if not self._transport.is_closing():
                incoming.keep_alive = False
                self._answer(incoming, STOPPED)
            raise
        self._answer(incoming, response)

    def _answer(self, incoming: IncomingRequest, response: Response) -> None:
        self._handling = None
        if self._transport.is_closing():
            return
        is_last = self._stopping and len(self._unanswered) == 1
        closes = is_last or _asks_to_close(response)
        keep_alive = incoming.keep_alive and not closes
        has_body = incoming.method != "HEAD"
        self._write(response, keep_alive=keep_alive, has_body=has_body)
        self._unanswered.popleft()
        if not keep_alive:
            self._transport.close()
            return
        self._update_reading()
        if self._unanswered:
            self._begin(self._unanswered[0])
        else:
            self._start_idle_timer()

    def _refuse(self, refusal: Response) -> None:
        """Close the connection, with an answer if no earlier request waits for one.

        A client takes the next answer for that of its first unanswered request.
        """
        newest = self._parser.incoming
        incoming = None if newest.is_complete else newest
        earlier = [item for item in self._unanswered if item is not incoming]
        if not earlier:
            self._write(refusal, keep_alive=False, has_body=True)
        self._transport.close()

    def _write(self, response: Response, *, keep_alive: bool, has_body: bool) -> None:
        """Write an answer in one piece."""
        lines = [
            STATUS_LINES[response.status],
            f"date: {_date(int(time.time()))}\r\ncontent-length: {len(response.body)}",
        ]
        lines += [
            f"\r\n{key.lower()}: {text}" for key, text in response.headers.items()
        ]
        if not keep_alive and not _asks_to_close(response):
            lines.append("\r\nconnection: close")
        lines.append("\r\n\r\n")
        head = "".join(lines).encode("latin-1")
        self._transport.write(head + response.body if has_body else head)

    def _update_reading(self) -> None:
        if self._write_paused or len(self._unanswered) > MAX_UNANSWERED:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _start_idle_timer(self) -> None:
        """Close the connection after some time without data."""
        self._stop_idle_timer()
        loop, delay_s = asyncio.get_running_loop(), self._settings.keep_alive_s
        self._idle_timer = loop.call_later(delay_s, self._transport.close)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None


def _asks_to_close(response: Response) -> bool:
    return any(
        name.lower() == "connection" and "close" in value.lower()
        for name, value in response.headers.items()
    )


@functools.lru_cache(maxsize=1)
def _date(second: int) -> str:
    """Return the text of a date header, which changes once a second."""
    return formatdate(second, usegmt=True)
