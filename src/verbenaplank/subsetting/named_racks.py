"""Chooses the agents outside a subset that an entry needs for the racks tasks name.

Load pattern: tasks that run several times longer on any rack but the one they name, at
an entry that is connected to a part of the agents.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from verbenaplank.subsetting.ring import stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from verbenaplank.protocol.membership import Member

MAX_NAMED_RACK_AGENTS = 16
UNNAMED_AFTER_S = 10.0
"""Agents of a rack that no task has named for this long are no longer chosen."""

HALF_LIFE_S = 2.0
"""Half-life of a named task in the comparison of racks."""

PREFERENCE_FOR_CHOSEN = 2.0
"""How many times more often another rack is named before it replaces a chosen one."""

MAX_RACKS = 256
"""Racks that are remembered; beyond, the ones named least recently are forgotten."""


@attrs.define
class _NamedRack:
    named_s: float
    weight: float = 0.0

    def weight_at(self, now_s: float) -> float:
        return self.weight * math.exp2((self.named_s - now_s) / HALF_LIFE_S)


class NamedRacks:
    """Remembers how often tasks name each rack.

    Parameters
    ----------
    entry_id
        Entry that names the racks; entries choose different agents of a large rack.
    """

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._racks: dict[str, _NamedRack] = {}
        self._chosen_racks: frozenset[str] = frozenset()

    def record(self, rack: str, tasks: int, now_s: float) -> None:
        """Record that a job names a rack, at a monotonic time in seconds."""
        known = self._racks.pop(rack, None) or _NamedRack(now_s)
        self._racks[rack] = _NamedRack(now_s, known.weight_at(now_s) + tasks)
        if len(self._racks) > MAX_RACKS:
            del self._racks[next(iter(self._racks))]

    def choose(
        self,
        agents_by_rack: Mapping[str, Sequence[Member]],
        is_wanted: Callable[[Member], bool],
        now_s: float,
    ) -> frozenset[str]:
        """Return the ids of at most ``MAX_NAMED_RACK_AGENTS`` agents to connect to.

        The racks that tasks name most often come first.

        Parameters
        ----------
        is_wanted
            Returns whether a stream to an agent of a named rack is of use.
        """
        self._racks = {
            rack: named
            for rack, named in self._racks.items()
            if now_s - named.named_s < UNNAMED_AFTER_S
        }
        chosen: dict[str, list[str]] = {}
        free = MAX_NAMED_RACK_AGENTS
        for rack in sorted(self._racks, key=lambda rack: self._order(rack, now_s)):
            agents = [a for a in agents_by_rack.get(rack, ()) if is_wanted(a)]
            if not agents:
                continue
            ids = sorted((agent.member_id for agent in agents), key=self._agent_order)
            chosen[rack] = ids[:free]
            free -= len(chosen[rack])
            if not free:
                break
        self._chosen_racks = frozenset(chosen)
        return frozenset(member_id for ids in chosen.values() for member_id in ids)

    def _order(self, rack: str, now_s: float) -> tuple[float, str]:
        weight = self._racks[rack].weight_at(now_s)
        if rack in self._chosen_racks:
            weight *= PREFERENCE_FOR_CHOSEN
        return (-weight, rack)

    def _agent_order(self, member_id: str) -> bytes:
        return stable_hash(f"{self._entry_id} {member_id}")
