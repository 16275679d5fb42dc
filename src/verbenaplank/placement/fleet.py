"""The backend servers known to one entry, and the choice of one for each task."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.backend_server import BackendServer
from verbenaplank.placement.cells import ServiceCells
from verbenaplank.placement.cold import exceeds_share
from verbenaplank.placement.health import FAILURES
from verbenaplank.placement.health import SLOW_FAILURES
from verbenaplank.placement.health import HealthTracker
from verbenaplank.placement.load import PlacementContext
from verbenaplank.placement.load import stall_timeout_s
from verbenaplank.placement.local_choice import choose_or_hold
from verbenaplank.placement.rack_counts import JobRackCounts
from verbenaplank.placement.room import capacity_use
from verbenaplank.placement.room import cores_by_state
from verbenaplank.placement.room import has_room
from verbenaplank.placement.run_time import RunTimeEstimator
from verbenaplank.placement.sampling import CandidateSampler
from verbenaplank.placement.service_capacity import ServiceCapacity
from verbenaplank.placement.service_index import ServiceIndex
from verbenaplank.placement.settings import PlacementSettings
from verbenaplank.placement.stragglers import Stragglers
from verbenaplank.placement.task import NO_RESOURCES
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from verbenaplank.placement.local_choice import HoldClaim
    from verbenaplank.placement.locality import Decision
    from verbenaplank.placement.policy import Policy
    from verbenaplank.placement.room import CapacityUse
    from verbenaplank.placement.task import TaskRequest
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.work import LoadReport

OTHER_TASKS_GAIN = 0.02
MS_PER_S = 1_000.0


class Fleet:
    """State of all backend servers known to one entry.

    The caller passes the monotonic time of every event, in seconds.  When
    results and a load report arrive together, record the results first, since
    the report no longer counts their tasks.

    Parameters
    ----------
    policy
        Chooses among the backend servers that can take a task.
    random
        Random numbers for sampling and for the policy.
    own_data_centre
        Data centre of this entry; the round trip to agents there is shorter.
    settings
        Parameters of placement; the defaults if ``None``.

    Attributes
    ----------
    capacity
        What the backend servers of each service offer.
    """

    def __init__(
        self,
        policy: Policy,
        random: random.Random,
        own_data_centre: str,
        settings: PlacementSettings | None = None,
    ) -> None:
        self._policy = policy
        self._random = random
        self._own_data_centre = own_data_centre
        self._settings = settings or PlacementSettings()
        self._servers: dict[str, BackendServer] = {}
        self._services = ServiceIndex()
        self._cells: defaultdict[str, ServiceCells] = defaultdict(ServiceCells)
        self.capacity = ServiceCapacity(self._services, self._cells)
        self._sampler = CandidateSampler(
            self._services,
            self._cells,
            self.capacity,
            random,
            self._settings.max_candidates,
        )
        self._drained: frozenset[str] = frozenset()
        self._evacuated: frozenset[str] = frozenset()
        self._run_times = RunTimeEstimator(self._settings.cold_factor)
        self._health = HealthTracker(self._settings.health)
        self._rack_counts = JobRackCounts()
        self._average_other_tasks_per_slot = 0.0
        self._stragglers = Stragglers(self._services, self._settings)
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

    def pool_of(self, service: str, workload: str) -> str:
        """Return the workload itself if it is confined, else an empty string.

        Tasks of one pool compete for the same backend servers.
        """
        return workload if workload in self._cells[service].confined else ""

    def pool_of_task(self, task: TaskRequest) -> str:
        """Return the pool of a task's workload, see :meth:`pool_of`."""
        return self.pool_of(task.service, task.workload)

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

    def choose_agent(
        self, task: TaskRequest, now_s: float, waiting: int = 1
    ) -> str | None:
        """Return the agent to send a task to, or ``None`` to keep it queued.

        Parameters
        ----------
        task
            The task to place.
        now_s
            The monotonic time, in seconds.
        waiting
            Number of tasks queued at this entry, including this one.
        """
        usable = self._usable_servers(task, now_s, self._sampler.sample(task))
        if not usable:
            return None
        context = self._context(task, now_s, waiting)
        chosen = self._policy(usable, context, self._random)
        return None if chosen is None else chosen.member_id

    def choose_or_hold(
        self, task: TaskRequest, now_s: float, claim: HoldClaim
    ) -> Decision:
        """Return whether to place a task now or to hold it, see ``locality``."""
        self._weighs_waits = True
        servers = self._sampler.sample_with_rack(task)
        usable = self._usable_servers(task, now_s, servers)
        known = {server.member_id for server in usable}
        limit = self._straggler_limit(task, now_s)
        full = [
            server
            for server in servers
            if server.member_id not in known
            and server.accepts_tasks
            and self._health.is_usable(server, now_s)
            and not self._health.should_avoid(task, server)
            and server.slowness <= limit
            and not self._is_cold_share_used(server, task, now_s)
        ]
        claim = attrs.evolve(claim, typical_run_s=self._run_times.typical_s)
        return choose_or_hold(usable, full, self._context(task, now_s), claim)

    def capacity_use(
        self, task: TaskRequest, now_s: float, within_s: float = math.inf
    ) -> CapacityUse:
        """Return the use of the backend servers on which a task may run.

        Parameters
        ----------
        within_s
            Seconds within which a run must end to be in time.
        """
        run_s = self._run_times.expected_s(task)
        limit = self._straggler_limit(task, now_s)
        servers = self._healthy_servers(task, now_s)
        return capacity_use(servers, task, run_s, within_s, limit)

    def has_room(
        self, task: TaskRequest, tasks: int, now_s: float, within_s: float
    ) -> bool:
        """Return whether free capacity lets so many equal tasks end in time."""
        run_s = self._run_times.expected_s(task)
        limit = self._straggler_limit(task, now_s)
        servers = self._healthy_servers(task, now_s)
        return has_room(servers, task, tasks, run_s, within_s, limit)

    def cores_by_state(self) -> Mapping[tuple[str, str], float]:
        """Return the cores of all backend servers by data centre and state."""
        return cores_by_state(self._servers.values())

    def avoids_servers(self, task: TaskRequest) -> bool:
        """Return whether a task is kept from backend servers that take others."""
        if task.avoided_members or self._cells[task.service].confined:
            return True
        return self._health.has_failed_somewhere(task.job_id)

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

    def accepts_tasks(self, member_id: str) -> bool:
        """Return whether an agent is connected and its backend server takes tasks."""
        server = self._servers.get(member_id)
        return server is not None and server.accepts_tasks

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

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether no tasks are sent to a data centre."""
        return data_centre in self._evacuated

    @property
    def has_evacuations(self) -> bool:
        """Whether any data centre is evacuated."""
        return bool(self._evacuated)

    def expected_run_time_s(self, task: TaskRequest) -> float:
        """Return a task's expected run time at slowness 1, in seconds."""
        return self._run_times.expected_s(task)

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

    def _context(
        self, task: TaskRequest, now_s: float, waiting: int = 1
    ) -> PlacementContext:
        return PlacementContext(
            task=task,
            now_s=now_s,
            run_time_s=self._run_times.expected_s(task),
            waiting=waiting,
            average_other_tasks_per_slot=self._average_other_tasks_per_slot,
            rack_tasks=self._rack_counts.by_rack(task.job_id),
            settings=self._settings,
            cold_factor=self._run_times.cold_factors.of(task.service),
        )

    def _usable_servers(
        self, task: TaskRequest, now_s: float, servers: Sequence[BackendServer]
    ) -> list[BackendServer]:
        needs = None if task.needs == NO_RESOURCES else task.needs
        limit = self._straggler_limit(task, now_s)
        usable: list[BackendServer] = []
        preferred: list[BackendServer] = []
        health, avoids = self._health, bool(task.avoided_members)
        for server in servers:
            if not server.accepts_tasks:
                continue
            # Nearly all servers have no failures, and their health need not be asked.
            has_failures = bool(server.failures_by_job) or server.on_probation
            if has_failures and not health.is_usable(server, now_s):
                continue
            if needs is not None and not server.has_free_resources(needs):
                continue
            if now_s < server.cold.until_s and self._is_cold_share_used(
                server, task, now_s
            ):
                continue
            if server.slowness > limit and not self._stragglers.may_probe(
                server, now_s
            ):
                continue
            usable.append(server)
            if not (has_failures or avoids) or not health.should_avoid(task, server):
                preferred.append(server)
        if preferred or (task.exclusive and self._has_other_accepting_server(task)):
            return preferred
        return usable

    def _is_cold_share_used(
        self, server: BackendServer, task: TaskRequest, now_s: float
    ) -> bool:
        """Return whether a cold server may not get a task yet.

        The share of a cold server is not limited while every server is cold, since
        tasks would only wait.  The connected servers are a subset of bounded size.
        """
        return exceeds_share(server, task, now_s) and any(
            other.accepts_tasks and now_s >= other.cold.until_s
            for other in self._services.connected(task.service)
        )

    def _healthy_servers(
        self, task: TaskRequest, now_s: float
    ) -> Iterator[BackendServer]:
        return (
            server
            for server in self.capacity.connected_for(task.service, task.workload)
            if self._health.is_usable(server, now_s)
        )

    def _straggler_limit(self, task: TaskRequest, now_s: float) -> float:
        """Return the slowness above which a server gets such a task as a probe."""
        if not task.exclusive:
            return math.inf
        return self._stragglers.limit(task.service, now_s)

    def _has_other_accepting_server(self, task: TaskRequest) -> bool:
        """Return whether a server that the task need not avoid accepts tasks.

        An exclusive task waits for such a server.  Otherwise a server whose runs
        fail immediately would use up all attempts while the others are full.
        """
        return any(
            server.accepts_tasks and not self._health.should_avoid(task, server)
            for server in self.capacity.connected_for(task.service, task.workload)
        )

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
