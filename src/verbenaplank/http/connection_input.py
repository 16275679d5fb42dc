"""What a client has sent on one connection and was not answered yet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from verbenaplank.http.request_parser import RequestParser

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.http.incoming import IncomingRequest
    from verbenaplank.http.limits import ReadLimits

MAX_UNANSWERED = 8
"""Unanswered requests of a connection beyond which nothing more is read.

While nothing is read, a client that disconnects is not noticed.
"""


class ConnectionInput:
    """Requests that wait for their answers, and received bytes that are not parsed.

    Parameters
    ----------
    on_first
        Called with a request whose head was received, if no other one is before it.
    on_end
        Called with a request that was received as a whole, or is too large.

    Attributes
    ----------
    unanswered
        The requests whose heads were received, in their order.
    parser
        Parses the received bytes.
    """

    def __init__(
        self,
        on_first: Callable[[IncomingRequest], None],
        on_end: Callable[[IncomingRequest], None],
        read_limits: ReadLimits,
    ) -> None:
        self.unanswered: deque[IncomingRequest] = deque()
        self.parser = RequestParser(self._on_head, on_end, read_limits)
        self._on_first = on_first
        self._unparsed = bytearray()
        self._is_ignored = False

    @property
    def is_ignored(self) -> bool:
        """Whether nothing more is parsed."""
        return self._is_ignored

    @property
    def has_unparsed(self) -> bool:
        """Whether received bytes wait to be parsed."""
        return bool(self._unparsed)

    @property
    def has_enough(self) -> bool:
        """Whether nothing more is read before further answers are sent."""
        return self._is_ignored or len(self.unanswered) > MAX_UNANSWERED

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request, or of the lines before it, was received."""
        return self.parser.is_receiving and not self._is_ignored

    @property
    def has_unrefused_request(self) -> bool:
        """Whether there is a request, or a part of one, that is not refused already."""
        return bool(self.unanswered) or self.parser.is_receiving_unrefused

    @property
    def held_bytes(self) -> int:
        """Number of bytes that are kept."""
        size_bytes = self.parser.unfinished_bytes + len(self._unparsed)
        for incoming in self.unanswered:
            size_bytes += incoming.size_bytes
        return size_bytes

    def add(self, data: bytes, may_parse: Callable[[], bool]) -> None:
        """Parse data after what was received before, as far as that is permitted.

        Parameters
        ----------
        may_parse
            Returns whether more may be parsed.

        Raises
        ------
        HeadTooLargeError, MalformedRequestError
            As :meth:`RequestParser.feed`.
        """
        if self._unparsed:
            self._unparsed += data
            data = bytes(self._unparsed)
            self._unparsed.clear()
        rest = memoryview(data)
        while rest and may_parse() and not self.has_enough:
            rest = rest[self.parser.feed(rest) :]
        if rest and not self._is_ignored:
            self._unparsed += rest

    def earlier_than_newest(self) -> list[IncomingRequest]:
        """Return the unanswered requests but for one that is still being received."""
        newest = self.parser.incoming
        return [
            item for item in self.unanswered if item.is_complete or item is not newest
        ]

    def forget(self) -> None:
        """Free what was received, without waiting for the garbage collector."""
        for incoming in (*self.unanswered, self.parser.incoming):
            incoming.release()
        self.unanswered.clear()
        self._unparsed.clear()
        self._is_ignored = True

    def keep_first(self) -> IncomingRequest:
        """Forget all but the first request, which is the last one from now on."""
        first = self.unanswered.popleft()
        first.keep_alive = False
        self.forget()
        self.unanswered.append(first)
        return first

    def _on_head(self, incoming: IncomingRequest) -> None:
        self.unanswered.append(incoming)
        if len(self.unanswered) == 1:
            self._on_first(incoming)
