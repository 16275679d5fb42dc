"""Parser of the requests that a client sends on one connection."""

from __future__ import annotations

import logging
import urllib.parse
from typing import TYPE_CHECKING

import httptools

from verbenaplank.http.incoming import IncomingRequest

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)


class MalformedRequestError(Exception):
    """The client sent something other than an HTTP request."""


class RequestParser:
    """Parses received bytes and reports each request's head and end.

    Parameters
    ----------
    on_head
        Called with a request whose head was received.
    on_end
        Called with a request that was received as a whole, or as soon as its body is
        known to be too large.
    max_body_bytes
        Returns the size of the largest permitted body, in bytes.

    Attributes
    ----------
    incoming
        The request that is being received, or the last one.
    """

    def __init__(
        self,
        on_head: Callable[[IncomingRequest], None],
        on_end: Callable[[IncomingRequest], None],
        max_body_bytes: Callable[[], int],
    ) -> None:
        self._on_head = on_head
        self._on_end = on_end
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self.incoming = IncomingRequest()

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        MalformedRequestError
            If they are not a part of an HTTP request.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            logger.warning("Unsupported upgrade request.")
        except httptools.HttpParserError as error:
            raise MalformedRequestError(str(error)) from error

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.incoming = IncomingRequest()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request's target."""
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        self.incoming.headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Report the head of a request."""
        incoming, parser = self.incoming, self._parser
        target = httptools.parse_url(bytes(incoming.target))
        path = target.path.decode("ascii")
        incoming.path = urllib.parse.unquote(path) if "%" in path else path
        incoming.query = target.query or b""
        incoming.method = parser.get_method().decode("ascii")
        is_current = parser.get_http_version() != "1.0"
        incoming.keep_alive = is_current and parser.should_keep_alive()
        incoming.has_head = True
        self._on_head(incoming)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body, unless the body is too large."""
        incoming = self.incoming
        if incoming.is_too_large:
            return
        incoming.body += body
        if len(incoming.body) > self._max_body_bytes():
            incoming.is_too_large = True
            incoming.body.clear()
            self._on_end(incoming)

    def on_message_complete(self) -> None:
        """Report the end of a request."""
        self.incoming.is_complete = True
        if not self.incoming.is_too_large:
            self._on_end(self.incoming)
