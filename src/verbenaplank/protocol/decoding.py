"""What decoders raise for input that they cannot use, and how much it decodes to."""

from __future__ import annotations

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors of a JSON or MessagePack decoder.

Input that is nested deeply enough raises the last one.
"""


def most_values(text: bytes) -> int:
    """Return how many values a JSON text may hold at most.

    Each value takes far more memory than the one or two bytes of a small one, so that
    the size of a text alone does not limit what it decodes to.
    """
    return 1 + text.count(b",") + text.count(b"[") + text.count(b"{")
