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


QUICK_STOPS = 8
"""Number of stop requests in quick succession.

The runs of a lost entry must have ended before its callers send their jobs again, and
a request may be lost without a sign of it.
"""

QUICK_STOP_PAUSE_S = 0.01


def stop_timeout_s(repetition: int) -> float:
    """Return the timeout of a stop request that was repeated so many times."""
    return CALL_TIMEOUTS_S[0] if repetition < QUICK_STOPS else CALL_TIMEOUTS_S[-1]


def stop_pause_s(repetition: int) -> float:
    """Return the pause after a stop request without a reply, in seconds."""
    return QUICK_STOP_PAUSE_S if repetition < QUICK_STOPS else RETRY_S
