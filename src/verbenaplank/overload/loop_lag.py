"""Detects that an entry's own processor is the bottleneck.

Load pattern: an entry gets more requests than its processor can handle.  Its queue of
tasks is short then, but each event waits for those before it.  New requests are refused
before they are decoded, so that those in progress are completed.
"""

from __future__ import annotations

from collections import deque

SAMPLES = 3
"""Number of latest samples that must all be late, so that one pause does not count."""

MAX_LAG_S = 0.3
"""Lag from which new requests are refused.

A request waits for several turns of the event loop, each as long as the lag."""


class LoopLag:
    """How long an event waits until the event loop handles it."""

    def __init__(self) -> None:
        self._samples_s: deque[float] = deque(maxlen=SAMPLES)

    @property
    def lag_s(self) -> float:
        """Return the lag, in seconds."""
        if len(self._samples_s) < SAMPLES:
            return 0.0
        return min(self._samples_s)

    @property
    def is_overloaded(self) -> bool:
        """Return whether new requests should be refused."""
        return self.lag_s > MAX_LAG_S

    def record(self, late_s: float) -> None:
        """Record by how much a timer fired late, in seconds."""
        self._samples_s.append(max(0.0, late_s))
