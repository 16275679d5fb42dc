"""Request and response bodies of the operators' HTTP interface."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

import attrs
import msgspec

from verbenaplank.configuration.audit import AuditRecord
from verbenaplank.configuration.commands import SectionGrant
from verbenaplank.configuration.commands import Verdict
from verbenaplank.configuration.sections import SectionVersion
from verbenaplank.control.problem import problem_error
from verbenaplank.evacuation.commands import EvacuationVerdict
from verbenaplank.outcome.finding import Finding
from verbenaplank.protocol.decoding import DECODE_ERRORS
from verbenaplank.protocol.membership import Member

Body = TypeVar("Body")

MAX_COMMAND_ID_CHARACTERS = 128


@attrs.frozen(kw_only=True)
class ApplyBody:
    """Request to replace a section's text."""

    text: str
    expected_version: int
    command_id: str


@attrs.frozen(kw_only=True)
class RemoveBody:
    """Request to remove a section."""

    expected_version: int
    command_id: str


@attrs.frozen(kw_only=True)
class OwnerBody:
    """Request to assign a section to a team; creates a section that is missing."""

    team: str
    command_id: str
    token_sha256: str = ""
    grants: tuple[SectionGrant, ...] = ()


@attrs.frozen(kw_only=True)
class CommandBody:
    """Request that needs only a command id."""

    command_id: str


@attrs.frozen(kw_only=True)
class RegistrarsBody:
    """Request to replace the registrar group."""

    expected_epoch: int
    instance_ids: tuple[str, ...]
    command_id: str


@attrs.frozen(kw_only=True)
class OutcomeBody:
    """Outcome of an accepted command."""

    verdict: Verdict
    section: str
    section_version: int
    document_version: int


@attrs.frozen(kw_only=True)
class SectionBody:
    """A section of the configuration document."""

    name: str
    team: str
    version: int
    grants: tuple[SectionGrant, ...]
    changed_at: int
    text: str


@attrs.frozen(kw_only=True)
class DocumentBody:
    """The complete configuration document."""

    version: int
    sections: tuple[SectionBody, ...]


@attrs.frozen(kw_only=True)
class HistoryBody:
    """The newest versions of a section's text, oldest first."""

    section: str
    version: int
    versions: tuple[SectionVersion, ...]


@attrs.frozen(kw_only=True)
class MemberVersion:
    """Configuration version that a member reported with its last heartbeat.

    Attributes
    ----------
    version
        ``None`` if the current leader has received no heartbeat from the member.
    renewed_ago_ms
        Milliseconds since the leader renewed the member's lease; ``None`` if the
        leader has no lease for the member.
    """

    member_id: str
    role: str
    data_centre: str
    version: int | None
    renewed_ago_ms: float | None


@attrs.frozen(kw_only=True)
class StatusBody:
    """How far the newest configuration has been rolled out to members.

    Attributes
    ----------
    version
        Newest version of the document.
    behind
        The members with an older version or an unknown one.
    """

    version: int
    in_force_everywhere: bool
    behind: tuple[MemberVersion, ...]
    members: tuple[MemberVersion, ...]


@attrs.frozen(kw_only=True)
class MembersBody:
    """The member list and the ids of members that operators ordered to drain."""

    revision: int
    members: tuple[Member, ...]
    ordered_drains: tuple[str, ...]


@attrs.frozen(kw_only=True)
class EvacuationBody:
    """Outcome of an accepted order about an evacuation.

    Attributes
    ----------
    revision
        Revision of the list of evacuated data centres after the order.
    """

    verdict: EvacuationVerdict
    data_centre: str
    revision: int


@attrs.frozen(kw_only=True)
class AuditBody:
    """Records of the audit trail, oldest first.

    Attributes
    ----------
    anchor
        Digest of the record before the first one here.  The digest of the last
        record is the anchor of the next page.
    verified
        Whether the digests of these records form one chain from the anchor.
    """

    anchor: str
    verified: bool
    records: tuple[AuditRecord, ...]


def parse_body(data: bytes, body_type: type[Body]) -> Body:
    """Decode a JSON body and check its command id.

    Raises
    ------
    ProblemError
        If the body is not JSON or not of this type, or its command id is empty
        or too long.  The problem names the place of the fault.
    """
    try:
        body = msgspec.json.decode(data, type=body_type)
    except DECODE_ERRORS as error:
        raise _invalid_body(*_place_and_message(str(error))) from error
    command_id = getattr(body, "command_id", "")
    if not 0 < len(command_id) <= MAX_COMMAND_ID_CHARACTERS:
        limit = f"expected 1 to {MAX_COMMAND_ID_CHARACTERS} characters"
        raise _invalid_body("command_id", limit)
    return body


def _invalid_body(place: str, message: str) -> Exception:
    findings = (Finding(place, message),)
    detail = "the body is invalid"
    return problem_error(HTTPStatus.BAD_REQUEST, detail, findings=findings)


def _place_and_message(text: str) -> tuple[str, str]:
    message, separator, place = text.rpartition(" - at `$")
    if not separator:
        return "body", text
    return place.rstrip("`").lstrip(".") or "body", message
