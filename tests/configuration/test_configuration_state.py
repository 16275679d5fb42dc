from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenaplank.configuration.commands import ApplySection
from verbenaplank.configuration.commands import AssignOwner
from verbenaplank.configuration.commands import Change
from verbenaplank.configuration.commands import InitialSection
from verbenaplank.configuration.commands import LoadDocument
from verbenaplank.configuration.commands import Origin
from verbenaplank.configuration.commands import RemoveSection
from verbenaplank.configuration.commands import SectionGrant
from verbenaplank.configuration.commands import Verdict
from verbenaplank.configuration.merge import merge_sections
from verbenaplank.configuration.sections import MAX_HISTORY_VERSIONS
from verbenaplank.configuration.state import ConfigurationState
from verbenaplank.membership.client_state import ClientState
from verbenaplank.protocol.membership import FromControl

ADMINISTRATOR = Origin(command_id="c", sent_at_ms=1, administrator=True)
FIXTURES = Origin(command_id="c", sent_at_ms=2, team="fixtures")
ENROLMENT = Origin(command_id="c", sent_at_ms=3, team="enrolment")
DRAW = "[services.draw]\nrun_time_ms = 250\n"


def loaded() -> ConfigurationState:
    state = ConfigurationState()
    sections = (
        InitialSection(section="fixtures", team="fixtures", text=DRAW),
        InitialSection(section="enrolment", team="enrolment", text=""),
        InitialSection(
            section="on-call",
            team="on-call",
            text="",
            grants=(SectionGrant.QUOTAS, SectionGrant.DRAINS),
        ),
    )
    outcome = state.apply(LoadDocument(sections=sections), ADMINISTRATOR)
    assert outcome.accepted
    return state


def apply(section: str, text: str, expected_version: int = 1) -> ApplySection:
    return ApplySection(section=section, expected_version=expected_version, text=text)


def test_second_change_to_the_same_version_is_a_conflict() -> None:
    state = loaded()
    first = state.apply(apply("fixtures", ""), FIXTURES)
    second = state.apply(apply("fixtures", DRAW), FIXTURES)

    assert first.accepted
    assert (first.section_version, first.document_version) == (2, 2)
    assert second.verdict is Verdict.CONFLICT
    assert second.section_version == 2
    assert second.detail == "section fixtures is at version 2, not 1"


def test_change_of_one_section_does_not_change_versions_of_others() -> None:
    """Teams can change their sections at the same time without conflicts."""
    state = loaded()
    state.apply(apply("fixtures", ""), FIXTURES)

    assert state.apply(apply("enrolment", "[services.seat]"), ENROLMENT).accepted


def test_only_the_owner_and_administrators_can_change_a_section() -> None:
    state = loaded()

    foreign = state.apply(apply("fixtures", ""), ENROLMENT)
    assert foreign.verdict is Verdict.FORBIDDEN
    for change in (
        AssignOwner(section="fixtures", team="enrolment"),
        RemoveSection(section="fixtures", expected_version=1),
        LoadDocument(sections=()),
    ):
        assert state.apply(change, FIXTURES).verdict is Verdict.FORBIDDEN
    assert state.apply(apply("fixtures", ""), ADMINISTRATOR).accepted


@pytest.mark.parametrize(
    ("text", "places"),
    [
        ("= 1", {"enrolment"}),
        ("zz = 1\nyy = 2", {"enrolment: yy", "enrolment: zz"}),
        ("services = 1", {"enrolment: services"}),
        (
            "[services.a]\nmax_runs = 0\nidempotent = 1\n[services.draw]\nzz = 1",
            {
                "enrolment: [services.a]: max_runs",
                "enrolment: [services.a]: idempotent",
                "enrolment: [services.draw]: zz",
            },
        ),
        ("[services.draw]", {"enrolment: [services.draw]"}),
        ("[teams.enrolment]", {"enrolment: [teams.enrolment]"}),
        ('drained_backend_servers = ["a"]', {"enrolment: drained_backend_servers"}),
        ("#" * 70_000, {"enrolment"}),
    ],
)
def test_every_fault_of_a_text_is_reported(text: str, places: set[str]) -> None:
    outcome = loaded().apply(apply("enrolment", text), ENROLMENT)

    assert outcome.verdict is Verdict.INVALID
    assert {finding.place for finding in outcome.findings} == places


