"""Sections of the configuration document and their validation."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.configuration.commands import SectionGrant
from verbenaplank.configuration.schema import SectionBody
from verbenaplank.configuration.schema import parse_section
from verbenaplank.outcome.finding import Finding
from verbenaplank.protocol.membership import SectionState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

MAX_HISTORY_VERSIONS = 20
"""Maximum number of versions of a section in its history; the newest are kept."""


@attrs.frozen(kw_only=True)
class SectionVersion:
    """One version of a section: its text, author, time and command id."""

    version: int
    text: str
    actor: str
    at_ms: int
    command_id: str


@attrs.frozen(kw_only=True)
class Section:
    """A section of the document, its owner and its history.

    Attributes
    ----------
    changed_at
        Version of the document at which the section last changed.
    history
        The newest versions of the text, oldest first; the last one is in force.
    """

    name: str
    team: str
    grants: tuple[SectionGrant, ...] = ()
    version: int = 0
    text: str = ""
    changed_at: int = 0
    history: tuple[SectionVersion, ...] = ()

    @property
    def state(self) -> SectionState:
        """Return the section in the form that is sent to members."""
        return SectionState(
            name=self.name, owner=self.team, version=self.version, text=self.text
        )

    def with_text(self, written: SectionVersion, changed_at: int) -> Section:
        """Return a copy of the section with a new version in force."""
        history = (*self.history, written)[-MAX_HISTORY_VERSIONS:]
        return attrs.evolve(
            self,
            version=written.version,
            text=written.text,
            changed_at=changed_at,
            history=history,
        )


def validate_section(
    section: Section, others: Iterable[Section]
) -> tuple[Finding, ...]:
    """Return every fault of a section, including conflicts with other sections."""
    parsed = parse_section(section.name, section.text)
    findings = [*parsed.findings, *_grant_findings(section, parsed.body)]
    for other in others:
        if other.name == section.name:
            continue
        other_body = parse_section(other.name, other.text).body
        findings.extend(
            _duplicate_findings(section.name, parsed.body, other.name, other_body)
        )
    return tuple(findings)


def _grant_findings(section: Section, body: SectionBody) -> Iterator[Finding]:
    if body.teams and SectionGrant.QUOTAS not in section.grants:
        for name in body.teams:
            yield Finding(
                f"{section.name}: [teams.{name}]", "the section may not set quotas"
            )
    if body.drained_backend_servers and SectionGrant.DRAINS not in section.grants:
        yield Finding(
            f"{section.name}: drained_backend_servers",
            "the section may not drain backend servers",
        )


def _duplicate_findings(
    name: str, body: SectionBody, other_name: str, other: SectionBody
) -> Iterator[Finding]:
    tables = (
        ("services", body.services, other.services),
        ("teams", body.teams, other.teams),
    )
    for kind, mine, theirs in tables:
        for key in mine.keys() & theirs.keys():
            yield Finding(
                f"{name}: [{kind}.{key}]", f"section {other_name} declares it too"
            )
