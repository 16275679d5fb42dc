"""Commands that change the configuration, and their outcomes."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.outcome.finding import Finding


class SectionGrant(StrEnum):
    """What a section may declare besides the services of its own team."""

    QUOTAS = "quotas"
    DRAINS = "drains"


class Verdict(StrEnum):
    """How a command ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    FORBIDDEN = "forbidden"
    UNKNOWN_SECTION = "unknown_section"
    UNKNOWN_MEMBER = "unknown_member"
    COMMAND_ID_REUSED = "command_id_reused"


@attrs.frozen(kw_only=True)
class Origin:
    """Who sent a command.

    Attributes
    ----------
    team
        The team whose token was verified; empty for an administrator.
    command_id
        Chosen by the sender; a command sent again carries the same one.
    sent_at_ms
        Wall time of the instance that took the command in.
    """

    command_id: str
    sent_at_ms: int
    team: str = ""
    administrator: bool = False


@attrs.frozen(kw_only=True)
class ApplySection:
    """Replaces a section's text if its version is the expected one."""

    section: str
    expected_version: int
    text: str


@attrs.frozen(kw_only=True)
class AssignOwner:
    """Gives a section to a team; creates the section if there is none.

    Attributes
    ----------
    token_sha256
        SHA-256 of the team's operator token in hexadecimal; empty keeps the
        token that the team has.
    """

    section: str
    team: str
    token_sha256: str = ""
    grants: tuple[SectionGrant, ...] = ()


@attrs.frozen(kw_only=True)
class RemoveSection:
    """Removes a section if its version is the expected one."""

    section: str
    expected_version: int


@attrs.frozen(kw_only=True)
class InitialSection:
    """One section of the first document."""

    section: str
    team: str
    text: str
    token_sha256: str = ""
    grants: tuple[SectionGrant, ...] = ()


@attrs.frozen(kw_only=True)
class LoadDocument:
    """Fills an empty configuration; refused once there is any section."""

    sections: tuple[InitialSection, ...]


Change = ApplySection | AssignOwner | RemoveSection | LoadDocument


@attrs.frozen(kw_only=True)
class CommandOutcome:
    """How a command ended; a command sent again gets its first outcome.

    Attributes
    ----------
    section_version
        The section's version after the command; 0 if there is no such section.
    document_version
        The whole document's version after the command.
    """

    verdict: Verdict
    section: str = ""
    section_version: int = 0
    document_version: int = 0
    detail: str = ""
    findings: tuple[Finding, ...] = ()

    @property
    def accepted(self) -> bool:
        """Return whether the command took effect."""
        return self.verdict is Verdict.ACCEPTED
