"""Carries out operators' commands and queries through the replicated log."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from grpclib.exceptions import GRPCError

from verbenaplank.configuration.audit import AuditChainError
from verbenaplank.configuration.audit import verify_chain
from verbenaplank.configuration.commands import Origin
from verbenaplank.consensus.errors import NoQuorumError
from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.control.bodies import AuditBody
from verbenaplank.control.bodies import DocumentBody
from verbenaplank.control.bodies import HistoryBody
from verbenaplank.control.bodies import MembersBody
from verbenaplank.control.bodies import MemberVersion
from verbenaplank.control.bodies import OutcomeBody
from verbenaplank.control.bodies import SectionBody
from verbenaplank.control.bodies import StatusBody
from verbenaplank.control.bootstrap import build_registrars
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import decode_result
from verbenaplank.control.commands import encode
from verbenaplank.control.credentials import find_operator
from verbenaplank.control.problem import command_refusal
from verbenaplank.control.problem import problem_error
from verbenaplank.membership.renewals import LEASES
from verbenaplank.membership.renewals import LeasesRequest
from verbenaplank.outcome.failure import RunState
from verbenaplank.outcome.finding import Finding
from verbenaplank.rpc.endpoint import open_channel

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from verbenaplank.clock.sources import WallClock
    from verbenaplank.configuration.sections import Section
    from verbenaplank.control.commands import OperatorCommand
    from verbenaplank.control.lease_manager import LeaseManager
    from verbenaplank.control.replication import ReplicatedLog
    from verbenaplank.control.replication import SharedReadBarrier
    from verbenaplank.control.state_machine import ControlStateMachine
    from verbenaplank.membership.registrars import RegistrarTransition
    from verbenaplank.membership.renewals import LeaseReport
    from verbenaplank.membership.renewals import LeasesReply
    from verbenaplank.protocol.membership import Registrar
    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.common import ControlPeer
    from verbenaplank.settings.common import TlsSettings

COMMAND_TIMEOUT_S = 6.0
PROPOSAL_TIMEOUT_S = 2.0
LEASES_TIMEOUT_S = 2.0


class Administration:
    """Carries out operators' commands and queries, each confirmed by a quorum.

    Until :meth:`open` is called, every command and query is refused.
    """

    def __init__(
        self,
        *,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        barrier: SharedReadBarrier,
        lease_manager: LeaseManager,
        peers: Sequence[ControlPeer],
        address_of: Callable[[str], Address | None],
        tls: TlsSettings | None,
        administrator_sha256: str,
        wall_clock: WallClock,
    ) -> None:
        self._log = log
        self._machine = machine
        self._barrier = barrier
        self._lease_manager = lease_manager
        self._peers = {peer.instance_id: peer for peer in peers}
        self._address_of = address_of
        self._tls = tls
        self._administrator_sha256 = administrator_sha256
        self._wall_clock = wall_clock
        self._is_open = False

    @property
    def is_open(self) -> bool:
        """Return whether commands and queries are accepted."""
        return self._is_open

    def open(self) -> None:
        """Accept commands and queries from now on; to be called after the bootstrap."""
        self._is_open = True

    async def authenticate(self, token: str, command_id: str) -> Origin:
        """Authenticate a token against the current tokens; return the command's origin.

        Raises
        ------
        ProblemError
            If the token belongs to nobody, or no quorum can be reached.
        """
        await self.wait_for_read_barrier()
        operator = find_operator(
            token, self._administrator_sha256, self._machine.configuration.tokens_sha256
        )
        if operator is None:
            raise problem_error(
                HTTPStatus.UNAUTHORIZED,
                "the token belongs to no team and no administrator",
            )
        return Origin(
            command_id=command_id,
            sent_at_ms=self._wall_clock(),
            team=operator.team,
            administrator=operator.administrator,
        )

    async def propose(self, command: OperatorCommand) -> OutcomeBody:
        """Replicate a command and return its outcome.

        Raises
        ------
        ProblemError
            If the command is refused, or its outcome is not known.
        """
        result = await self._replicate(encode(ControlCommand(operator=command)))
        outcome = decode_result(result).outcome
        if outcome is None:
            raise problem_error(
                HTTPStatus.INTERNAL_SERVER_ERROR,
                "applying the command returned no outcome",
            )
        if not outcome.accepted:
            raise command_refusal(outcome)
        return OutcomeBody(
            verdict=outcome.verdict,
            section=outcome.section,
            section_version=outcome.section_version,
            document_version=outcome.document_version,
        )

    async def _replicate(self, command: bytes) -> bytes:
        """Propose a command, and propose it again while its outcome is unknown.

        Repetition is safe: of all proposals with one command id, only the first
        takes effect.  A rejection is final only if no earlier proposal has an
        unknown outcome.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + COMMAND_TIMEOUT_S
        is_outcome_unknown = False
        while (remaining_s := deadline_s - loop.time()) > 0:
            try:
                return await self._log.propose(
                    command, min(remaining_s, PROPOSAL_TIMEOUT_S)
                )
            except OutcomeUnknownError:
                is_outcome_unknown = True
            except ProposalRejectedError as error:
                if not is_outcome_unknown:
                    detail = f"the command was rejected and has no effect: {error}"
                    raise problem_error(
                        HTTPStatus.SERVICE_UNAVAILABLE, detail
                    ) from error
        detail = (
            "the outcome is unknown; send the command again with the same command id"
        )
        unavailable = HTTPStatus.SERVICE_UNAVAILABLE
        raise problem_error(unavailable, detail, run=RunState.MAY_HAVE_RUN)

    async def wait_for_read_barrier(self) -> None:
        """Wait until everything that was committed before the call is applied here.

        Raises
        ------
        ProblemError
            If no quorum can be reached, or the initial state is not in force yet.
        """
        if not self._is_open:
            detail = "the initial state is not in force yet; the request had no effect"
            raise problem_error(HTTPStatus.SERVICE_UNAVAILABLE, detail)
        try:
            await self._barrier.wait()
        except NoQuorumError as error:
            detail = "this instance cannot reach a quorum; the request had no effect"
            raise problem_error(HTTPStatus.SERVICE_UNAVAILABLE, detail) from error

    async def document(self) -> DocumentBody:
        """Return the complete configuration document."""
        await self.wait_for_read_barrier()
        configuration = self._machine.configuration
        sections = sorted(configuration.sections.values(), key=lambda s: s.name)
        return DocumentBody(
            version=configuration.version,
            sections=tuple(map(_section_body, sections)),
        )

    async def section(self, name: str) -> SectionBody:
        """Return one section of the document."""
        return _section_body(await self._read_section(name))

    async def history(self, name: str) -> HistoryBody:
        """Return the newest versions of a section's text, oldest first."""
        section = await self._read_section(name)
        return HistoryBody(
            section=name, version=section.version, versions=section.history
        )

    async def members(self) -> MembersBody:
        """Return the member list."""
        await self.wait_for_read_barrier()
        membership = self._machine.membership
        update = membership.changes_since(-1)
        members = sorted(update.changed, key=lambda member: member.member_id)
        return MembersBody(
            revision=membership.revision,
            members=tuple(members),
            ordered_drains=tuple(sorted(membership.ordered_drains)),
        )

    async def registrars(self) -> RegistrarTransition:
        """Return the newest registrar group, whether it is open yet or not."""
        await self.wait_for_read_barrier()
        return self._machine.membership.registrars.transition

    def resolve_registrars(self, instance_ids: Sequence[str]) -> tuple[Registrar, ...]:
        """Return the registrars for a list of instance ids.

        Raises
        ------
        ProblemError
            If an id is unknown or repeated, or the list is empty.
        """
        findings = [
            Finding(f"instance_ids[{index}]", "there is no such control instance")
            for index, instance_id in enumerate(instance_ids)
            if instance_id not in self._peers
        ]
        if not instance_ids or len(set(instance_ids)) < len(instance_ids):
            findings.append(
                Finding("instance_ids", "expected one or more distinct ids")
            )
        if findings:
            detail = "the body is invalid"
            status = HTTPStatus.UNPROCESSABLE_ENTITY
            raise problem_error(status, detail, findings=tuple(findings))
        peers = [self._peers[instance_id] for instance_id in instance_ids]
        return build_registrars(peers, self._log.members)

    async def audit(self, after: int, limit: int) -> AuditBody:
        """Return and verify at most ``limit`` audit records after a sequence number."""
        await self.wait_for_read_barrier()
        page = self._machine.audit.page(after, limit)
        try:
            verify_chain(page.records, page.anchor)
            verified = True
        except AuditChainError:
            verified = False
        return AuditBody(anchor=page.anchor, verified=verified, records=page.records)

    async def status(self) -> StatusBody:
        """Return each member's configuration version and which members are behind."""
        await self.wait_for_read_barrier()
        reply = await self._leases_of_leader()
        leases = {lease.member_id: lease for lease in reply.leases}
        version = self._machine.configuration.version
        members = [
            self._member_version(member_id, leases.get(member_id))
            for member_id in sorted(self._machine.membership.members)
        ]
        behind = [m for m in members if m.version is None or m.version < version]
        return StatusBody(
            version=version,
            in_force_everywhere=not behind,
            behind=tuple(behind),
            members=tuple(members),
        )

    async def _read_section(self, name: str) -> Section:
        await self.wait_for_read_barrier()
        section = self._machine.configuration.sections.get(name)
        if section is None:
            raise problem_error(HTTPStatus.NOT_FOUND, f"there is no section {name}")
        return section

    async def _leases_of_leader(self) -> LeasesReply:
        reply = self._lease_manager.report()
        leader_id = self._log.leader_id
        address = self._address_of(leader_id) if leader_id is not None else None
        if reply.leads or address is None:
            return reply
        try:
            with open_channel(address, self._tls) as channel:
                return await LEASES.call(channel, LeasesRequest(), LEASES_TIMEOUT_S)
        except (OSError, GRPCError) as error:
            detail = f"leader {leader_id} does not answer: {error!r}"
            raise problem_error(HTTPStatus.SERVICE_UNAVAILABLE, detail) from error

    def _member_version(
        self, member_id: str, lease: LeaseReport | None
    ) -> MemberVersion:
        member = self._machine.membership.members[member_id]
        return MemberVersion(
            member_id=member_id,
            role=member.role,
            data_centre=member.data_centre,
            version=lease.configuration_version if lease else None,
            renewed_ago_ms=lease.renewed_ago_ms if lease else None,
        )


def _section_body(section: Section) -> SectionBody:
    return SectionBody(
        name=section.name,
        team=section.team,
        version=section.version,
        grants=section.grants,
        changed_at=section.changed_at,
        text=section.text,
    )
