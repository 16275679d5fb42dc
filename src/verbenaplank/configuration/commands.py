"""Replicated commands that change the configuration, and their outcomes."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.outcome.finding import Finding


class SectionGrant(StrEnum):
    """What a section may declare in addition to its own team's services."""

    QUOTAS = "quotas"
    DRAINS = "drains"


class Verdict(StrEnum):
    """Result of a command: accepted, or the reason for its refusal."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    FORBIDDEN = "forbidden"
    UNKNOWN_SECTION = "unknown_section"
    UNKNOWN_MEMBER = "unknown_member"
    COMMAND_ID_REUSED = "command_id_reused"


@attrs.frozen(kw_only=True)
class Origin:
    """The sender, id and time of a command.

    Attributes
    ----------
    team
        The team whose token authenticated the sender; empty for an administrator.
    command_id
        Chosen by the sender; a repeated command has the same id.
    sent_at_ms
        Wall-clock time at which a control instance received the command, in
        milliseconds since the Unix epoch.
    """

    command_id: str
    sent_at_ms: int
    team: str = ""
    administrator: bool = False


@attrs.frozen(kw_only=True)
class ApplySection:
    """Replaces a section's text if the section has the expected version."""

    section: str
    expected_version: int
    text: str


@attrs.frozen(kw_only=True)
class AssignOwner:
    """Assigns a section to a team; creates the section if it does not exist.

    Attributes
    ----------
    token_sha256
        Hexadecimal SHA-256 of the team's operator token; if empty, the team's
        present token stays valid.
    grants
        What the section may declare in addition to services.
    """

    section: str
    team: str
    token_sha256: str = ""
    grants: tuple[SectionGrant, ...] = ()


@attrs.frozen(kw_only=True)
class RemoveSection:
    """Removes a section if it has the expected version."""

    section: str
    expected_version: int


@attrs.frozen(kw_only=True)
class InitialSection:
    """One section of the initial document."""

    section: str
    team: str
    text: str
    token_sha256: str = ""
    grants: tuple[SectionGrant, ...] = ()


@attrs.frozen(kw_only=True)
class LoadDocument:
    """Loads the initial document; refused unless the document version is 0."""

    sections: tuple[InitialSection, ...]


Change = ApplySection | AssignOwner | RemoveSection | LoadDocument


@attrs.frozen(kw_only=True)
class CommandOutcome:
    """Outcome of a command; a repeated command gets its first outcome again.

    Attributes
    ----------
    section_version
        Version of the section after the command; 0 if the section does not exist.
    document_version
        Version of the document after the command.
    detail
        Reason for a refusal; empty if the command was accepted.  The text is stored
        and part of the audit trail's digests.
    findings
        Faults in the submitted text.
    """

    verdict: Verdict
    section: str = ""
    section_version: int = 0
    document_version: int = 0
    detail: str = ""
    findings: tuple[Finding, ...] = ()

    @property
    def accepted(self) -> bool:
        """Return whether the command was accepted and took effect."""
        return self.verdict is Verdict.ACCEPTED
