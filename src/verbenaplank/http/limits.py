"""Limits of what a client may send on one connection."""

from __future__ import annotations

from collections.abc import Callable

import attrs

KIB = 1024
DEFAULT_MAX_HEAD_BYTES = 64 * KIB
DEFAULT_HEAD_TIMEOUT_S = 30.0
DEFAULT_BODY_TIMEOUT_S = 75.0


@attrs.frozen(kw_only=True)
class HttpLimits:
    """Limits of one request.

    Attributes
    ----------
    max_head_bytes
        Size of the largest permitted head, in bytes; also that of the empty lines
        before it and of the trailer after a chunked body.
    max_body_bytes
        Size of the largest permitted body, in bytes.
    head_timeout_s
        Longest time from the first byte of a head to its end, in seconds.
    body_timeout_s
        Longest pause within a body, in seconds.
    """

    max_body_bytes: int
    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
    head_timeout_s: float = DEFAULT_HEAD_TIMEOUT_S
    body_timeout_s: float = DEFAULT_BODY_TIMEOUT_S


ReadLimits = Callable[[], HttpLimits]
"""Returns the limits for the next request, which a new configuration may change."""
