"""Orders agents in a ring whose every stretch has a like share of the fleet.

Each process computes the same ring from the same members.  An agent that joins or
leaves shifts the others by at most one place.
"""

from __future__ import annotations

import hashlib
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from verbenaplank.protocol.membership import Member

    Property = Callable[[Member], Hashable]


def agent_ring(agents: Iterable[Member]) -> list[Member]:
    """Return agents so that data centres, sizes and racks alternate evenly."""
    return _alternate(
        list(agents),
        (
            lambda agent: agent.data_centre,
            lambda agent: agent.worker.cores,
            lambda agent: agent.rack,
        ),
    )


def stable_hash(text: str) -> bytes:
    """Return a hash that is the same in every process."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _alternate(agents: list[Member], properties: Sequence[Property]) -> list[Member]:
    """Spread the agents of each value of the first property over the whole list."""
    if not properties:
        return sorted(agents, key=lambda agent: stable_hash(agent.member_id))
    groups: defaultdict[Hashable, list[Member]] = defaultdict(list)
    for agent in agents:
        groups[properties[0](agent)].append(agent)
    places: list[tuple[float, str, Member]] = []
    for value, members in groups.items():
        ordered = _alternate(members, properties[1:])
        places += [
            ((index + 0.5) / len(ordered), str(value), member)
            for index, member in enumerate(ordered)
        ]
    places.sort(key=lambda place: place[:2])
    return [member for _, _, member in places]
