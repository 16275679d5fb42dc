"""Chooses when a refused caller should send its request again.

Load pattern: many callers are refused within a moment, and would return together.
Urgent callers return first, others later, each at a time of its own, and none before
the work that is queued now has left.
"""

from __future__ import annotations

import hashlib

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
SPREAD_PER_PRIORITY = 1.0
"""Width of the interval in which callers of a priority return, as a multiple of the
expected wait.  Callers of the next priority return after it."""


def retry_after_s(wait_s: float, priority: int, key: str) -> float:
    """Return the seconds after which a caller should try again.

    Parameters
    ----------
    wait_s
        Expected time until the work that is queued now has left.
    priority
        Priority of the request, 0 being the most urgent.
    key
        Id of the request; requests with different ids return at different times.
    """
    wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    width_s = SPREAD_PER_PRIORITY * wait_s
    spread_s = width_s * (priority + _fraction(key))
    return min(wait_s + spread_s, MAX_RETRY_AFTER_S)


def _fraction(key: str) -> float:
    """Return a number from 0 to below 1 that is the same for the same key."""
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32
