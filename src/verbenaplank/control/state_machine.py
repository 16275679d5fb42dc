"""The state machine that the control instances replicate; it does no I/O."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs
import msgspec

from verbenaplank.configuration.audit import INITIAL_DIGEST
from verbenaplank.configuration.audit import AuditRecord
from verbenaplank.configuration.audit import AuditTrail
from verbenaplank.configuration.commands import CommandOutcome
from verbenaplank.configuration.commands import Origin
from verbenaplank.configuration.commands import SectionGrant
from verbenaplank.configuration.commands import Verdict
from verbenaplank.configuration.deduplication import DeduplicationTable
from verbenaplank.configuration.deduplication import RecordedCommand
from verbenaplank.configuration.deduplication import command_digest
from verbenaplank.configuration.effective import EffectiveConfiguration
from verbenaplank.configuration.merge import merge_sections
from verbenaplank.configuration.state import ConfigurationSnapshot
from verbenaplank.configuration.state import ConfigurationState
from verbenaplank.configuration.state import actor_name
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import ControlResult
from verbenaplank.control.commands import OperatorCommand
from verbenaplank.control.commands import decode_command
from verbenaplank.control.commands import encode
from verbenaplank.evacuation.commands import EvacuationOutcome
from verbenaplank.evacuation.commands import EvacuationVerdict
from verbenaplank.evacuation.commands import OrderEvacuation
from verbenaplank.evacuation.state import EvacuationState
from verbenaplank.membership.state import MembershipSnapshot
from verbenaplank.membership.state import MembershipState
from verbenaplank.protocol.membership import EvacuationList
from verbenaplank.routing.state import ReplaceRouting
from verbenaplank.routing.state import RoutingState
from verbenaplank.routing.state import RoutingVerdict
from verbenaplank.routing.table import RoutingDocument

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.configuration.commands import Change
    from verbenaplank.membership.commands import OrderDrain
    from verbenaplank.membership.commands import SetRegistrars
    from verbenaplank.membership.registrars import RegistrarTransition

logger = logging.getLogger(__name__)

UNAUTHENTICATED_ACTOR = "operator"
"""Sender in the audit trail if an interface has no tokens."""

ROUTING_SUBJECT = "routing"

_NO_ORIGIN = Origin(command_id="", sent_at_ms=0)


@attrs.frozen(kw_only=True)
class ControlSnapshot:
    """The complete replicated state, as a snapshot encodes it."""

    configuration: ConfigurationSnapshot = attrs.field(factory=ConfigurationSnapshot)
    membership: MembershipSnapshot = attrs.field(factory=MembershipSnapshot)
    audit: tuple[AuditRecord, ...] = ()
    audit_anchor: str = INITIAL_DIGEST
    commands: tuple[RecordedCommand, ...] = ()
    routing: RoutingDocument | None = None
    evacuations: EvacuationList = attrs.field(factory=EvacuationList)


class ControlStateMachine:
    """Everything that the control instances replicate.

    This is the configuration, the member list, the routing table, the evacuated data
    centres, the audit trail and the outcomes of commands.

    Parameters
    ----------
    on_change
        Called after each entry that changed the configuration, the member list,
        the registrar group, the routing table or the evacuated data centres, and
        after each restore.

    Attributes
    ----------
    effective
        The effective configuration, merged from all sections.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None) -> None:
        self._on_change = on_change
        self._load(ControlSnapshot())

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one log entry and return its encoded result."""
        del index
        before = self._versions()
        result = self._apply_command(_decode_or_empty(command))
        if before[0] != self.configuration.version:
            self._refresh_effective()
        if before != self._versions():
            self._on_change()
        return encode(result)

    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""
        return encode(
            ControlSnapshot(
                configuration=self.configuration.snapshot(),
                membership=self.membership.snapshot(),
                audit=self.audit.records,
                audit_anchor=self.audit.anchor,
                commands=self._commands.commands,
                routing=self.routing.document,
                evacuations=self.evacuations.list,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the complete state by that of an encoded snapshot."""
        self._load(msgspec.msgpack.decode(snapshot, type=ControlSnapshot))
        self._on_change()

    def _load(self, snapshot: ControlSnapshot) -> None:
        self.configuration = ConfigurationState(snapshot.configuration)
        self.membership = MembershipState(snapshot.membership)
        self.audit = AuditTrail(snapshot.audit, snapshot.audit_anchor)
        self._commands = DeduplicationTable(snapshot.commands)
        self.routing = RoutingState(snapshot.routing)
        self.evacuations = EvacuationState(snapshot.evacuations)
        self.effective = EffectiveConfiguration()
        self._refresh_effective()

    def _versions(self) -> tuple[int, int, RegistrarTransition, int, int]:
        return (
            self.configuration.version,
            self.membership.revision,
            self.membership.registrars.transition,
            self.routing.version,
            self.evacuations.revision,
        )

    def _refresh_effective(self) -> None:
        sections = self.configuration.sections.values()
        self.effective = merge_sections(
            self.configuration.version, [section.state for section in sections]
        )
        self.membership.set_configured_drains(self.effective.drained_backend_servers)

    def _apply_command(self, command: ControlCommand) -> ControlResult:
        if command.announce is not None:
            return ControlResult(changed=self.membership.announce(command.announce))
        if command.leave is not None:
            return ControlResult(changed=self.membership.leave(command.leave))
        if command.enter is not None:
            entered = self.membership.registrars.record_entered(command.enter)
            return ControlResult(changed=entered)
        if command.routing is not None:
            return ControlResult(routing=self._replace_routing(command.routing))
        if command.evacuation is not None:
            return ControlResult(evacuation=self._order_evacuation(command.evacuation))
        if command.operator is not None:
            return ControlResult(outcome=self._apply_operator_command(command.operator))
        return ControlResult()

    def _replace_routing(self, command: ReplaceRouting) -> RoutingVerdict:
        verdict = self.routing.replace(command)
        self.audit.append(
            at_ms=command.sent_at_ms,
            actor=UNAUTHENTICATED_ACTOR,
            command_id="",
            action="routing",
            subject=ROUTING_SUBJECT,
            version=command.document.table.version,
            outcome=verdict.value,
            detail="",
        )
        return verdict

    def _order_evacuation(self, order: OrderEvacuation) -> EvacuationOutcome:
        """Apply an order; a repeated one with a command id gets its first outcome.

        A stale order is not recorded, because it is sent again with the same id.
        """
        origin = order.origin
        if origin is None:
            outcome = self._evacuation_outcome(self.evacuations.order(order))
            self._append_evacuation_to_audit(order, outcome)
            return outcome
        actor = actor_name(origin)
        content = attrs.evolve(order, origin=None, seen_revision=0, sent_at_ms=0)
        digest = command_digest(content)
        known = self._commands.find(actor, origin.command_id)
        if known is not None and known.digest == digest:
            return msgspec.msgpack.decode(known.outcome, type=EvacuationOutcome)
        if known is not None:
            detail = f"command id {origin.command_id} was used for another command"
            verdict = EvacuationVerdict.COMMAND_ID_REUSED
            return self._evacuation_outcome(verdict, detail)
        if origin.administrator or self._may_drain(origin.team):
            outcome = self._evacuation_outcome(self.evacuations.order(order))
        else:
            detail = f"team {origin.team} may not evacuate data centres"
            outcome = self._evacuation_outcome(EvacuationVerdict.FORBIDDEN, detail)
        if outcome.verdict is not EvacuationVerdict.STALE:
            self._commands.record(
                RecordedCommand(
                    actor=actor,
                    command_id=origin.command_id,
                    digest=digest,
                    at_ms=origin.sent_at_ms,
                    outcome=encode(outcome),
                )
            )
        self._append_evacuation_to_audit(order, outcome)
        return outcome

    def _evacuation_outcome(
        self, verdict: EvacuationVerdict, detail: str = ""
    ) -> EvacuationOutcome:
        return EvacuationOutcome(
            verdict=verdict, revision=self.evacuations.revision, detail=detail
        )

    def _append_evacuation_to_audit(
        self, order: OrderEvacuation, outcome: EvacuationOutcome
    ) -> None:
        origin = order.origin
        self.audit.append(
            at_ms=order.sent_at_ms,
            actor=UNAUTHENTICATED_ACTOR if origin is None else actor_name(origin),
            command_id="" if origin is None else origin.command_id,
            action="evacuate" if order.evacuated else "end_evacuation",
            subject=order.data_centre,
            version=outcome.revision,
            outcome=outcome.verdict.value,
            detail=outcome.detail,
        )

    def _apply_operator_command(self, command: OperatorCommand) -> CommandOutcome:
        origin = command.origin
        actor = actor_name(origin)
        digest = command_digest(attrs.evolve(command, origin=_NO_ORIGIN))
        known = self._commands.find(actor, origin.command_id)
        if known is not None:
            return self._outcome_of_repetition(known, digest)
        outcome = self._execute(command)
        recorded = RecordedCommand(
            actor=actor,
            command_id=origin.command_id,
            digest=digest,
            at_ms=origin.sent_at_ms,
            outcome=encode(outcome),
        )
        self._commands.record(recorded)
        self._append_to_audit(command, outcome, actor)
        return outcome

    def _outcome_of_repetition(
        self, known: RecordedCommand, digest: bytes
    ) -> CommandOutcome:
        if known.digest == digest:
            return msgspec.msgpack.decode(known.outcome, type=CommandOutcome)
        detail = f"command id {known.command_id} was used for another command"
        return self._outcome(Verdict.COMMAND_ID_REUSED, detail)

    def _execute(self, command: OperatorCommand) -> CommandOutcome:
        if command.drain is not None:
            return self._drain(command.drain, command.origin)
        if command.registrars is not None:
            return self._set_registrars(command.registrars, command.origin)
        change = _configuration_change(command)
        if change is None:
            return self._outcome(Verdict.INVALID, "the command asks for nothing")
        return self.configuration.apply(change, command.origin)

    def _drain(self, order: OrderDrain, origin: Origin) -> CommandOutcome:
        if not (origin.administrator or self._may_drain(origin.team)):
            return self._outcome(
                Verdict.FORBIDDEN, f"team {origin.team} may not drain members"
            )
        if not self.membership.order_drain(order):
            return self._outcome(
                Verdict.UNKNOWN_MEMBER, f"there is no member {order.member_id}"
            )
        return self._outcome(Verdict.ACCEPTED)

    def _may_drain(self, team: str) -> bool:
        return any(
            section.team == team and SectionGrant.DRAINS in section.grants
            for section in self.configuration.sections.values()
        )

    def _set_registrars(self, change: SetRegistrars, origin: Origin) -> CommandOutcome:
        if not origin.administrator:
            detail = "only administrators change the registrar group"
            return self._outcome(Verdict.FORBIDDEN, detail)
        if not self.membership.registrars.set_registrars(change):
            epoch = self.membership.registrars.transition.epoch
            detail = f"the registrar group is at epoch {epoch}"
            return self._outcome(Verdict.CONFLICT, detail)
        return self._outcome(Verdict.ACCEPTED)

    def _outcome(self, verdict: Verdict, detail: str = "") -> CommandOutcome:
        return CommandOutcome(
            verdict=verdict,
            document_version=self.configuration.version,
            detail=detail,
        )

    def _append_to_audit(
        self, command: OperatorCommand, outcome: CommandOutcome, actor: str
    ) -> None:
        origin = command.origin
        self.audit.append(
            at_ms=origin.sent_at_ms,
            actor=actor,
            command_id=origin.command_id,
            action=audit_action(command),
            subject=_audit_subject(command),
            version=outcome.section_version,
            outcome=outcome.verdict.value,
            detail=outcome.detail,
        )


def _decode_or_empty(command: bytes) -> ControlCommand:
    """Decode an entry; one that this release cannot decode becomes an empty command.

    Another release may have written the entry; an empty command has no effect.
    """
    try:
        return decode_command(command)
    except msgspec.MsgspecError:
        logger.exception("log entry could not be decoded and has no effect")
        return ControlCommand()


def audit_action(command: OperatorCommand) -> str:
    """Return the name of a command's action in the audit trail."""
    if command.drain is not None:
        return "drain" if command.drain.drain else "undrain"
    names = ("apply", "assign", "remove", "load", "registrars")
    return next((n for n in names if getattr(command, n) is not None), "nothing")


def _configuration_change(command: OperatorCommand) -> Change | None:
    return command.apply or command.assign or command.remove or command.load


def _audit_subject(command: OperatorCommand) -> str:
    if command.drain is not None:
        return command.drain.member_id
    change = command.apply or command.assign or command.remove
    return change.section if change is not None else ""
