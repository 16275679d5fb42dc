"""Timeouts of the calls to a backend server on the same machine."""

from __future__ import annotations

CALL_TIMEOUTS_S = (0.06, 0.12, 0.2)
"""Timeouts of a call and of its repetitions; the last one applies to all further ones.

The backend server runs on the same machine and replies within milliseconds, so a call
that takes longer is probably lost.
"""

RETRY_S = 0.05


def call_timeout_s(repetition: int) -> float:
    """Return the timeout of a call that was repeated so many times, in seconds."""
    return CALL_TIMEOUTS_S[min(repetition, len(CALL_TIMEOUTS_S) - 1)]
