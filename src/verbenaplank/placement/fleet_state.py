"""The state of the backend servers known to one entry, as events change it."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from verbenaplank.placement.backend_server import BackendServer
from verbenaplank.placement.cells import ServiceCells
from verbenaplank.placement.health import FAILURES
from verbenaplank.placement.health import SLOW_FAILURES
from verbenaplank.placement.health import HealthTracker
from verbenaplank.placement.load import stall_timeout_s
from verbenaplank.placement.rack_counts import JobRackCounts
from verbenaplank.placement.room import cores_by_state
from verbenaplank.placement.run_time import RunTimeEstimator
from verbenaplank.placement.service_capacity import ServiceCapacity
from verbenaplank.placement.service_index import ServiceIndex
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenaplank.placement.settings import PlacementSettings
    from verbenaplank.placement.task import TaskRequest
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.work import LoadReport

OTHER_TASKS_GAIN = 0.02
MS_PER_S = 1_000.0


class FleetState:
    """Records what happens to the backend servers known to one entry.

    The caller passes the monotonic time of every event, in seconds.  When
    results and a load report arrive together, record the results first, since
    the report no longer counts their tasks.

    Parameters
    ----------
    own_data_centre
        Data centre of this entry; the round trip to agents there is shorter.
    settings
        Parameters of placement.

    Attributes
    ----------
    capacity
        What the backend servers of each service offer.
    """

    def __init__(self, own_data_centre: str, settings: PlacementSettings) -> None:
        self._own_data_centre = own_data_centre
        self._settings = settings
        self._servers: dict[str, BackendServer] = {}
        self._services = ServiceIndex()
        self._cells: defaultdict[str, ServiceCells] = defaultdict(ServiceCells)
        self.capacity = ServiceCapacity(self._services, self._cells)
        self._drained: frozenset[str] = frozenset()
        self._evacuated: frozenset[str] = frozenset()
        self._run_times = RunTimeEstimator(self._settings.cold_factor)
        self._health = HealthTracker(self._settings.health)
        self._rack_counts = JobRackCounts()
        self._average_other_tasks_per_slot = 0.0
        self._weighs_waits = False

    def add_or_update(self, member: Member, now_s: float) -> None:
        """Add a backend server or apply its changed announcement.

        Members in other roles are ignored.  A new incarnation drops the tasks
        that were dispatched to the previous one and the failures of their runs.
        """
        if member.role is not MemberRole.AGENT:
            return
        server = self._servers.get(member.member_id)
        if server is None:
            server = BackendServer(member, self._round_trip_s(member))
            server.last_progress_s = now_s
            server.drained = member.member_id in self._drained
            self._servers[member.member_id] = server
        elif server.member.incarnation != member.incarnation:
            self._drop_outstanding(server)
            self._health.forget(server)
            if self._weighs_waits:  # Set by the first task that weighs waits.
                server.forget_slowness()
        self._services.remove(server)
        server.member = member
        server.evacuated = member.data_centre in self._evacuated
        self._services.add(server)

    def remove(self, member_id: str, now_s: float) -> None:
        """Remove a backend server that left the cluster, with its tasks."""
        server = self._servers.pop(member_id, None)
        if server is None:
            return
        self._drop_outstanding(server)
        self._services.remove(server)
        for service in server.member.services:
            self._cells[service].record_departure(member_id, now_s)

    def confine(self, service: str, shares: Mapping[str, float], now_s: float) -> None:
        """Confine workloads to parts of a service's backend servers, and no others.

        Parameters
        ----------
        shares
            Share of each confined workload in the work of the service.
        """
        members = [server.member_id for server in self._services.announced(service)]
        self._cells[service].divide(members, shares, now_s)

    def mark_connected(
        self, member_id: str, incarnation: str, slots: int, now_s: float
    ) -> None:
        """Record that the stream to an agent is open."""
        server = self._servers.get(member_id)
        if server is None:
            return
        server.connected = True
        self._services.update_connected(server)
        server.incarnation = incarnation
        server.slots = slots
        server.reported_draining = False
        server.last_progress_s = now_s

    def mark_disconnected(self, member_id: str, now_s: float) -> None:
        """Record that the stream to an agent is closed, and drop its tasks."""
        server = self._servers.get(member_id)
        if server is not None:
            self._drop_outstanding(server)

    def record_load_report(
        self, member_id: str, report: LoadReport, now_s: float
    ) -> None:
        """Record a load report that arrived with an agent's replies."""
        server = self._servers.get(member_id)
        if server is None:
            return
        server.apply_load_report(report, now_s)
        share = server.other_entries_tasks / max(server.slots, 1)
        error = share - self._average_other_tasks_per_slot
        self._average_other_tasks_per_slot += OTHER_TASKS_GAIN * error

    def record_dispatch(self, member_id: str, task: TaskRequest, now_s: float) -> None:
        """Record that a task was sent to an agent."""
        server = self._servers.get(member_id)
        if server is None:
            return
        run_s = self._run_times.record_start(task, server, now_s)
        server.add_task(task, now_s, run_s)
        self._rack_counts.add(task.job_id, server)
        self._health.register_job(task.job_id)

    def record_result(
        self,
        member_id: str,
        task: TaskRequest,
        outcome: TaskOutcome,
        run_time_s: float,
        now_s: float,
    ) -> None:
        """Record the outcome and the run time, in seconds, of a task that has ended."""
        server = self._servers.get(member_id)
        if server is None or not self._remove_task(server, task):
            return
        server.last_progress_s = now_s
        if outcome is TaskOutcome.SUCCEEDED:
            self._run_times.record_run(task, server, run_time_s, now_s)
            self._health.record_success(server, task)
        elif outcome in SLOW_FAILURES and server.cold.overlaps(
            now_s - run_time_s, now_s
        ):
            return
        elif outcome in FAILURES:
            peers = self._services.connected(task.service)
            self._health.record_failure(server, task, peers, now_s)

    def remove_dispatch(self, member_id: str, task: TaskRequest, now_s: float) -> None:
        """Remove a dispatched task that was refused or revoked."""
        server = self._servers.get(member_id)
        if server is not None:
            self._remove_task(server, task)

    def set_retired(self, member_id: str, *, retired: bool) -> None:
        """Set whether the stream to an agent is about to be closed by this entry."""
        server = self._servers.get(member_id)
        if server is not None:
            server.retired = retired

    def set_drained(self, member_ids: frozenset[str]) -> None:
        """Set the identifiers of the backend servers drained by configuration."""
        self._drained = member_ids
        for member_id, server in self._servers.items():
            server.drained = member_id in member_ids

    def set_evacuated(self, data_centres: frozenset[str], now_s: float) -> None:
        """Set the data centres to which no tasks are sent.

        Where servers report cold times, those that return may be cold.
        """
        self._evacuated = data_centres
        may_be_cold = any(server.cold.span_s > 0.0 for server in self._servers.values())
        for server in self._servers.values():
            evacuated = server.member.data_centre in data_centres
            if may_be_cold and server.evacuated and not evacuated:
                server.cold.begin_grace(now_s)
            server.evacuated = evacuated
        self._services.refresh_evacuated()

    def accepts_tasks(self, member_id: str) -> bool:
        """Return whether an agent is connected and its backend server takes tasks."""
        server = self._servers.get(member_id)
        return server is not None and server.accepts_tasks

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether no tasks are sent to a data centre."""
        return data_centre in self._evacuated

    @property
    def has_evacuations(self) -> bool:
        """Whether any data centre is evacuated."""
        return bool(self._evacuated)

    def cores_by_state(self) -> Mapping[tuple[str, str], float]:
        """Return the cores of all backend servers by data centre and state."""
        return cores_by_state(self._servers.values())

    def quarantined_agents(self, now_s: float) -> list[str]:
        """Return the identifiers of the agents in quarantine."""
        return [
            member_id
            for member_id, server in self._servers.items()
            if now_s < server.quarantined_until_s
        ]

    def cold_agents(self, now_s: float) -> list[str]:
        """Return the identifiers of the agents whose backend server is cold."""
        return [
            member_id
            for member_id, server in self._servers.items()
            if now_s < server.cold.until_s
        ]

    def stalled_agents(self, now_s: float) -> list[str]:
        """Return the agents that have tasks and finished none in the stall timeout."""
        return [
            member_id
            for member_id, server in self._servers.items()
            if server.outstanding and self._is_stalled(server, now_s)
        ]

    def report_age_ms(self, member_id: str, now_s: float) -> float | None:
        """Return the age of an agent's last load report, in milliseconds.

        Returns ``None`` for an unknown agent and before the first report.
        """
        server = self._servers.get(member_id)
        if server is None or server.last_report_s == -math.inf:
            return None
        return round((now_s - server.last_report_s) * MS_PER_S, 1)

    def has_connected_agent(self) -> bool:
        """Return whether the stream to any agent is open."""
        return any(server.connected for server in self._servers.values())

    def _is_stalled(self, server: BackendServer, now_s: float) -> bool:
        usual_s = self._run_times.longest_s(server.member.services) * server.slowness
        allowed_s = stall_timeout_s(usual_s, self._settings)
        return now_s - server.stall_counts_from_s > allowed_s

    def _round_trip_s(self, member: Member) -> float:
        if member.data_centre == self._own_data_centre:
            return self._settings.own_round_trip_s
        return self._settings.other_round_trip_s

    def _remove_task(self, server: BackendServer, task: TaskRequest) -> bool:
        if not server.remove_task(task):
            return False
        self._rack_counts.remove(task.job_id, server)
        return True

    def _drop_outstanding(self, server: BackendServer) -> None:
        for job_id, _, _ in server.outstanding:
            self._rack_counts.remove(job_id, server)
        server.reset()
        self._services.update_connected(server)
