"""Widens an entry's subset of agents while its tasks find no free one.

This answers a hot entry, whose traffic is above the mean, and agents whose capacity is
taken by other entries.  The limit keeps an overload of the whole fleet from opening
streams between all entries and all agents.
"""

from __future__ import annotations

import attrs

WIDEN_AFTER_S = 0.2
"""How long tasks wait before the subset is widened, and again each time."""

NARROW_AFTER_S = 10.0
"""How long no task has waited before the subset is narrowed, and again each time."""

STEPS = 4
"""Number of steps in which a subset is widened to twice its size."""


@attrs.define
class SubsetWidening:
    """Number of agents by which a subset is widened.

    Attributes
    ----------
    size
        Number of agents of the subset before it is widened.
    extra
        Number of further agents now.
    """

    size: int
    extra: int = 0
    _waiting_since_s: float | None = None
    _calm_since_s: float | None = None

    def update(self, now_s: float, *, tasks_wait: bool) -> None:
        """Update the number with whether tasks wait for an agent at a time."""
        if not tasks_wait:
            self._waiting_since_s = None
            self._narrow(now_s)
            return
        self._calm_since_s = None
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        elif now_s - self._waiting_since_s >= WIDEN_AFTER_S:
            self._waiting_since_s = now_s
            self.extra = min(self.size, self.extra + self._step)

    @property
    def _step(self) -> int:
        return max(1, self.size // STEPS)

    def _narrow(self, now_s: float) -> None:
        if self._calm_since_s is None:
            self._calm_since_s = now_s
        elif now_s - self._calm_since_s >= NARROW_AFTER_S:
            self._calm_since_s = now_s
            self.extra = max(0, self.extra - self._step)
