"""The work that arrives at an entry by priority, as a moving average."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from verbenaplank.overload.hopeless import PoolKey

DEMAND_WINDOW_S = 2.0
"""Time constant of the average, long enough for several jobs of each kind."""


@attrs.define
class _Average:
    rate: float = 0.0
    updated_s: float = -math.inf

    def at(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.updated_s)
        return self.rate * math.exp(-age_s / DEMAND_WINDOW_S)


class Demand:
    """Core seconds of work that arrive per second, by pool and priority."""

    def __init__(self) -> None:
        self._rates: dict[tuple[PoolKey, int], _Average] = {}

    def record(self, pool: PoolKey, priority: int, core_s: float, now_s: float) -> None:
        """Add the work of a task that arrives."""
        average = self._rates.setdefault((pool, priority), _Average())
        average.rate = average.at(now_s) + core_s / DEMAND_WINDOW_S
        average.updated_s = now_s

    def above(self, pool: PoolKey, priority: int, now_s: float) -> float:
        """Return the arriving work of higher priorities, in cores."""
        return sum(
            average.at(now_s)
            for (known_pool, known_priority), average in self._rates.items()
            if known_pool == pool and known_priority < priority
        )
