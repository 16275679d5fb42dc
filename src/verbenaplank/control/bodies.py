"""Bodies of the administration's HTTP requests and answers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

import attrs
import msgspec

from verbenaplank.configuration.audit import AuditRecord
from verbenaplank.configuration.commands import SectionGrant
from verbenaplank.configuration.commands import Verdict
from verbenaplank.configuration.sections import SectionVersion
from verbenaplank.control.problem import problem
from verbenaplank.outcome.finding import Finding
from verbenaplank.protocol.membership import Member

Body = TypeVar("Body")

MAX_COMMAND_ID_CHARACTERS = 128


@attrs.frozen(kw_only=True)
class ApplyBody:
    """Asks to replace a section's text."""

    text: str
    expected_version: int
    command_id: str


@attrs.frozen(kw_only=True)
class RemoveBody:
    """Asks to remove a section."""

    expected_version: int
    command_id: str


@attrs.frozen(kw_only=True)
class OwnerBody:
    """Asks to give a section to a team, creating it if needed."""

    team: str
    command_id: str
    token_sha256: str = ""
    grants: tuple[SectionGrant, ...] = ()


@attrs.frozen(kw_only=True)
class CommandBody:
    """Asks for something that needs no more than a command id."""

    command_id: str


@attrs.frozen(kw_only=True)
class RegistrarsBody:
    """Asks to put another registrar group in force."""

    expected_epoch: int
    instance_ids: tuple[str, ...]
    command_id: str


@attrs.frozen(kw_only=True)
class OutcomeBody:
    """A command that took effect."""

    verdict: Verdict
    section: str
    section_version: int
    document_version: int


@attrs.frozen(kw_only=True)
class SectionBody:
    """A section as operators see it."""

    name: str
    team: str
    version: int
    grants: tuple[SectionGrant, ...]
    changed_at: int
    text: str


@attrs.frozen(kw_only=True)
class DocumentBody:
    """The whole document."""

    version: int
    sections: tuple[SectionBody, ...]


@attrs.frozen(kw_only=True)
class HistoryBody:
    """The versions of a section that are kept, oldest first."""

    section: str
    version: int
    versions: tuple[SectionVersion, ...]


@attrs.frozen(kw_only=True)
class MemberVersion:
    """Which configuration a member has in force, by its last heartbeat.

    Attributes
    ----------
    version
        ``None`` if the leader has not heard from the member yet.
    """

    member_id: str
    role: str
    data_centre: str
    version: int | None
    renewed_ago_ms: float | None


@attrs.frozen(kw_only=True)
class StatusBody:
    """How far the newest configuration has come."""

    version: int
    in_force_everywhere: bool
    behind: tuple[MemberVersion, ...]
    members: tuple[MemberVersion, ...]


@attrs.frozen(kw_only=True)
class MembersBody:
    """The member list with the drains that operators ordered."""

    revision: int
    members: tuple[Member, ...]
    ordered_drains: tuple[str, ...]


@attrs.frozen(kw_only=True)
class AuditBody:
    """Records of the audit trail, oldest first.

    Attributes
    ----------
    anchor
        Digest of the record before the first one; the digest of the last
        record is the anchor of what follows.
    verified
        Whether the digests of these records form one chain from the anchor.
    """

    anchor: str
    verified: bool
    records: tuple[AuditRecord, ...]


def parse_body(data: bytes, body_type: type[Body]) -> Body:
    """Decode a JSON body.

    Raises
    ------
    ProblemError
        If it is not JSON or not of this type, with the place at fault.
    """
    try:
        body = msgspec.json.decode(data, type=body_type)
    except msgspec.MsgspecError as error:
        raise _fault(*_place_and_message(str(error))) from error
    command_id = getattr(body, "command_id", "")
    if not 0 < len(command_id) <= MAX_COMMAND_ID_CHARACTERS:
        limit = f"expected 1 to {MAX_COMMAND_ID_CHARACTERS} characters"
        raise _fault("command_id", limit)
    return body


def _fault(place: str, message: str) -> Exception:
    findings = (Finding(place, message),)
    detail = "the body has faults"
    return problem(HTTPStatus.BAD_REQUEST, detail, findings=findings)


def _place_and_message(text: str) -> tuple[str, str]:
    message, separator, place = text.rpartition(" - at `$")
    if not separator:
        return "body", text
    return place.rstrip("`").lstrip(".") or "body", message
