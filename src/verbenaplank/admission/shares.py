"""Weighted fair queueing: each team gets work done in proportion to its weight."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_WEIGHT = 1e-3


class FairShares:
    """Virtual times of teams, which advance by cost / weight with every start."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._virtual_times: dict[str, float] = {}
        self._virtual_clock = 0.0

    def activate(self, team: str) -> None:
        """Record that a team has queued work; time without any earns it no credit."""
        known = self._virtual_times.get(team, 0.0)
        self._virtual_times[team] = max(known, self._virtual_clock)

    def charge(self, team: str, cost: float) -> None:
        """Advance a team's virtual time by the cost of one start."""
        before = self._virtual_times.get(team, self._virtual_clock)
        self._virtual_clock = max(self._virtual_clock, before)
        weight = max(self._weight_of(team), MIN_WEIGHT)
        self._virtual_times[team] = before + cost / weight

    def virtual_time(self, team: str) -> float:
        """Return a team's virtual time; the team with the lowest is served first."""
        return self._virtual_times.get(team, self._virtual_clock)


class TeamOrder:
    """A heap of the teams with queued work, lowest virtual time first."""

    def __init__(self, shares: FairShares) -> None:
        self._shares = shares
        self._heap: list[tuple[float, str]] = []
        self._teams: set[str] = set()

    def add(self, team: str) -> None:
        """Add a team unless it has been added already."""
        if team in self._teams:
            return
        self._teams.add(team)
        heapq.heappush(self._heap, (self._shares.virtual_time(team), team))

    def discard(self, team: str) -> None:
        """Remove a team; its heap item is dropped when it reaches the top."""
        self._teams.discard(team)

    def first(self) -> str | None:
        """Return the team with the lowest virtual time; ``None`` if there is none."""
        while self._heap:
            virtual_time, team = self._heap[0]
            current = self._shares.virtual_time(team)
            if team not in self._teams:
                heapq.heappop(self._heap)
            elif current > virtual_time:
                heapq.heapreplace(self._heap, (current, team))
            else:
                return team
        return None
