"""HTTP/1.1 connection whose requests a handler answers, one after the other.

It serves a handler without ASGI, whose tasks and messages for each request cost more
processor time than many handlers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from verbenaplank.connections.client_connections import Activity
from verbenaplank.connections.client_connections import ClientConnections
from verbenaplank.http.connection_input import ConnectionInput
from verbenaplank.http.connection_timer import ConnectionTimer
from verbenaplank.http.limits import ReadLimits
from verbenaplank.http.messages import Handler
from verbenaplank.http.messages import Response
from verbenaplank.http.messages import call_handler
from verbenaplank.http.refusals import Refusal
from verbenaplank.http.refusals import RefusalResponse
from verbenaplank.http.request_parser import HeadTooLargeError
from verbenaplank.http.request_parser import MalformedRequestError
from verbenaplank.http.response_writer import asks_to_close
from verbenaplank.http.response_writer import encode_response

if TYPE_CHECKING:
    from verbenaplank.http.incoming import IncomingRequest

STOPPED = Response(
    status=HTTPStatus.INTERNAL_SERVER_ERROR,
    body=b"Internal Server Error",
    headers={"content-type": "text/plain; charset=utf-8", "connection": "close"},
)
CLOSE_TIMEOUT_S = 10.0
"""How long a closed connection waits for its client to read the last answer."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
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
    clients
        Keeps count of the connections and sheds some of them if there are too many.
    refusal_response
        Returns the response of a refusal.
    on_close
        Called when a connection is closed.
    """

    handler: Handler
    read_limits: ReadLimits
    keep_alive_s: float
    clients: ClientConnections
    refusal_response: RefusalResponse
    on_close: Callable[[HttpConnection], None]


class HttpConnection(asyncio.Protocol):
    """One connection of a client.

    A handler is cancelled when its client disconnects.  Pipelined requests wait until
    the earlier ones are answered.
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        self._settings = settings
        self._input = ConnectionInput(self._begin, self._continue, settings.read_limits)
        self._unanswered = self._input.unanswered
        self._transport: asyncio.Transport
        self._handling: asyncio.Task[None] | None = None
        self._timer = ConnectionTimer()
        self._write_paused = False
        self._reads = True
        self._stopping = False

    def stop(self) -> None:
        """Close the connection after the answers to the requests received so far."""
        self._stopping = True
        if not self._unanswered:
            self._close()

    shutdown = stop

    def cancel(self) -> None:
        """Cancel the handler of the request in progress."""
        if self._handling is not None:
            self._handling.cancel()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a connection that was accepted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._settings.clients.add(self):
            response = self._refusal(Refusal.OVERLOADED)
            self._write(response, keep_alive=False, has_body=True)
            transport.close()
        self._update()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle a connection that was closed by either side."""
        self._timer.stop()
        self.cancel()
        self._input.forget()
        self._settings.clients.remove(self)
        self._settings.on_close(self)

    def pause_writing(self) -> None:
        """Do nothing more until the client has received earlier answers."""
        self._write_paused = True
        self._update()

    def resume_writing(self) -> None:
        """Go on after the client has received earlier answers."""
        self._write_paused = False
        if self._unanswered and self._handling is None:
            self._begin(self._unanswered[0])
        self._parse_more()

    def data_received(self, data: bytes) -> None:
        """Parse received data, unless earlier requests have to be answered first."""
        self._parse_more(data)

    def _parse_more(self, data: bytes = b"") -> None:
        try:
            self._input.add(data, self._may_parse)
        except MalformedRequestError:
            logger.warning("Invalid HTTP request received.")
            self._refuse(Refusal.MALFORMED)
        except HeadTooLargeError:
            logger.warning("head of a request refused as too large")
            self._refuse(Refusal.HEAD_TOO_LARGE)
        self._update()

    def _may_parse(self) -> bool:
        return not (self._write_paused or self._transport.is_closing())

    def _begin(self, incoming: IncomingRequest) -> None:
        if incoming.needs_continue() and not incoming.is_too_large:
            self._transport.write(CONTINUE)
        if incoming.is_complete or incoming.is_too_large:
            self._continue(incoming)

    def _continue(self, incoming: IncomingRequest) -> None:
        """Answer a request that was received or refused, once it is the next one."""
        if self._transport.is_closing() or self._unanswered[0] is not incoming:
            return
        if incoming.is_too_large:
            self._answer(incoming, self._refusal(Refusal.BODY_TOO_LARGE))
            return
        handling = asyncio.get_running_loop().create_task(self._handle(incoming))
        self._handling = handling

    async def _handle(self, incoming: IncomingRequest) -> None:
        try:
            response = await call_handler(
                self._settings.handler, incoming.take_request()
            )
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
        closes = is_last or asks_to_close(response)
        keep_alive = incoming.keep_alive and not closes
        has_body = incoming.method != "HEAD"
        self._write(response, keep_alive=keep_alive, has_body=has_body)
        self._unanswered.popleft()
        if not keep_alive:
            self._close()
            return
        if self._unanswered and not self._write_paused:
            self._begin(self._unanswered[0])
        if self._input.has_unparsed:
            asyncio.get_running_loop().call_soon(self._parse_more)
        self._update()

    def _refuse(self, refusal: Refusal) -> None:
        """Close the connection, with an answer if no earlier request waits for one.

        A client takes the next answer for that of its first unanswered request.
        """
        if not self._input.earlier_than_newest():
            self._write(self._refusal(refusal), keep_alive=False, has_body=True)
        self._close()

    def _refusal(self, refusal: Refusal) -> Response:
        """Return the response that refuses the first request without an answer."""
        incoming = self._unanswered[0] if self._unanswered else None
        return self._settings.refusal_response(refusal, incoming)

    def shed(self) -> None:
        """Refuse the input that is not handled, and close unless a handler runs."""
        if self._handling is not None:
            self._input.keep_first()
            self._update()
            return
        if self._transport.is_closing():
            return
        if self._input.has_unrefused_request:
            response = self._refusal(Refusal.OVERLOADED)
            self._write(response, keep_alive=False, has_body=True)
        self._input.forget()
        self._close_at_once()

    def _close_at_once(self) -> None:
        """Close the connection, without waiting for a client that does not read."""
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def _update(self) -> None:
        """Adapt reading and the timeout to what the connection does, and report it."""
        if self._transport.is_closing():
            self._timer.start_once(CLOSE_TIMEOUT_S, self._transport.abort)
            return
        activity = self._activity()
        self._update_reading()
        self._update_timer(activity)
        self._settings.clients.update(self, activity, self._held_bytes())

    def _activity(self) -> Activity:
        is_receiving = self._input.is_receiving
        if self._handling is not None:
            has_others = len(self._unanswered) > 1 or self._input.has_unparsed
            has_input = has_others or is_receiving
            return Activity.HANDLING_WITH_INPUT if has_input else Activity.HANDLING
        if self._unanswered or is_receiving or self._write_paused:
            return Activity.RECEIVING
        return Activity.IDLE

    def _held_bytes(self) -> int:
        return self._input.held_bytes + self._transport.get_write_buffer_size()

    def _write(self, response: Response, *, keep_alive: bool, has_body: bool) -> None:
        data = encode_response(response, keep_alive=keep_alive, has_body=has_body)
        self._transport.write(data)

    def _update_reading(self) -> None:
        reads = not (self._write_paused or self._input.has_enough)
        if reads is self._reads:
            return
        self._reads = reads
        if reads:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _update_timer(self, activity: Activity) -> None:
        parser = self._input.parser
        if activity in (Activity.HANDLING, Activity.HANDLING_WITH_INPUT):
            self._timer.stop()
        elif self._write_paused:
            self._timer.start_once(self._settings.keep_alive_s, self._transport.abort)
        elif not self._input.has_unrefused_request:
            self._timer.start(self._settings.keep_alive_s, self._close)
        elif parser.is_receiving_head:
            self._timer.start_once(parser.limits.head_timeout_s, self._time_out)
        else:
            self._timer.start(parser.limits.body_timeout_s, self._time_out)

    def _close(self) -> None:
        self._transport.close()
        self._update()

    def _time_out(self) -> None:
        logger.info("request refused that did not arrive in time")
        self._refuse(Refusal.TOO_SLOW)
        self._update()
