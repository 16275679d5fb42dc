"""State of the system as received by a member; does no I/O."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from verbenaplank.configuration.effective import EffectiveConfiguration
from verbenaplank.configuration.merge import merge_sections
from verbenaplank.protocol.membership import EvacuationList
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.routing.table import RoutingTable

if TYPE_CHECKING:
    from verbenaplank.protocol.membership import ConfigurationUpdate
    from verbenaplank.protocol.membership import FromControl
    from verbenaplank.protocol.membership import LeaseGrant
    from verbenaplank.protocol.membership import MembersUpdate
    from verbenaplank.protocol.membership import RegistrarGroup
    from verbenaplank.protocol.membership import SectionState

MAX_UNANSWERED_HEARTBEATS = 64
"""Maximum number of unanswered heartbeats whose send times are kept."""


class MembershipEventKind(StrEnum):
    """Part of the state that changed."""

    MEMBERS = "members"
    CONFIGURATION = "configuration"
    REGISTRARS = "registrars"
    DRAIN = "drain"
    ROUTING = "routing"
    EVACUATIONS = "evacuations"


@attrs.frozen(kw_only=True)
class MembershipEvent:
    """A change of the state that a member has received.

    Attributes
    ----------
    changed
        Agents and entries that joined or changed.
    left
        Ids of agents and entries that left.
    drain_ordered
        Whether the member is now ordered to drain.
    evacuations
        The evacuated data centres that are now in force.
    """

    kind: MembershipEventKind
    changed: tuple[Member, ...] = ()
    left: tuple[str, ...] = ()
    drain_ordered: bool = False
    evacuations: EvacuationList = attrs.field(factory=EvacuationList)


class ClientState:
    """The newest state that a member has received, and its own lease.

    Attributes
    ----------
    ready
        Whether a configuration has been received.
    lease_until_s
        Time at which the lease expires, on the monotonic clock.
    lease_since_s
        Time since which the lease has been held without a gap, on the monotonic
        clock; infinity before the first lease.
    heartbeat_s
        Period of heartbeats in seconds, as the control instance asked for it;
        ``None`` before the first lease.
    """

    def __init__(self) -> None:
        self.configuration = EffectiveConfiguration()
        self.agents: dict[str, Member] = {}
        self.entries: dict[str, Member] = {}
        self.members_revision = 0
        self.registrars: RegistrarGroup | None = None
        self.routing = RoutingTable()
        self.evacuations = EvacuationList()
        self.ready = False
        self.drain_ordered = False
        self.lease_until_s = float("-inf")
        self.lease_since_s = float("inf")
        self.heartbeat_s: float | None = None
        self._sections: dict[str, SectionState] = {}
        self._heartbeats: dict[int, float] = {}

    def lease_valid(self, now_s: float) -> bool:
        """Return whether the lease is valid at a time of the monotonic clock."""
        return now_s < self.lease_until_s

    def reset_heartbeats(self) -> None:
        """Forget the heartbeats of the previous stream.

        Every stream numbers its heartbeats from the start, so a late grant must not
        be matched with a heartbeat of another stream.
        """
        self._heartbeats.clear()

    def record_heartbeat(self, number: int, sent_s: float) -> None:
        """Record the time at which a heartbeat was sent."""
        self._heartbeats[number] = sent_s
        if len(self._heartbeats) > MAX_UNANSWERED_HEARTBEATS:
            del self._heartbeats[next(iter(self._heartbeats))]

    def apply(self, message: FromControl) -> list[MembershipEvent]:
        """Apply a message of a control instance with a quorum; return the changes.

        A configuration, member list, registrar group, routing table or evacuation
        list that is older than the state is ignored.
        """
        events: list[MembershipEvent] = []
        if message.lease is not None:
            self._apply_lease(message.lease)
        if message.evacuations is not None:
            events.extend(self._apply_evacuations(message.evacuations))
        if message.configuration is not None:
            events.extend(self._apply_configuration(message.configuration))
        if message.members is not None:
            events.extend(self._apply_members(message.members))
        if message.registrars is not None:
            events.extend(self._apply_registrars(message.registrars))
        if message.routing is not None:
            events.extend(self._apply_routing(message.routing))
        if message.drain != self.drain_ordered:
            self.drain_ordered = message.drain
            events.append(
                MembershipEvent(
                    kind=MembershipEventKind.DRAIN, drain_ordered=message.drain
                )
            )
        return events

    def _apply_lease(self, grant: LeaseGrant) -> None:
        """Extend the lease, counted from the heartbeat that the grant answers."""
        sent_s = self._heartbeats.pop(grant.number, None)
        if sent_s is None:
            return
        if sent_s >= self.lease_until_s:
            self.lease_since_s = sent_s
        self.lease_until_s = max(self.lease_until_s, sent_s + grant.lease_ms / 1_000)
        self.heartbeat_s = grant.heartbeat_ms / 1_000

    def _apply_configuration(
        self, update: ConfigurationUpdate
    ) -> list[MembershipEvent]:
        first = not self.ready
        self.ready = True
        if update.version < self.configuration.version:
            return []
        if update.version == self.configuration.version and not first:
            return []
        if update.complete:
            self._sections.clear()
        for name in update.removed:
            self._sections.pop(name, None)
        self._sections.update((section.name, section) for section in update.sections)
        self.configuration = merge_sections(update.version, self._sections.values())
        return [MembershipEvent(kind=MembershipEventKind.CONFIGURATION)]

    def _apply_members(self, update: MembersUpdate) -> list[MembershipEvent]:
        if update.revision < self.members_revision:
            return []
        self.members_revision = update.revision
        left = list(update.left)
        if update.complete:
            present = {member.member_id for member in update.changed}
            known = [*self.agents, *self.entries]
            left.extend(id_ for id_ in known if id_ not in present)
        for member_id in left:
            self.agents.pop(member_id, None)
            self.entries.pop(member_id, None)
        for member in update.changed:
            agent = member.role is MemberRole.AGENT
            (self.agents if agent else self.entries)[member.member_id] = member
        if not left and not update.changed:
            return []
        event = MembershipEvent(
            kind=MembershipEventKind.MEMBERS, changed=update.changed, left=tuple(left)
        )
        return [event]

    def _apply_evacuations(self, evacuations: EvacuationList) -> list[MembershipEvent]:
        if evacuations.revision <= self.evacuations.revision:
            return []
        self.evacuations = evacuations
        kind = MembershipEventKind.EVACUATIONS
        return [MembershipEvent(kind=kind, evacuations=evacuations)]

    def _apply_routing(self, table: RoutingTable) -> list[MembershipEvent]:
        if table.version <= self.routing.version:
            return []
        self.routing = table
        return [MembershipEvent(kind=MembershipEventKind.ROUTING)]

    def _apply_registrars(self, group: RegistrarGroup) -> list[MembershipEvent]:
        if self.registrars is not None and group.epoch <= self.registrars.epoch:
            return []
        self.registrars = group
        return [MembershipEvent(kind=MembershipEventKind.REGISTRARS)]
