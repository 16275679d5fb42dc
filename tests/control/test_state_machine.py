from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from verbenaplank.configuration import deduplication
from verbenaplank.configuration.audit import verify_chain
from verbenaplank.configuration.commands import ApplySection
from verbenaplank.configuration.commands import CommandOutcome
from verbenaplank.configuration.commands import InitialSection
from verbenaplank.configuration.commands import LoadDocument
from verbenaplank.configuration.commands import Origin
from verbenaplank.configuration.commands import Verdict
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import OperatorCommand
from verbenaplank.control.commands import decode_result
from verbenaplank.control.commands import encode
from verbenaplank.control.state_machine import ControlSnapshot
from verbenaplank.control.state_machine import ControlStateMachine
from verbenaplank.membership.commands import Announce
from verbenaplank.membership.commands import Leave
from verbenaplank.membership.commands import OrderDrain
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole

if TYPE_CHECKING:
    import pytest

LOAD = LoadDocument(
    sections=(InitialSection(section="fixtures", team="fixtures", text=""),)
)
HOUR_MS = 3_600_000


def member(incarnation: str = "a") -> Member:
    return Member(
        member_id="agent-1",
        role=MemberRole.AGENT,
        incarnation=incarnation,
        data_centre="Kochi",
        address="h:1",
    )


def apply_command(
    machine: ControlStateMachine, command: OperatorCommand
) -> CommandOutcome:
    result = machine.apply(1, encode(ControlCommand(operator=command)))
    outcome = decode_result(result).outcome
    assert outcome is not None
    return outcome


def apply(
    command_id: str,
    expected_version: int = 1,
    *,
    text: str = "",
    team: str = "fixtures",
    at_ms: int = 0,
) -> OperatorCommand:
    return OperatorCommand(
        origin=Origin(command_id=command_id, sent_at_ms=at_ms, team=team),
        apply=ApplySection(
            section="fixtures", expected_version=expected_version, text=text
        ),
    )


def loaded() -> ControlStateMachine:
    machine = ControlStateMachine()
    origin = Origin(command_id="load", sent_at_ms=0, administrator=True)
    assert apply_command(machine, OperatorCommand(origin=origin, load=LOAD)).accepted
    return machine


def test_repeated_command_gets_its_first_outcome_even_after_a_restore() -> None:
    """A restored replica must not apply a command a second time."""
    machine = loaded()
    first = apply_command(machine, apply("c1", at_ms=1))
    refused = apply_command(machine, apply("c2", at_ms=2))
    assert apply_command(machine, apply("c3", 2, at_ms=3)).accepted
    restored = ControlStateMachine()
    restored.restore(machine.snapshot())

    for instance in (machine, restored):
        assert apply_command(instance, apply("c1", at_ms=9)) == first
        assert apply_command(instance, apply("c2", at_ms=9)) == refused
        assert instance.configuration.sections["fixtures"].version == 3
        assert len(instance.audit.records) == 4
        verify_chain(instance.audit.records, instance.audit.anchor)


def test_used_command_id_is_refused_for_other_content_and_checked_per_team() -> None:
    """A team that uses another team's command id gets its own outcome."""
    machine = loaded()
    apply_command(machine, apply("c1"))
    reused = apply_command(machine, apply("c1", text="# other"))
    foreign = apply_command(machine, apply("c1", team="enrolment"))

    assert reused.verdict is Verdict.COMMAND_ID_REUSED
    assert foreign.verdict is Verdict.FORBIDDEN


def test_refusals_are_audited() -> None:
    machine = loaded()
    apply_command(machine, apply("c1", 7))
    apply_command(machine, apply("c2", team="enrolment"))
    apply_command(machine, apply("c3", text="zz = 1"))

    outcomes = [record.outcome for record in machine.audit.records[1:]]
    assert outcomes == ["conflict", "forbidden", "invalid"]
    assert machine.audit.records[2].actor == "team enrolment"


def test_outcomes_are_removed_only_when_old_and_above_the_minimum_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deduplication, "MIN_RECORDED_COMMANDS", 3)
    machine = loaded()
    for hour in range(30):
        apply_command(machine, apply(f"c{hour}", hour + 1, at_ms=hour * HOUR_MS))
    snapshot = msgspec.msgpack.decode(machine.snapshot(), type=ControlSnapshot)

    remembered = {command.command_id for command in snapshot.commands}
    assert remembered == {f"c{hour}" for hour in range(5, 30)}


def test_drain_order_survives_a_new_incarnation_and_a_restore() -> None:
    """The member leaves and joins again, and the state is restored from a snapshot."""
    machine = loaded()
    drain = OrderDrain(member_id="agent-1", drain=True)
    origin = Origin(command_id="c1", sent_at_ms=0, administrator=True)
    machine.apply(1, encode(ControlCommand(announce=Announce(member=member()))))
    assert apply_command(machine, OperatorCommand(origin=origin, drain=drain)).accepted
    leave = Leave(member_id="agent-1", incarnation="a")
    machine.apply(2, encode(ControlCommand(leave=leave)))
    machine.apply(3, encode(ControlCommand(announce=Announce(member=member("b")))))
    restored = ControlStateMachine()
    restored.restore(machine.snapshot())

    assert restored.membership.is_drain_ordered("agent-1")
    assert restored.membership.changes_since(-1).changed[0].draining


def test_undecodable_entry_has_no_effect() -> None:
    """Another release may have written the entry; every replica must skip it alike."""
    machine = loaded()
    before = machine.snapshot()
    machine.apply(1, b"\xff\x00")

    assert machine.snapshot() == before


commands = st.one_of(
    st.builds(
        lambda command_id, version, text: ControlCommand(
            operator=apply(command_id, version, text=text)
        ),
        st.sampled_from(["c1", "c2", "c3", "c4"]),
        st.integers(1, 4),
        st.sampled_from(["", "[services.a]", "zz = 1"]),
    ),
    st.builds(
        lambda incarnation: ControlCommand(
            announce=Announce(member=member(incarnation))
        ),
        st.sampled_from("ab"),
    ),
    st.builds(
        lambda i: ControlCommand(leave=Leave(member_id="agent-1", incarnation=i)),
        st.sampled_from("ab"),
    ),
)


@given(st.lists(commands), st.integers(0, 10))
def test_restored_snapshot_equals_replay_of_the_entries_before_it(
    entries: list[ControlCommand], cut: int
) -> None:
    machine = loaded()
    restored = ControlStateMachine()
    for entry in entries[:cut]:
        machine.apply(1, encode(entry))
    restored.restore(machine.snapshot())
    for entry in entries[cut:]:
        data = encode(entry)
        assert restored.apply(2, data) == machine.apply(2, data)

    assert restored.snapshot() == machine.snapshot()
