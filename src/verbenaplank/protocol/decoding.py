"""What decoders raise for input that they cannot use."""

from __future__ import annotations

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors of a JSON or MessagePack decoder.

Input that is nested deeply enough raises the last one.
"""
