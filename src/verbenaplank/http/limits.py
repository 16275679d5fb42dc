"""Limits of what a client may send on one connection."""

from __future__ import annotations

from collections.abc import Callable

import attrs

KIB = 1024
DEFAULT_MAX_HEAD_BYTES = 64 * KIB


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
    """

    max_body_bytes: int
    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES


ReadLimits = Callable[[], HttpLimits]
"""Returns the limits for the next request, which a new configuration may change."""
