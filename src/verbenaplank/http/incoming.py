"""A request that is being received or waits for its answer."""

from __future__ import annotations

import attrs

from verbenaplank.http.headers import HeaderFields
from verbenaplank.http.messages import Request


@attrs.define(eq=False)
class IncomingRequest:
    """The received parts of a request.

    Attributes
    ----------
    target
        The request's target, as it was sent.
    keep_alive
        Whether the client may send further requests on the connection.
    head_bytes
        Size of the received head, in bytes, without optional whitespace.
    has_head
        Whether the head was received.
    is_complete
        Whether the whole request was received.
    is_too_large
        Whether its body is over the limit; the body is then not kept.
    """

    method: str = ""
    path: str = ""
    query: bytes = b""
    target: bytearray = attrs.field(factory=bytearray)
    headers: HeaderFields = attrs.field(factory=HeaderFields)
    body: bytearray = attrs.field(factory=bytearray)
    keep_alive: bool = True
    head_bytes: int = 0
    has_head: bool = False
    is_complete: bool = False
    is_too_large: bool = False
    _released_bytes: int = attrs.field(default=0, init=False)

    @property
    def size_bytes(self) -> int:
        """Return the number of bytes that are kept of the request."""
        parts = len(self.target) + self.headers.size_bytes + len(self.body)
        return max(parts, self._released_bytes)

    def needs_continue(self) -> bool:
        """Return whether the client waits for permission to send the body."""
        expectation = self.headers.find("expect")
        return expectation is not None and expectation.lower() == "100-continue"

    def release(self) -> None:
        """Forget what was received; ``size_bytes`` stays as it was."""
        self._released_bytes = self.size_bytes
        self.target.clear()
        self.headers = HeaderFields()
        self.body.clear()

    def take_request(self) -> Request:
        """Return the complete request, whose parts are then kept nowhere else."""
        request = Request(
            method=self.method,
            path=self.path,
            query=self.query,
            headers=self.headers,
            body=bytes(self.body),
        )
        self.release()
        return request
