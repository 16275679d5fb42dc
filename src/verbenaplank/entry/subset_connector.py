"""Keeps streams open to the entry's subset of the agents."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from typing import TYPE_CHECKING

from verbenaplank.entry import decision_log
from verbenaplank.subsetting.named_racks import NamedRacks
from verbenaplank.subsetting.subset import AgentSubset
from verbenaplank.subsetting.widening import SubsetWidening

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.agent_connections import AgentConnections
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.protocol.membership import Member

ADJUST_PERIOD_S = 0.2
UNUSABLE_AFTER_S = 0.5
"""An agent that has accepted no tasks for this long is replaced by another one.

It keeps its place, so that it is used again as soon as it is back."""

CONNECT_ALLOWANCE_S = 2.0
"""Further time for an agent to which the stream is being opened."""

RETIRE_AFTER_S = 5.0
"""How long an agent must have been outside the subset before its stream is closed."""


class SubsetConnector:
    """Connects to the agents of a subset, and closes streams that are not needed.

    Agents of the racks that tasks name are connected to in addition.

    Parameters
    ----------
    entry_id
        Id of this entry.
    subset_size
        Number of agents of a service to keep a stream to.
    connections
        The streams to the agents.
    fleet
        Knows which agents accept tasks.
    tasks_wait
        Returns whether tasks wait at this entry for an agent.
    clock
        The monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        subset_size: int,
        connections: AgentConnections,
        fleet: Fleet,
        tasks_wait: Callable[[], bool],
        clock: MonotonicClock,
    ) -> None:
        self._subset = AgentSubset(entry_id, subset_size)
        self._widening = SubsetWidening(subset_size)
        self._connections = connections
        self._fleet = fleet
        self._tasks_wait = tasks_wait
        self._clock = clock
        self._named_racks = NamedRacks(entry_id)
        self._agents: Mapping[str, Member] = {}
        self._agents_by_rack: Mapping[str, list[Member]] = {}
        self._last_usable_s: dict[str, float] = {}
        self._wanted_s: dict[str, float] = {}

    def set_members(self, entries: Iterable[str], agents: Mapping[str, Member]) -> None:
        """Use a changed list of members, and connect to agents that are now needed."""
        self._subset.set_members(entries, agents, self._clock())
        for agent_id in self._wanted_s.keys() - agents.keys():
            del self._wanted_s[agent_id]
            self._last_usable_s.pop(agent_id, None)
            self._connections.stop_reconnecting(agent_id)
        for agent_id in self._wanted_s:
            if agents[agent_id] != self._agents.get(agent_id):
                self._connections.connect(agents[agent_id])
        self._agents = dict(agents)
        by_rack: defaultdict[str, list[Member]] = defaultdict(list)
        for agent in agents.values():
            by_rack[agent.rack].append(agent)
        self._agents_by_rack = by_rack
        self.adjust()

    def record_named_rack(self, rack: str, tasks: int, now_s: float) -> None:
        """Record that tasks of a job run fastest on a rack."""
        self._named_racks.record(rack, tasks, now_s)

    def adjust(self) -> None:
        """Open the streams that are needed now and close those that are not."""
        now_s = self._clock()
        for agent_id in self._wanted_s:
            if self._fleet.accepts_tasks(agent_id):
                self._last_usable_s[agent_id] = now_s
        self._widening.update(now_s, tasks_wait=self._tasks_wait())
        extra = self._widening.extra
        chosen = self._subset.choose(now_s, self._is_usable, extra)
        added = [agent_id for agent_id in chosen if agent_id not in self._wanted_s]
        for agent_id in added:
            self._connect(agent_id, now_s)
        for agent_id in chosen:
            self._wanted_s[agent_id] = now_s
        named = self._named_racks.choose(
            self._agents_by_rack, lambda agent: self._may_be_added(agent, now_s), now_s
        )
        retired = self._retire_unwanted(named, now_s)
        for agent_id in named - self._wanted_s.keys():
            added.append(agent_id)
            self._connect(agent_id, now_s)
            self._wanted_s[agent_id] = -math.inf
        if added or retired:
            decision_log.subset_changed(added, retired, len(self._wanted_s), extra)

    async def adjust_forever(self) -> None:
        """Adjust the streams periodically, until cancelled."""
        while True:
            await asyncio.sleep(ADJUST_PERIOD_S)
            self.adjust()

    def _connect(self, agent_id: str, now_s: float) -> None:
        self._last_usable_s[agent_id] = now_s + CONNECT_ALLOWANCE_S
        self._fleet.set_retired(agent_id, retired=False)
        self._connections.connect(self._agents[agent_id])

    def _may_be_added(self, agent: Member, now_s: float) -> bool:
        """Return whether an agent takes tasks and is not in the subset."""
        if agent.draining or self._fleet.is_evacuated(agent.data_centre):
            return False
        wanted_s = self._wanted_s.get(agent.member_id, -math.inf)
        return now_s - wanted_s >= RETIRE_AFTER_S

    def _retire_unwanted(self, named: frozenset[str], now_s: float) -> list[str]:
        retired = [
            agent_id
            for agent_id, wanted_s in self._wanted_s.items()
            if now_s - wanted_s >= RETIRE_AFTER_S and agent_id not in named
        ]
        for agent_id in retired:
            del self._wanted_s[agent_id]
            self._last_usable_s.pop(agent_id, None)
            self._fleet.set_retired(agent_id, retired=True)
            self._connections.retire(agent_id)
        return retired

    def _is_usable(self, agent: Member) -> bool:
        if agent.draining:
            return False
        if agent.member_id not in self._wanted_s:
            return True
        since_s = self._clock() - self._last_usable_s[agent.member_id]
        return since_s < UNUSABLE_AFTER_S
