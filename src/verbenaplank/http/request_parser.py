"""Parser of the requests that a client sends on one connection."""

from __future__ import annotations

import logging
import urllib.parse
from typing import TYPE_CHECKING

import httptools

from verbenaplank.http.incoming import IncomingRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.http.limits import ReadLimits

logger = logging.getLogger(__name__)


FEED_BYTES = 4 * 1024
"""Size of the pieces that are parsed at once.

A head that ends in the same piece as the request before it may exceed its limit by as
much.
"""

REQUEST_LINE_OVERHEAD_BYTES = len(b"  HTTP/1.1\r\n\r\n")
FIELD_OVERHEAD_BYTES = len(b":\r\n")


class MalformedRequestError(Exception):
    """The client sent something other than an HTTP request."""


class HeadTooLargeError(Exception):
    """The client sent a longer head, or more between bodies, than the limit permits."""


class RequestParser:
    """Parses received bytes and reports each request's head and end.

    Parameters
    ----------
    on_head
        Called with a request whose head was received.
    on_end
        Called with a request that was received as a whole, or as soon as its body is
        known to be too large.
    read_limits
        Returns the limits, which are read when a request begins.

    Attributes
    ----------
    incoming
        The request that is being received, or the last one.
    limits
        The limits of that request.
    """

    def __init__(
        self,
        on_head: Callable[[IncomingRequest], None],
        on_end: Callable[[IncomingRequest], None],
        read_limits: ReadLimits,
    ) -> None:
        self._on_head = on_head
        self._on_end = on_end
        self._read_limits = read_limits
        self.limits = read_limits()
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._has_progressed = False
        self._in_request = False
        self.incoming = IncomingRequest()

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request, or of the lines before it, was received."""
        return self._in_request or self._head_bytes > 0

    @property
    def is_receiving_unrefused(self) -> bool:
        """Whether a part of a request was received that is not refused already."""
        return self._in_request and not self.incoming.is_too_large

    @property
    def is_receiving_head(self) -> bool:
        """Whether a part of a head was received."""
        return self._in_request and not self.incoming.has_head

    @property
    def unfinished_bytes(self) -> int:
        """Number of bytes of the head that is being received."""
        return self._head_bytes

    def feed(self, data: memoryview) -> int:
        """Parse some of the received bytes.

        Returns
        -------
        int
            How many bytes were parsed.

        Raises
        ------
        HeadTooLargeError
            If more bytes than the limit of a head were received in a row that belong
            to no body, or a head is over the limit.
        MalformedRequestError
            If they are not a part of an HTTP request.
        """
        piece = data[:FEED_BYTES]
        self._has_progressed = False
        self._parse(piece)
        self._head_bytes += len(piece)
        if self._has_progressed:
            self._head_bytes = 0
        if self._head_bytes > self.limits.max_head_bytes:
            raise HeadTooLargeError
        return len(piece)

    def _parse(self, piece: memoryview) -> None:
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            logger.warning("Unsupported upgrade request.")
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, HeadTooLargeError):
                raise error.__context__ from error
            raise MalformedRequestError(str(error)) from error

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.limits = self._read_limits()
        self._in_request = True
        self.incoming = IncomingRequest()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request's target."""
        self.incoming.head_bytes += len(url)
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field, but none of a trailer."""
        incoming = self.incoming
        if incoming.has_head:
            return
        incoming.head_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        incoming.headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Report the head of a request, and whether it announces too large a body.

        Raises
        ------
        HeadTooLargeError
            If the head is over the limit.
        """
        incoming, parser = self.incoming, self._parser
        incoming.method = parser.get_method().decode("ascii")
        incoming.head_bytes += len(incoming.method) + REQUEST_LINE_OVERHEAD_BYTES
        if incoming.head_bytes > self.limits.max_head_bytes:
            raise HeadTooLargeError
        target = httptools.parse_url(bytes(incoming.target))
        path = target.path.decode("ascii")
        incoming.path = urllib.parse.unquote(path) if "%" in path else path
        incoming.query = target.query or b""
        is_current = parser.get_http_version() != "1.0"
        incoming.keep_alive = is_current and parser.should_keep_alive()
        incoming.has_head = True
        length = incoming.headers.find("content-length")
        if length and length.isdecimal() and int(length) > self.limits.max_body_bytes:
            incoming.is_too_large = True
        self._on_head(incoming)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body, unless the body is too large."""
        self._has_progressed = True
        incoming = self.incoming
        if incoming.is_too_large:
            return
        incoming.body += body
        if len(incoming.body) > self.limits.max_body_bytes:
            incoming.is_too_large = True
            incoming.body.clear()
            self._on_end(incoming)

    def on_message_complete(self) -> None:
        """Report the end of a request."""
        self._has_progressed = True
        self._in_request = False
        self.incoming.is_complete = True
        if not self.incoming.is_too_large:
            self._on_end(self.incoming)
