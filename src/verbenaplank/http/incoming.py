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

    def needs_continue(self) -> bool:
        """Return whether the client waits for permission to send the body."""
        return self.headers.get("expect", "").lower() == "100-continue"

    def to_request(self) -> Request:
        """Return the request, once it is complete."""
        return Request(
            method=self.method,
            path=self.path,
            query=self.query,
            headers=self.headers,
            body=bytes(self.body),
        )
