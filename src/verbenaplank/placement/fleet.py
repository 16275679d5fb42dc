"""The choice of a backend server for each task, among those known to one entry."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.cold import exceeds_share
from verbenaplank.placement.fleet_state import FleetState
from verbenaplank.placement.load import PlacementContext
from verbenaplank.placement.local_choice import choose_or_hold
from verbenaplank.placement.room import capacity_use
from verbenaplank.placement.room import has_room
from verbenaplank.placement.sampling import CandidateSampler
from verbenaplank.placement.settings import PlacementSettings
from verbenaplank.placement.stragglers import Stragglers
from verbenaplank.placement.task import NO_RESOURCES

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator
    from collections.abc import Sequence

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.local_choice import HoldClaim
    from verbenaplank.placement.locality import Decision
    from verbenaplank.placement.policy import Policy
    from verbenaplank.placement.room import CapacityUse
    from verbenaplank.placement.task import TaskRequest


class Fleet(FleetState):
    """Decides on the backend servers known to one entry.

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
    """

    def __init__(
        self,
        policy: Policy,
        random: random.Random,
        own_data_centre: str,
        settings: PlacementSettings | None = None,
    ) -> None:
        super().__init__(own_data_centre, settings or PlacementSettings())
        self._policy = policy
        self._random = random
        self._sampler = CandidateSampler(
            self._services,
            self._cells,
            self.capacity,
            random,
            self._settings.max_candidates,
        )
        self._stragglers = Stragglers(self._services, self._settings)

    def pool_of(self, service: str, workload: str) -> str:
        """Return the workload itself if it is confined, else an empty string.

        Tasks of one pool compete for the same backend servers.
        """
        return workload if workload in self._cells[service].confined else ""

    def pool_of_task(self, task: TaskRequest) -> str:
        """Return the pool of a task's workload, see :meth:`pool_of`."""
        return self.pool_of(task.service, task.workload)

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

    def avoids_servers(self, task: TaskRequest) -> bool:
        """Return whether a task is kept from backend servers that take others."""
        if task.avoided_members or self._cells[task.service].confined:
            return True
        return self._health.has_failed_somewhere(task.job_id)

    def expected_run_time_s(self, task: TaskRequest) -> float:
        """Return a task's expected run time at slowness 1, in seconds."""
        return self._run_times.expected_s(task)

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
