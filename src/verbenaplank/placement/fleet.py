"""The backend servers as one entry knows them, and the choice among them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenaplank.placement.backend_server import BackendServer
from verbenaplank.placement.backend_server import fits
from verbenaplank.placement.feasibility import Feasibility
from verbenaplank.placement.health import Health
from verbenaplank.placement.load import PlacementContext
from verbenaplank.placement.load import allowed_silence_s
from verbenaplank.placement.rack_counts import JobRackCounts
from verbenaplank.placement.run_time import RunTimes
from verbenaplank.placement.settings import PlacementSettings
from verbenaplank.placement.task import NO_RESOURCES
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    import random

    from verbenaplank.placement.policy import Policy
    from verbenaplank.placement.task import TaskRequest
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.work import LoadReport

USUAL_SHARE_GAIN = 0.02
MS_PER_S = 1_000.0
STRAGGLER_LIMIT_VALIDITY_S = 0.1
FAILURES = frozenset(
    {
        TaskOutcome.FAILED,
        TaskOutcome.TIMED_OUT,
        TaskOutcome.CONNECTION_LOST,
        TaskOutcome.NOT_STARTED,
    }
)


class Fleet:
    """State of all backend servers; every event carries its own time.

    Results that arrive together with a load report are passed on first, the
    report afterwards, since the report no longer counts them.
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
        self._services: dict[str, list[BackendServer]] = {}
        self._drained: frozenset[str] = frozenset()
        self._run_times = RunTimes()
        self._health = Health(self._settings.health)
        self._racks = JobRackCounts()
        self._usual_share_of_others = 0.0
        self._straggler_limits: dict[str, tuple[float, float]] = {}

    def add_or_update(self, member: Member, now_s: float) -> None:
        """Take in a backend server that is new or whose announcement changed."""
        if member.role is not MemberRole.AGENT:
            return
        server = self._servers.get(member.member_id)
        if server is None:
            server = BackendServer(member, self._round_trip_s(member))
            server.quiet_since_s = now_s
            server.drained = member.member_id in self._drained
            self._servers[member.member_id] = server
        elif server.member.incarnation != member.incarnation:
            self._forget_outstanding(server)
        self._remove_from_services(server)
        server.member = member
        for service in member.services:
            self._services.setdefault(service, []).append(server)

    def remove(self, member_id: str, now_s: float) -> None:
        """Forget a backend server that left."""
        server = self._servers.pop(member_id, None)
        if server is None:
            return
        self._forget_outstanding(server)
        self._remove_from_services(server)

    def mark_connected(
        self, member_id: str, incarnation: str, slots: int, now_s: float
    ) -> None:
        """Record that the agent's stream is open."""
        server = self._servers.get(member_id)
        if server is None:
            return
        server.connected = True
        server.incarnation = incarnation
        server.slots = slots
        server.report_draining = False
        server.quiet_since_s = now_s

    def mark_disconnected(self, member_id: str, now_s: float) -> None:
        """Record that the agent's stream is closed; its tasks are forgotten."""
        server = self._servers.get(member_id)
        if server is not None:
            self._forget_outstanding(server)

    def record_load_report(
        self, member_id: str, report: LoadReport, now_s: float
    ) -> None:
        """Take a load report that came along with replies."""
        server = self._servers.get(member_id)
        if server is None:
            return
        server.take_report(report, now_s)
        share = server.others / max(server.slots, 1)
        error = share - self._usual_share_of_others
        self._usual_share_of_others += USUAL_SHARE_GAIN * error

    def choose_agent(
        self, task: TaskRequest, now_s: float, waiting: int = 1
    ) -> str | None:
        """Return the agent for a task, or ``None`` to hold it at the entry.

        Parameters
        ----------
        task
            The task to place.
        now_s
            The monotonic time, in seconds.
        waiting
            Tasks that wait at this entry, this one included.
        """
        usable = self._usable(task, now_s)
        if not usable:
            return None
        context = PlacementContext(
            task=task,
            now_s=now_s,
            run_time_s=self._run_times.expected_s(task),
            waiting=waiting,
            usual_share_of_others=self._usual_share_of_others,
            rack_tasks=self._racks.of(task.job_id),
            settings=self._settings,
        )
        chosen = self._policy(usable, context, self._random)
        return None if chosen is None else chosen.member_id

    def record_dispatch(self, member_id: str, task: TaskRequest, now_s: float) -> None:
        """Record that a task was sent to an agent."""
        server = self._servers.get(member_id)
        if server is None:
            return
        server.start(task, now_s)
        self._racks.add(task.job_id, server)
        self._health.job_started(task.job_id)

    def record_result(
        self,
        member_id: str,
        task: TaskRequest,
        outcome: TaskOutcome,
        run_time_s: float,
        now_s: float,
    ) -> None:
        """Record the end of a task's run."""
        server = self._servers.get(member_id)
        if server is None or not self._end(server, task):
            return
        server.quiet_since_s = now_s
        if outcome is TaskOutcome.SUCCEEDED:
            self._run_times.learn(task, server, run_time_s)
            self._health.succeeded(server, task)
        elif outcome in FAILURES:
            peers = self._services.get(task.service, [])
            self._health.failed(server, task, peers, now_s)

    def remove_dispatch(self, member_id: str, task: TaskRequest, now_s: float) -> None:
        """Record that a dispatched task was refused or revoked."""
        server = self._servers.get(member_id)
        if server is not None:
            self._end(server, task)

    def feasibility(self, service: str, needs: Resources) -> Feasibility:
        """Return whether any announced worker could ever run such a task."""
        servers = self._services.get(service)
        if not servers:
            return Feasibility.NO_SERVICE
        for server in servers:
            worker = server.member.worker
            size = Resources(
                cores=worker.cores,
                memory_mb=worker.memory_mb,
                accelerators=worker.accelerators,
            )
            if fits(needs, size):
                return Feasibility.POSSIBLE
        return Feasibility.IMPOSSIBLE_NEEDS

    def set_drained(self, member_ids: frozenset[str]) -> None:
        """Set the backend servers that the configuration drains."""
        self._drained = member_ids
        for member_id, server in self._servers.items():
            server.drained = member_id in member_ids

    def expected_run_time_s(self, task: TaskRequest) -> float:
        """Return the learned run time of a task on an average backend server."""
        return self._run_times.expected_s(task)

    def quarantined_agents(self, now_s: float) -> list[str]:
        """Return the agents in quarantine."""
        return [
            member_id
            for member_id, server in self._servers.items()
            if now_s < server.quarantined_until_s
        ]

    def stalled_agents(self, now_s: float) -> list[str]:
        """Return the agents that have tasks but finished none for too long."""
        return [
            member_id
            for member_id, server in self._servers.items()
            if server.outstanding and self._is_overdue(server, now_s)
        ]

    def available_cores_of(self, service: str) -> float:
        """Return the cores of a service, as if each were of slowness 1."""
        servers = self._services.get(service, ())
        return sum(
            server.member.worker.cores / server.slowness
            for server in servers
            if server.open_for_work
        )

    def report_age_ms(self, member_id: str, now_s: float) -> float | None:
        """Return the age of an agent's last load report; ``None`` before the first."""
        server = self._servers.get(member_id)
        if server is None or server.reported_s == -math.inf:
            return None
        return round((now_s - server.reported_s) * MS_PER_S, 1)

    def announced_cores_of(self, service: str) -> float:
        """Return the cores of a service, those without a stream included."""
        servers = self._services.get(service, ())
        return sum(server.member.worker.cores / server.slowness for server in servers)

    def has_connected_agent(self) -> bool:
        """Return whether the stream of any agent is open."""
        return any(server.connected for server in self._servers.values())

    def slots_of(self, service: str) -> int:
        """Return the slots of the service's connected backend servers."""
        servers = self._services.get(service, ())
        return sum(server.slots for server in servers if server.open_for_work)

    def _usable(self, task: TaskRequest, now_s: float) -> list[BackendServer]:
        needs = None if task.needs == NO_RESOURCES else task.needs
        limit = math.inf
        if task.exclusive:
            limit = self._straggler_limit(task.service, now_s)
        usable: list[BackendServer] = []
        preferred: list[BackendServer] = []
        for server in self._sample(task.service):
            if not (server.open_for_work and self._health.is_usable(server, now_s)):
                continue
            if needs is not None and not server.has_room_for(needs):
                continue
            if server.slowness > limit and not self._may_try_straggler(server, now_s):
                continue
            usable.append(server)
            if not self._health.avoids(task, server):
                preferred.append(server)
        if preferred or (task.exclusive and self._has_unavoided(task)):
            return preferred
        return usable

    def _has_unavoided(self, task: TaskRequest) -> bool:
        """Return whether a task that failed somewhere has other servers to wait for.

        A server that fails at once would else use up all runs of a task while the
        others are full.
        """
        return any(
            server.open_for_work and not self._health.avoids(task, server)
            for server in self._services.get(task.service, ())
        )

    def _straggler_limit(self, service: str, now_s: float) -> float:
        """Return the slowness from which on a server gets exclusive tasks on trial.

        A task that cannot run twice at a time is not rescued by a second run.
        """
        computed_s, limit = self._straggler_limits.get(service, (-math.inf, 0.0))
        if now_s - computed_s < STRAGGLER_LIMIT_VALIDITY_S:
            return limit
        known = sorted(server.slowness for server in self._services.get(service, ()))
        if not known:
            return math.inf
        limit = known[len(known) // 2] * self._settings.straggler_factor
        self._straggler_limits[service] = (now_s, limit)
        return limit

    def _may_try_straggler(self, server: BackendServer, now_s: float) -> bool:
        quiet_s = now_s - server.quiet_since_s
        return not server.outstanding and quiet_s >= self._settings.straggler_trial_s

    def _sample(self, service: str) -> list[BackendServer]:
        """Return all servers of a small service, or neighbours from a random place."""
        servers = self._services.get(service, [])
        limit = self._settings.max_candidates
        if len(servers) <= limit:
            return servers
        start = self._random.randrange(len(servers))
        return [
            *servers[start : start + limit],
            *servers[: max(0, start + limit - len(servers))],
        ]

    def _is_overdue(self, server: BackendServer, now_s: float) -> bool:
        usual_s = self._run_times.longest_s(server.member.services) * server.slowness
        allowed_s = allowed_silence_s(usual_s, self._settings)
        return now_s - server.quiet_since_s > allowed_s

    def _round_trip_s(self, member: Member) -> float:
        if member.data_centre == self._own_data_centre:
            return self._settings.own_round_trip_s
        return self._settings.other_round_trip_s

    def _end(self, server: BackendServer, task: TaskRequest) -> bool:
        if not server.end(task):
            return False
        self._racks.remove(task.job_id, server)
        return True

    def _forget_outstanding(self, server: BackendServer) -> None:
        for job_id, _, _ in server.outstanding:
            self._racks.remove(job_id, server)
        server.clear()

    def _remove_from_services(self, server: BackendServer) -> None:
        for service in server.member.services:
            servers = self._services.get(service, [])
            if server in servers:
                servers.remove(server)
            if not servers:
                self._services.pop(service, None)
