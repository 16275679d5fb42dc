"""Tracks what one member has been sent and builds its updates; does no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.protocol.membership import ConfigurationUpdate
from verbenaplank.protocol.membership import EvacuationList
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import LeaseGrant
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import MembersUpdate
from verbenaplank.protocol.membership import RegistrarGroup

if TYPE_CHECKING:
    from verbenaplank.control.state_machine import ControlStateMachine
    from verbenaplank.routing.table import RoutingTable


class MemberUpdateBuilder:
    """Builds the messages that bring one member up to date.

    Members that are entries receive the member list and the routing table; agents
    do not.

    Parameters
    ----------
    configuration_version
        The version of the configuration that the member has.
    members_revision
        The revision of the member list that the member has.
    """

    def __init__(
        self,
        machine: ControlStateMachine,
        member: Member,
        configuration_version: int,
        members_revision: int,
    ) -> None:
        self._machine = machine
        self._member_id = member.member_id
        self._is_entry = member.role is MemberRole.ENTRY
        self._configuration_version = configuration_version
        self._members_revision = members_revision
        self._sent_epoch = 0
        self._sent_routing_version = 0
        self._sent_drain = False
        self._sent_evacuations_revision = 0
        self._is_first_message = True
        self._lease: LeaseGrant | None = None

    def grant(self, lease: LeaseGrant) -> None:
        """Include a lease grant in the next message."""
        self._lease = lease

    def has_updates(self) -> bool:
        """Return whether there is anything to send to the member."""
        return (
            self._is_first_message
            or self._lease is not None
            or self._lacks_configuration()
            or self._lacks_members()
            or self._lacks_registrars()
            or self._lacks_routing()
            or self._lacks_evacuations()
            or self._sent_drain != self._is_drain_ordered()
        )

    def next_message(self) -> FromControl:
        """Return everything that the member lacks and mark it as sent."""
        message = FromControl(
            lease=self._lease,
            configuration=self._configuration(),
            members=self._members(),
            registrars=self._registrars(),
            routing=self._routing(),
            drain=self._is_drain_ordered(),
            evacuations=self._evacuations(),
        )
        self._sent_drain = message.drain
        self._lease = None
        self._is_first_message = False
        return message

    def _configuration(self) -> ConfigurationUpdate | None:
        if not (self._is_first_message or self._lacks_configuration()):
            return None
        configuration = self._machine.configuration
        update = configuration.changes_since(self._configuration_version)
        self._configuration_version = update.version
        return update

    def _members(self) -> MembersUpdate | None:
        if not self._lacks_members():
            return None
        update = self._machine.membership.changes_since(self._members_revision)
        self._members_revision = update.revision
        return update

    def _registrars(self) -> RegistrarGroup | None:
        group = self._machine.membership.registrars.open_group
        if group is None or not self._lacks_registrars():
            return None
        self._sent_epoch = group.epoch
        return group

    def _routing(self) -> RoutingTable | None:
        document = self._machine.routing.document
        if document is None or not self._lacks_routing():
            return None
        self._sent_routing_version = document.table.version
        return document.table

    def _evacuations(self) -> EvacuationList | None:
        """Return the list if the member lacks it; the first message contains it.

        A member must know the list, even an empty one, before it starts a task.
        """
        if not (self._is_first_message or self._lacks_evacuations()):
            return None
        evacuations = self._machine.evacuations.list
        self._sent_evacuations_revision = evacuations.revision
        return evacuations

    def _lacks_evacuations(self) -> bool:
        revision = self._machine.evacuations.revision
        return self._sent_evacuations_revision != revision

    def _lacks_routing(self) -> bool:
        version = self._machine.routing.version
        return self._is_entry and self._sent_routing_version != version

    def _lacks_configuration(self) -> bool:
        return self._configuration_version != self._machine.configuration.version

    def _lacks_members(self) -> bool:
        revision = self._machine.membership.revision
        return self._is_entry and self._members_revision != revision

    def _lacks_registrars(self) -> bool:
        group = self._machine.membership.registrars.open_group
        return group is not None and group.epoch != self._sent_epoch

    def _is_drain_ordered(self) -> bool:
        return self._machine.membership.is_drain_ordered(self._member_id)
