"""Applies changes of the membership and the configuration to the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.entry import decision_log

if TYPE_CHECKING:
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.admission_control import AdmissionController
    from verbenaplank.entry.interfaces import Claims
    from verbenaplank.entry.interfaces import Membership
    from verbenaplank.entry.routed_jobs import RoutedJobs
    from verbenaplank.entry.runner import EngineRunner
    from verbenaplank.entry.subset_connector import SubsetConnector
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.protocol.membership import EvacuationList
    from verbenaplank.protocol.membership import Member


class MembershipWatcher:
    """Updates the components of the entry from its membership.

    Parameters
    ----------
    runner
        Its engine receives the agents that joined, changed or left.
    connector
        Connects to a subset of the agents.
    admission
        Receives the team rules and the number of entries.
    fleet
        Receives the drained backend servers and the evacuated data centres.
    routed
        Receives the routing table.
    clock
        The monotonic clock.
    """

    def __init__(
        self,
        *,
        runner: EngineRunner,
        connector: SubsetConnector,
        admission: AdmissionController,
        fleet: Fleet,
        routed: RoutedJobs,
        clock: MonotonicClock,
    ) -> None:
        self._runner = runner
        self._connector = connector
        self._admission = admission
        self._fleet = fleet
        self._routed = routed
        self._clock = clock
        self._agents: dict[str, Member] = {}
        self._evacuations_revision = 0
        self._sources: tuple[Membership, Claims] | None = None

    def on_change(self, event: object) -> None:
        """Apply the newest state after a change, if :meth:`apply` has been called."""
        if self._sources is not None:
            self.apply(*self._sources)

    def apply(self, membership: Membership, claims: Claims) -> None:
        """Apply the newest state now, and store its sources for :meth:`on_change`."""
        self._sources = (membership, claims)
        now_s = self._clock()
        configuration = membership.configuration
        entries = len(membership.entries)
        self._admission.configure(configuration.teams, entries)
        if membership.registrars is not None:
            claims.set_registrars(membership.registrars)
        self._apply_evacuations(membership.evacuations)
        left = self._agents.keys() - membership.agents.keys()
        changed = [
            member
            for member in membership.agents.values()
            if self._agents.get(member.member_id) != member
        ]
        for agent_id in left:
            self._remove_agent(agent_id, now_s)
        for member in changed:
            self._add_agent(member, now_s)
        self._connector.set_members(membership.entries, self._agents)
        if left or changed:
            joined = [member.member_id for member in changed]
            version = membership.routing.version
            decision_log.members_changed(joined, sorted(left), version)
        self._routed.set_routing_table(membership.routing)
        self._fleet.set_drained(configuration.drained_backend_servers)
        self._runner.engine.on_placement_changed()
        self._runner.flush_soon()

    def _apply_evacuations(self, evacuations: EvacuationList) -> None:
        """Apply a changed list, before agents are added that it may concern."""
        if evacuations.revision == self._evacuations_revision:
            return
        self._evacuations_revision = evacuations.revision
        data_centres = frozenset(evacuations.data_centres)
        self._fleet.set_evacuated(data_centres, self._clock())
        decision_log.evacuations_in_force(evacuations)

    def _add_agent(self, member: Member, now_s: float) -> None:
        self._agents[member.member_id] = member
        self._runner.engine.on_member_joined(member, now_s)

    def _remove_agent(self, agent_id: str, now_s: float) -> None:
        del self._agents[agent_id]
        self._runner.engine.on_member_left(agent_id, now_s)
