from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from entry.messages import agent_member
from verbenaplank.entry.subset_connector import CONNECT_ALLOWANCE_S
from verbenaplank.entry.subset_connector import RETIRE_AFTER_S
from verbenaplank.entry.subset_connector import UNUSABLE_AFTER_S
from verbenaplank.entry.subset_connector import SubsetConnector
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.subsetting.named_racks import MAX_NAMED_RACK_AGENTS
from verbenaplank.subsetting.named_racks import UNNAMED_AFTER_S
from verbenaplank.subsetting.subset import ENTRIES_SETTLED_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenaplank.protocol.membership import Member

SIZE = 4
ENTRIES = tuple(f"entry-{number}" for number in range(1, 21))


class FakeConnections:
    """Streams that open at once, unless their agent is unreachable."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.open: set[str] = set()
        self.unreachable: frozenset[str] = frozenset()

    def connect(self, member: Member) -> None:
        if member.member_id not in self.unreachable:
            self.open.add(member.member_id)
            self.fleet.mark_connected(member.member_id, "1", 8, 0.0)

    def retire(self, agent_id: str) -> None:
        self.break_streams((agent_id,))

    def stop_reconnecting(self, agent_id: str) -> None:
        self.open.discard(agent_id)

    def break_streams(self, agent_ids: Iterable[str]) -> None:
        for agent_id in agent_ids:
            self.open.discard(agent_id)
            self.fleet.mark_disconnected(agent_id, 0.0)


class Entry:
    """One entry with its connector, on a clock that the test advances."""

    def __init__(self, agents: int, unreachable: frozenset[str] = frozenset()) -> None:
        self.now_s = 0.0
        self.tasks_wait = False
        fleet = Fleet(least_expected_completion, random.Random(1), "Kochi")
        self.fleet = fleet
        self.connections = FakeConnections(fleet)
        self.connections.unreachable = unreachable
        self.agents = {f"a{n}": agent_member(f"a{n}") for n in range(agents)}
        self.connector = SubsetConnector(
            entry_id="entry-1",
            subset_size=SIZE,
            connections=self.connections,  # type: ignore[arg-type]
            fleet=fleet,
            tasks_wait=lambda: self.tasks_wait,
            clock=lambda: self.now_s,
        )
        self.set_members()

    def set_members(self) -> None:
        for member in self.agents.values():
            self.fleet.add_or_update(member, self.now_s)
        self.connector.set_members(ENTRIES, self.agents)

    def advance(self, length_s: float) -> None:
        for _ in range(round(length_s / 0.1)):
            self.now_s += 0.1
            self.connector.adjust()


def test_streams_are_opened_to_a_subset_only() -> None:
    assert len(Entry(20).connections.open) == SIZE


def test_lost_agents_are_replaced_and_used_again_when_they_return() -> None:
    """Half of the subset is cut off while other agents have room."""
    entry = Entry(20)
    first = set(entry.connections.open)
    lost = frozenset(sorted(first)[:2])
    entry.connections.unreachable = lost
    entry.connections.break_streams(lost)
    entry.advance(CONNECT_ALLOWANCE_S + UNUSABLE_AFTER_S + 0.2)
    assert len(entry.connections.open) == SIZE

    entry.connections.unreachable = frozenset()
    for agent_id in lost:
        entry.connections.connect(entry.agents[agent_id])
    entry.advance(RETIRE_AFTER_S + 0.3)
    assert entry.connections.open == first


def test_drained_agents_are_replaced() -> None:
    """An operator drains the subset; the entry would refuse jobs for lack of room."""
    entry = Entry(20)
    first = set(entry.connections.open)
    for agent_id in first:
        entry.agents[agent_id] = attrs.evolve(entry.agents[agent_id], draining=True)
    entry.set_members()
    entry.advance(0.2)
    assert len(entry.connections.open - first) == SIZE


def test_entry_whose_tasks_wait_uses_further_agents_for_a_while() -> None:
    """Its traffic is twice the mean, and its own agents are full."""
    entry = Entry(20)
    entry.tasks_wait = True
    entry.advance(3.0)
    assert len(entry.connections.open) == 2 * SIZE
    entry.tasks_wait = False
    entry.advance(60.0)
    assert len(entry.connections.open) == SIZE


def test_retired_agent_gets_no_tasks() -> None:
    """A task dispatched just before the stream closes would be lost with it."""
    entry = Entry(20)
    entry.tasks_wait = True
    entry.advance(3.0)
    before = set(entry.connections.open)
    entry.tasks_wait = False
    entry.connections.retire = lambda agent_id: None  # type: ignore[method-assign]
    entry.advance(60.0)
    accepting = {a for a in entry.agents if entry.fleet.accepts_tasks(a)}
    assert len(accepting) == SIZE
    assert accepting < before


def test_agent_that_left_and_rejoined_is_connected_again() -> None:
    """A backend server restarts and announces itself with its old id."""
    entry = Entry(3)
    member = entry.agents.pop("a1")
    entry.fleet.remove("a1", entry.now_s)
    entry.set_members()
    assert entry.connections.open == {"a0", "a2"}
    entry.agents["a1"] = attrs.evolve(member, incarnation="2")
    entry.set_members()
    assert entry.connections.open == {"a0", "a1", "a2"}


def entry_with_racks(agents: int, per_rack: int) -> Entry:
    entry = Entry(0)
    for number in range(agents):
        member = agent_member(f"a{number:03d}")
        rack = f"rack-{number // per_rack}"
        entry.agents[member.member_id] = attrs.evolve(member, rack=rack)
    entry.set_members()
    entry.advance(ENTRIES_SETTLED_AFTER_S + 0.2)
    return entry


def name_rack(entry: Entry, rack: str, length_s: float, tasks: int = 8) -> None:
    for _ in range(round(length_s)):
        entry.connector.record_named_rack(rack, tasks, entry.now_s)
        entry.advance(1.0)


def in_rack(entry: Entry, rack: str) -> set[str]:
    return {
        agent_id
        for agent_id in entry.connections.open
        if entry.agents[agent_id].rack == rack
    }


def test_streams_are_opened_to_a_named_rack_and_closed_when_it_is_named_no_more() -> (
    None
):
    """An entry whose subset lacks a rack runs all tasks of that rack elsewhere."""
    entry = entry_with_racks(160, 8)
    before = set(entry.connections.open)
    name_rack(entry, "rack-7", 20.0)
    assert len(in_rack(entry, "rack-7")) == 8
    assert before <= entry.connections.open
    entry.advance(UNNAMED_AFTER_S - 1.5)
    assert len(in_rack(entry, "rack-7")) == 8
    entry.advance(1.0)
    assert entry.connections.open == before


def test_additional_streams_are_limited_and_follow_the_racks_named_most() -> None:
    """Tasks name all racks; the entry connects to the whole fleet, or to idle racks."""
    entry = entry_with_racks(160, 8)
    limit = len(entry.connections.open) + MAX_NAMED_RACK_AGENTS
    for _ in range(10):
        for rack in range(20):
            entry.connector.record_named_rack(f"rack-{rack}", 1, entry.now_s)
        entry.connector.record_named_rack("rack-11", 20, entry.now_s)
        entry.advance(1.0)
        assert len(entry.connections.open) <= limit
    assert len(in_rack(entry, "rack-11")) == 8
    name_rack(entry, "rack-3", 8.0, tasks=200)
    assert len(in_rack(entry, "rack-3")) == 8
    assert len(entry.connections.open) <= limit


def test_no_streams_are_opened_to_a_drained_rack() -> None:
    """The additional streams are used up by agents that take no tasks."""
    entry = entry_with_racks(160, 8)
    for agent_id, agent in entry.agents.items():
        if agent.rack == "rack-7":
            entry.agents[agent_id] = attrs.evolve(agent, draining=True)
    entry.set_members()
    before = set(entry.connections.open)
    name_rack(entry, "rack-7", 3.0)
    assert entry.connections.open == before
