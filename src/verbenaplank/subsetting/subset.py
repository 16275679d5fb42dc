"""Chooses the agents of one entry as an arc of the ring of agents.

The arcs of all entries have equal length and begin at equal distances, so each agent
gets the same number of entries, give or take one.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenaplank.subsetting.ring import agent_ring
from verbenaplank.subsetting.ring import stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from verbenaplank.protocol.membership import Member

MIN_ENTRIES_PER_AGENT = 3
"""Least number of entries at each agent.

In a fleet with many agents for each entry, arcs are longer for it, so that no agent is
idle because a few entries are lost or have little traffic."""

ENTRIES_SETTLED_AFTER_S = 10.0
"""How long the entries must be unchanged before arcs are made longer for few of them.

When a system starts, its entries join one after the other, and the first ones would
open streams to all agents."""

MAX_ARC_FACTOR = 2
"""Limit of an arc's length, as a multiple of the number of usable agents aimed at.

When more than half of the agents are unusable, the cause lies elsewhere, and streams to
all agents would hinder the recovery.
"""

DEPARTED_ENTRY_RETENTION_S = 20.0
"""How long an entry that left keeps its arc; a restarted one is back by then."""


class AgentSubset:
    """The arc of one entry on the ring of each service's agents.

    Parameters
    ----------
    entry_id
        The entry whose agents are chosen.
    size
        Least number of usable agents of a service in the arc.
    """

    def __init__(self, entry_id: str, size: int) -> None:
        self._entry_id = entry_id
        self._size = size
        self._agents: dict[str, Member] = {}
        self._rings: dict[str, list[Member]] = {}
        self._entries: frozenset[str] = frozenset((entry_id,))
        self._departed_s: dict[str, float] = {}
        self._entries_changed_s: float | None = None

    @property
    def size(self) -> int:
        """Least number of usable agents of a service in an arc."""
        return self._size

    def set_members(
        self, entries: Iterable[str], agents: Mapping[str, Member], now_s: float
    ) -> None:
        """Set the entries and agents that are members at a monotonic time."""
        present = frozenset((*entries, self._entry_id))
        known = self._entries | self._departed_s.keys()
        if self._entries_changed_s is None or not present <= known:
            self._entries_changed_s = now_s
        for entry_id in self._entries - present:
            self._departed_s[entry_id] = now_s
        self._entries = present
        if agents != self._agents:
            self._agents = dict(agents)
            self._rings = _rings_by_service(self._agents.values())

    def choose(
        self, now_s: float, is_usable: Callable[[Member], bool], extra: int = 0
    ) -> frozenset[str]:
        """Return the ids of the agents to keep a stream to.

        An arc continues past its end until it has enough usable agents.  It includes
        the unusable ones in between, which may become usable again.

        Parameters
        ----------
        now_s
            Monotonic time, in seconds.
        is_usable
            Returns whether an agent accepts tasks or is about to.
        extra
            Number of further usable agents by which the arc is widened.
        """
        entries = self._entries_in_order(now_s)
        start = entries.index(self._entry_id) / len(entries)
        chosen: set[str] = set()
        for ring in self._rings.values():
            size = max(self._size, self._needed(ring, len(entries), now_s))
            chosen |= _arc(ring, start, size + extra, is_usable)
        return frozenset(chosen)

    def _needed(self, ring: list[Member], entries: int, now_s: float) -> int:
        """Return the length of arcs that gives each agent enough entries."""
        changed_s = self._entries_changed_s
        if changed_s is None or now_s - changed_s < ENTRIES_SETTLED_AFTER_S:
            return 0
        return math.ceil(MIN_ENTRIES_PER_AGENT * len(ring) / entries)

    def _entries_in_order(self, now_s: float) -> list[str]:
        """Return the entries in the order in which their arcs begin on a ring."""
        self._departed_s = {
            entry_id: departed_s
            for entry_id, departed_s in self._departed_s.items()
            if now_s - departed_s < DEPARTED_ENTRY_RETENTION_S
        }
        return sorted(self._entries | self._departed_s.keys(), key=stable_hash)


def _rings_by_service(agents: Iterable[Member]) -> dict[str, list[Member]]:
    by_service: dict[str, list[Member]] = {}
    for agent in agents:
        for service in agent.services:
            by_service.setdefault(service, []).append(agent)
    return {service: agent_ring(members) for service, members in by_service.items()}


def _arc(
    ring: list[Member], start: float, size: int, is_usable: Callable[[Member], bool]
) -> set[str]:
    first = int(start * len(ring))
    arc: set[str] = set()
    usable = 0
    for agent in (*ring[first:], *ring[:first])[: MAX_ARC_FACTOR * size]:
        if usable >= size:
            break
        usable += is_usable(agent)
        arc.add(agent.member_id)
    return arc
