"""Encoding of HTTP/1.1 responses."""

from __future__ import annotations

import functools
import time
from email.utils import formatdate
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.http.messages import Response

STATUS_LINES = {
    int(status): f"HTTP/1.1 {int(status)} {status.phrase}\r\n" for status in HTTPStatus
}


def encode_response(response: Response, *, keep_alive: bool, has_body: bool) -> bytes:
    """Return the bytes of a response; one to HEAD has no body."""
    lines = [
        STATUS_LINES[response.status],
        f"date: {_date(int(time.time()))}\r\ncontent-length: {len(response.body)}",
    ]
    lines += [f"\r\n{key.lower()}: {text}" for key, text in response.headers.items()]
    if not keep_alive and not asks_to_close(response):
        lines.append("\r\nconnection: close")
    lines.append("\r\n\r\n")
    head = "".join(lines).encode("latin-1")
    return head + response.body if has_body else head


def asks_to_close(response: Response) -> bool:
    """Return whether a response says that it is the last one of its connection."""
    return any(
        name.lower() == "connection" and "close" in value.lower()
        for name, value in response.headers.items()
    )


@functools.lru_cache(maxsize=1)
def _date(second: int) -> str:
    """Return the text of a date header, which changes once a second."""
    return formatdate(second, usegmt=True)
