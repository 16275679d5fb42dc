"""Estimates the rate at which an entry's queue drains, from the entry's real demand.

Load pattern: entries with uneven traffic (a data centre has one, two or three of them),
and callers that move to another data centre.  An equal part of the capacity is too much
for one entry and too little for another.  The cores that an entry's tasks occupy go to
its next tasks when they end.  Of the cores that reports show as free, each entry gets
a part in proportion to what its tasks occupy.
"""

from __future__ import annotations

import math
from copy import copy
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.overload.hopeless import PoolKey
    from verbenaplank.placement.room import CapacityUse

DEMAND_TIME_CONSTANT_S = 2.0
"""Time constant of the average, a few run times, so that it follows moving callers."""

MAX_STEP_S = 1.0
"""Longest time that one observation counts for; jobs may arrive far apart."""

MIN_SHARE = 0.25
"""Least rate, as a part of the equal share, that an entry expects to obtain.

Cores of other entries' tasks become free too, and an entry whose tasks wait takes some
of them."""


class OwnShare:
    """An entry's share of the work on the backend servers that it competes for.

    Nothing is known at the start; the entry then assumes an equal share.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._observed_s = 0.0
        self._updated_s = -math.inf

    def record(self, use: CapacityUse, now_s: float) -> None:
        """Observe what the tasks of this entry and of the others occupy."""
        elapsed_s = min(max(0.0, now_s - self._updated_s), MAX_STEP_S)
        self._updated_s = now_s
        occupied = use.own + use.others
        if occupied <= 0.0 or elapsed_s <= 0.0 or not self._knows_demand(use):
            return
        self._observed_s += elapsed_s
        gain = max(
            1.0 - math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S),
            elapsed_s / self._observed_s,
        )
        self._share += gain * (use.own / occupied - self._share)

    def drain_rate(self, use: CapacityUse, entries: float) -> float:
        """Return the units of capacity at which the entry's queue drains.

        It is 0 if no capacity is known.

        Parameters
        ----------
        entries
            Number of entries that share the backend servers.
        """
        equal = 1.0 / max(1.0, entries)
        doubt = math.exp(-self._observed_s / DEMAND_TIME_CONSTANT_S)
        share = doubt * equal + (1.0 - doubt) * self._share
        least = equal * use.available * max(MIN_SHARE, doubt)
        return max(use.own + share * use.free, least)

    def _knows_demand(self, use: CapacityUse) -> bool:
        """Return whether the entry has had tasks; before, others' tasks say nothing."""
        return use.own > 0.0 or self._observed_s > 0.0


class OwnShares:
    """An entry's share by the backend servers for which jobs compete."""

    def __init__(self) -> None:
        self._shares: dict[PoolKey, OwnShare] = {}

    def copy(self) -> OwnShares:
        """Return a copy that observes for itself from now on."""
        copied = OwnShares()
        copied._shares = {pool: copy(share) for pool, share in self._shares.items()}
        return copied

    def drain_rate(
        self, pool: PoolKey, use: CapacityUse, entries: float, now_s: float
    ) -> float:
        """Observe the use of a pool, and return the rate of the entry's queue for it.

        See :meth:`OwnShare.drain_rate`.
        """
        share = self._shares.get(pool)
        if share is None:
            share = self._shares[pool] = OwnShare()
        share.record(use, now_s)
        return share.drain_rate(use, entries)
