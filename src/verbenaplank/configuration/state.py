"""The replicated configuration: sections, owners and tokens; does no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.configuration.commands import ApplySection
from verbenaplank.configuration.commands import AssignOwner
from verbenaplank.configuration.commands import Change
from verbenaplank.configuration.commands import CommandOutcome
from verbenaplank.configuration.commands import InitialSection
from verbenaplank.configuration.commands import LoadDocument
from verbenaplank.configuration.commands import Origin
from verbenaplank.configuration.commands import RemoveSection
from verbenaplank.configuration.commands import Verdict
from verbenaplank.configuration.sections import Section
from verbenaplank.configuration.sections import SectionVersion
from verbenaplank.configuration.sections import validate_section
from verbenaplank.outcome.finding import Finding
from verbenaplank.protocol.membership import ConfigurationUpdate

if TYPE_CHECKING:
    from collections.abc import Mapping


@attrs.frozen(kw_only=True)
class RemovedSection:
    """A removed section.

    If the section is created again, its version continues from this one.

    Attributes
    ----------
    changed_at
        Version of the document at which the section was removed.
    """

    name: str
    version: int
    changed_at: int


@attrs.frozen(kw_only=True)
class ConfigurationSnapshot:
    """The complete configuration state, as a snapshot encodes it."""

    version: int = 0
    sections: tuple[Section, ...] = ()
    removed: tuple[RemovedSection, ...] = ()
    tokens_sha256: dict[str, str] = attrs.field(factory=dict)


class ConfigurationState:
    """The replicated document; each accepted change increments its version."""

    def __init__(self, snapshot: ConfigurationSnapshot | None = None) -> None:
        snapshot = snapshot or ConfigurationSnapshot()
        self._version = snapshot.version
        self._sections = {section.name: section for section in snapshot.sections}
        self._removed = {section.name: section for section in snapshot.removed}
        self._tokens_sha256 = dict(snapshot.tokens_sha256)

    @property
    def version(self) -> int:
        """Return the version of the document."""
        return self._version

    @property
    def sections(self) -> Mapping[str, Section]:
        """Return the sections by name."""
        return self._sections

    @property
    def tokens_sha256(self) -> Mapping[str, str]:
        """Return the hexadecimal SHA-256 digests of the operators' tokens by team."""
        return self._tokens_sha256

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the complete state."""
        return ConfigurationSnapshot(
            version=self._version,
            sections=tuple(self._sections.values()),
            removed=tuple(self._removed.values()),
            tokens_sha256=dict(self._tokens_sha256),
        )

    def apply(self, change: Change, origin: Origin) -> CommandOutcome:
        """Apply a change and return its outcome; a refused change has no effect."""
        match change:
            case ApplySection():
                return self._apply_section(change, origin)
            case AssignOwner():
                return self._assign_owner(change, origin)
            case RemoveSection():
                return self._remove_section(change, origin)
            case LoadDocument():
                return self._load(change, origin)

    def changes_since(self, version: int) -> ConfigurationUpdate:
        """Return the sections that were changed or removed after a version.

        After version 0 these are all sections, and the update is complete.
        """
        changed = [
            section.state
            for section in self._sections.values()
            if section.changed_at > version
        ]
        removed = [
            section.name
            for section in self._removed.values()
            if section.changed_at > version
        ]
        return ConfigurationUpdate(
            version=self._version,
            sections=tuple(changed),
            removed=tuple(removed),
            complete=version == 0,
        )

    def _apply_section(self, change: ApplySection, origin: Origin) -> CommandOutcome:
        section = self._sections.get(change.section)
        if section is None:
            return self._unknown_section(change.section)
        if not _may_edit(section, origin):
            return self._not_owner(section)
        if section.version != change.expected_version:
            return self._conflict(section, change.expected_version)
        changed = self._with_text(section, change.text, origin)
        findings = validate_section(changed, self._sections.values())
        if findings:
            return self._refusal(
                Verdict.INVALID, change.section, "the text has faults", findings
            )
        return self._accept(changed)

    def _assign_owner(self, change: AssignOwner, origin: Origin) -> CommandOutcome:
        if not origin.administrator:
            return self._refusal(
                Verdict.FORBIDDEN, change.section, "only administrators assign owners"
            )
        section = self._sections.get(change.section) or self._new_section(
            change.section
        )
        changed = attrs.evolve(
            section,
            team=change.team,
            grants=change.grants,
            version=section.version + 1,
            changed_at=self._version + 1,
        )
        findings = validate_section(changed, self._sections.values())
        if findings:
            detail = "the section's text does not fit its new owner"
            return self._refusal(Verdict.INVALID, change.section, detail, findings)
        self._set_token(change.team, change.token_sha256)
        return self._accept(changed)

    def _remove_section(self, change: RemoveSection, origin: Origin) -> CommandOutcome:
        section = self._sections.get(change.section)
        if section is None:
            return self._unknown_section(change.section)
        if not origin.administrator:
            return self._refusal(
                Verdict.FORBIDDEN, change.section, "only administrators remove sections"
            )
        if section.version != change.expected_version:
            return self._conflict(section, change.expected_version)
        self._version += 1
        del self._sections[section.name]
        removed = RemovedSection(
            name=section.name, version=section.version, changed_at=self._version
        )
        self._removed[section.name] = removed
        return self._outcome(Verdict.ACCEPTED, section.name)

    def _load(self, change: LoadDocument, origin: Origin) -> CommandOutcome:
        if not origin.administrator:
            return self._refusal(
                Verdict.FORBIDDEN, "", "only administrators load documents"
            )
        if self._version > 0:
            return self._refusal(Verdict.CONFLICT, "", "there is a configuration")
        sections = [
            self._initial_section(initial, origin) for initial in change.sections
        ]
        findings = _document_findings(sections)
        if findings:
            return self._refusal(
                Verdict.INVALID, "", "the document has faults", findings
            )
        for initial, section in zip(change.sections, sections, strict=True):
            self._set_token(initial.team, initial.token_sha256)
            self._sections[section.name] = section
        self._version = 1
        return self._outcome(Verdict.ACCEPTED, "")

    def _initial_section(self, initial: InitialSection, origin: Origin) -> Section:
        section = Section(
            name=initial.section, team=initial.team, grants=initial.grants
        )
        return self._with_text(section, initial.text, origin)

    def _new_section(self, name: str) -> Section:
        removed = self._removed.get(name)
        return Section(name=name, team="", version=removed.version if removed else 0)

    def _with_text(self, section: Section, text: str, origin: Origin) -> Section:
        new_version = SectionVersion(
            version=section.version + 1,
            text=text,
            actor=actor_name(origin),
            at_ms=origin.sent_at_ms,
            command_id=origin.command_id,
        )
        return section.with_text(new_version, self._version + 1)

    def _set_token(self, team: str, token_sha256: str) -> None:
        if token_sha256:
            self._tokens_sha256[team] = token_sha256

    def _accept(self, section: Section) -> CommandOutcome:
        self._version += 1
        self._sections[section.name] = section
        self._removed.pop(section.name, None)
        return self._outcome(Verdict.ACCEPTED, section.name)

    def _conflict(self, section: Section, expected_version: int) -> CommandOutcome:
        detail = (
            f"section {section.name} is at version {section.version}, "
            f"not {expected_version}"
        )
        return self._refusal(Verdict.CONFLICT, section.name, detail)

    def _not_owner(self, section: Section) -> CommandOutcome:
        detail = f"section {section.name} belongs to team {section.team}"
        return self._refusal(Verdict.FORBIDDEN, section.name, detail)

    def _unknown_section(self, name: str) -> CommandOutcome:
        detail = f"there is no section {name}"
        return self._refusal(Verdict.UNKNOWN_SECTION, name, detail)

    def _refusal(
        self,
        verdict: Verdict,
        section: str,
        detail: str,
        findings: tuple[Finding, ...] = (),
    ) -> CommandOutcome:
        return self._outcome(verdict, section, detail, findings)

    def _outcome(
        self,
        verdict: Verdict,
        name: str,
        detail: str = "",
        findings: tuple[Finding, ...] = (),
    ) -> CommandOutcome:
        section = self._sections.get(name)
        return CommandOutcome(
            verdict=verdict,
            section=name,
            section_version=section.version if section else 0,
            document_version=self._version,
            detail=detail,
            findings=findings,
        )


def actor_name(origin: Origin) -> str:
    """Return the name of a command's sender in the audit trail."""
    return "administrator" if origin.administrator else f"team {origin.team}"


def _may_edit(section: Section, origin: Origin) -> bool:
    return origin.administrator or origin.team == section.team


def _document_findings(sections: list[Section]) -> tuple[Finding, ...]:
    findings: dict[Finding, None] = {}
    for index, section in enumerate(sections):
        findings.update(dict.fromkeys(validate_section(section, sections[:index])))
        if section.name in (other.name for other in sections[:index]):
            findings[Finding(section.name, "the section is declared twice")] = None
    return tuple(findings)