def test_faults_of_all_initial_sections_are_reported_together() -> None:
    sections = (
        InitialSection(section="a", team="a", text="zz = 1\n[services.x]"),
        InitialSection(section="b", team="b", text="[services.x]"),
        InitialSection(section="b", team="b", text="yy = 1"),
    )
    state = ConfigurationState()
    outcome = state.apply(LoadDocument(sections=sections), ADMINISTRATOR)

    assert {str(finding) for finding in outcome.findings} == {
        "a: zz: unknown key",
        "b: [services.x]: section a declares it too",
        "b: yy: unknown key",
        "b: the section is declared twice",
    }
    assert state.version == 0


def test_recreated_section_continues_the_removed_version() -> None:
    """A change to the removed section must not be accepted for the new one.

    It could be accepted if versions started again.
    """
    state = loaded()
    stale = state.apply(
        RemoveSection(section="fixtures", expected_version=9), ADMINISTRATOR
    )
    removal = RemoveSection(section="fixtures", expected_version=1)
    removed = state.apply(removal, ADMINISTRATOR)
    gone = state.apply(apply("fixtures", ""), FIXTURES)
    created = state.apply(
        AssignOwner(section="fixtures", team="fixtures"), ADMINISTRATOR
    )

    assert stale.verdict is Verdict.CONFLICT
    assert removed.accepted
    assert gone.verdict is Verdict.UNKNOWN_SECTION
    assert created.section_version == 2


def test_history_keeps_only_the_newest_versions() -> None:
    state = loaded()
    for version in range(1, MAX_HISTORY_VERSIONS + 5):
        change = apply("enrolment", f"# {version}", version)
        assert state.apply(change, ENROLMENT).accepted

    history = state.sections["enrolment"].history
    assert len(history) == MAX_HISTORY_VERSIONS
    assert history[-1].text == f"# {MAX_HISTORY_VERSIONS + 4}"


def test_effective_configuration_merges_the_sections() -> None:
    state = loaded()
    text = 'drained_backend_servers = ["agent-1"]\n[teams.fixtures]\nweight = 3'
    assert state.apply(
        apply("on-call", text), Origin(command_id="c", sent_at_ms=1, team="on-call")
    ).accepted
    sections = [section.state for section in state.sections.values()]
    effective = merge_sections(state.version, sections)

    assert effective.version == 2
    assert effective.services["draw"].team == "fixtures"
    assert effective.services["draw"].run_time_ms == 250
    assert effective.teams["fixtures"].weight == 3.0
    assert effective.teams["enrolment"].weight == 1.0
    assert effective.drained_backend_servers == {"agent-1"}


names = st.sampled_from(["fixtures", "enrolment", "extra"])
changes: st.SearchStrategy[Change] = st.one_of(
    st.builds(
        ApplySection,
        section=names,
        expected_version=st.integers(1, 4),
        text=st.sampled_from(["", "[services.a]", "[services.b]", "zz = 1"]),
    ),
    st.builds(AssignOwner, section=names, team=names),
    st.builds(RemoveSection, section=names, expected_version=st.integers(1, 4)),
)


@given(st.lists(st.tuples(changes, st.sampled_from(["none", "new", "old", "stale"]))))
def test_deltas_yield_the_newest_configuration_and_never_an_older_one(
    steps: list[tuple[Change, str]],
) -> None:
    state = loaded()
    client = ClientState()
    old = stale = state.changes_since(0)
    seen = [0]
    for change, delivery in steps:
        before = state.version
        outcome = state.apply(change, ADMINISTRATOR)
        assert state.version == before + outcome.accepted
        update = {
            "none": None,
            "new": state.changes_since(client.configuration.version),
            "old": old,
            "stale": stale,
        }[delivery]
        old, stale = state.changes_since(0), old
        client.apply(FromControl(configuration=update))
        seen.append(client.configuration.version)
    client.apply(FromControl(configuration=state.changes_since(seen[-1])))

    sections = [section.state for section in state.sections.values()]
    assert client.configuration == merge_sections(state.version, sections)
    assert seen == sorted(seen)
