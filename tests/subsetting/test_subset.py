from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs
import pytest

from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.subsetting.ring import agent_ring
from verbenaplank.subsetting.subset import DEPARTED_ENTRY_RETENTION_S
from verbenaplank.subsetting.subset import ENTRIES_SETTLED_AFTER_S
from verbenaplank.subsetting.subset import AgentSubset

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

SIZES = [(3, 11), (12, 66), (14, 75), (35, 160), (117, 3_800)]
"""Numbers of entries and agents."""

SUBSET_SIZE = 32


def agent(number: int, data_centres: int = 5, service: str = "draw") -> Member:
    return Member(
        member_id=f"agent-{number}",
        role=MemberRole.AGENT,
        incarnation="1",
        data_centre=f"dc-{number % data_centres}",
        rack=f"rack-{number // 12}",
        address="127.0.0.1:1",
        services=(service,),
        worker=WorkerSize(cores=96 if number % 3 == 2 else 64),
    )


def agents_of(count: int) -> dict[str, Member]:
    members = [agent(number) for number in range(count)]
    return {member.member_id: member for member in members}


def usable(member: Member) -> bool:
    return True


def chosen_by_entry(
    entries: Sequence[str],
    agents: Mapping[str, Member],
    is_usable: Callable[[Member], bool] = usable,
    size: int = SUBSET_SIZE,
) -> dict[str, frozenset[str]]:
    chosen: dict[str, frozenset[str]] = {}
    for entry_id in entries:
        subset = AgentSubset(entry_id, size)
        subset.set_members(entries, agents, 0.0)
        chosen[entry_id] = subset.choose(ENTRIES_SETTLED_AFTER_S, is_usable)
    return chosen


def entry_ids(count: int) -> list[str]:
    return [f"entry-{number}" for number in range(count)]


@pytest.mark.parametrize(("entries", "agents"), SIZES)
def test_each_agent_has_the_same_number_of_entries_give_or_take_one(
    entries: int, agents: int
) -> None:
    """Agents with more entries than others would be full while others are idle.

    At the target, 117 arcs of 32 would leave agents without any entry.
    """
    chosen = chosen_by_entry(entry_ids(entries), agents_of(agents))
    counts = Counter({f"agent-{number}": 0 for number in range(agents)})
    for subset in chosen.values():
        counts.update(subset)
    assert max(counts.values()) - min(counts.values()) <= 1
    assert min(counts.values()) >= min(3, entries)
    assert len({len(subset) for subset in chosen.values()}) == 1
    assert len(chosen["entry-0"]) >= min(SUBSET_SIZE, agents)


@pytest.mark.parametrize(("entries", "agents"), SIZES[1:])
def test_each_entry_has_a_like_share_of_data_centres_and_sizes(
    entries: int, agents: int
) -> None:
    """An entry with agents of one data centre only would fail with it."""
    members = agents_of(agents)
    for subset in chosen_by_entry(entry_ids(entries), members).values():
        chosen = [members[agent_id] for agent_id in subset]
        data_centres = Counter(member.data_centre for member in chosen)
        assert len(data_centres) == 5
        assert max(data_centres.values()) - min(data_centres.values()) <= 2
        large = sum(member.worker.cores == 96 for member in chosen) / len(chosen)
        assert 0.2 < large < 0.5


@pytest.mark.parametrize(("entries", "agents"), SIZES[1:])
def test_leaving_agent_changes_few_streams(entries: int, agents: int) -> None:
    """With a changed hash of all, every restart would reopen all streams."""
    members = agents_of(agents)
    before = chosen_by_entry(entry_ids(entries), members)
    del members["agent-7"]
    after = chosen_by_entry(entry_ids(entries), members)
    for entry_id, subset in before.items():
        assert len(after[entry_id] - subset) <= 4


def test_restarting_entries_move_no_streams() -> None:
    """Entries are restarted one after the other; each is away for a few seconds."""
    entries, members = entry_ids(35), agents_of(160)
    subset = AgentSubset("entry-4", SUBSET_SIZE)
    subset.set_members(entries, members, 0.0)
    before = subset.choose(0.0, usable)
    for step, entry_id in enumerate(entries):
        rest = [other for other in entries if other != entry_id]
        subset.set_members(rest, members, 2.0 * step)
        assert subset.choose(2.0 * step, usable) == before
    subset.set_members(entries[:30], members, 100.0)
    later_s = 100.0 + DEPARTED_ENTRY_RETENTION_S
    assert subset.choose(later_s, usable) != before


def test_unusable_agents_are_replaced_and_kept() -> None:
    """A data centre is lost; its agents are tried again when they return."""
    members = agents_of(160)
    chosen = chosen_by_entry(
        entry_ids(35), members, lambda member: member.data_centre != "dc-0"
    )
    for subset in chosen.values():
        lost = [name for name in subset if members[name].data_centre == "dc-0"]
        assert len(subset) - len(lost) == SUBSET_SIZE
        assert lost


def test_arc_stays_bounded_when_no_agent_is_usable() -> None:
    """All agents are lost with the power; streams to all would slow the return."""
    chosen = chosen_by_entry(entry_ids(35), agents_of(160), lambda _: False)
    assert {len(subset) for subset in chosen.values()} == {2 * SUBSET_SIZE}


def test_service_with_few_agents_is_used_whole() -> None:
    members = agents_of(160)
    rare = [agent(number, service="audit") for number in range(200, 205)]
    members |= {member.member_id: member for member in rare}
    for subset in chosen_by_entry(entry_ids(35), members).values():
        assert {member.member_id for member in rare} <= subset


def test_first_entries_of_a_starting_system_do_not_connect_to_all_agents() -> None:
    """Entries join within a second; each would open and close most streams."""
    members, entries = agents_of(160), entry_ids(35)
    subset = AgentSubset("entry-0", SUBSET_SIZE)
    for joined in range(1, 36):
        now_s = 0.03 * joined
        subset.set_members(entries[:joined], members, now_s)
        assert len(subset.choose(now_s, usable)) == SUBSET_SIZE


def test_ring_is_the_same_in_any_order_of_members() -> None:
    """Entries learn of members in different orders."""
    members = list(agents_of(50).values())
    assert agent_ring(members) == agent_ring(reversed(members))


def test_view_with_an_older_member_list_differs_little() -> None:
    """An entry has not yet heard of an agent that joined."""
    members = agents_of(160)
    newer = members | {"agent-900": attrs.evolve(agent(160), member_id="agent-900")}
    old = chosen_by_entry(entry_ids(35), members)
    new = chosen_by_entry(entry_ids(35), newer)
    for entry_id, subset in old.items():
        assert len(new[entry_id] ^ subset) <= 8
