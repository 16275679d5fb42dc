"""A fleet whose decisions are not carried out and change nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.sampling import CandidateSampler
from verbenaplank.placement.service_capacity import ServiceCapacity

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.health import HealthTracker
    from verbenaplank.placement.load import PlacementContext
    from verbenaplank.placement.stragglers import Stragglers
    from verbenaplank.placement.task import TaskRequest


class FleetQuery(Fleet):
    """Decides like a fleet, on the state of the same backend servers.

    What a decision changes in a fleet (random numbers, limits that are kept for a
    while) is a copy here.  Only the methods that decide may be called, and only until
    the next event, as it reads the servers of the fleet itself.

    Parameters
    ----------
    fleet
        The fleet on which the decisions would be carried out.
    random
        Random numbers that no other decision uses.
    """

    def __init__(self, fleet: Fleet, random: random.Random) -> None:
        vars(self).update(vars(fleet))
        self._random = random
        self._cells = fleet._cells.copy()
        self.capacity = ServiceCapacity(self._services, self._cells)
        self._stragglers: Stragglers = fleet._stragglers.copy()
        self._recorder = _RecordingSampler(
            self._services,
            self._cells,
            self.capacity,
            random,
            self._settings.max_candidates,
        )
        self._sampler = self._recorder

    @property
    def compared(self) -> Sequence[BackendServer]:
        """Return the servers that the last decision compared."""
        return self._recorder.last

    @property
    def health(self) -> HealthTracker:
        """Return the evidence against backend servers."""
        return self._health

    @property
    def typical_run_s(self) -> float:
        """Return the mean run time of tasks, weighted by their cores, in seconds."""
        return self._run_times.typical_s

    def announced(self, service: str) -> Sequence[BackendServer]:
        """Return all backend servers that announce a service."""
        return self._services.announced(service)

    def connected(self, service: str) -> Sequence[BackendServer]:
        """Return the backend servers of a service whose agent is connected."""
        return self._services.connected(service)

    def usable(
        self, task: TaskRequest, now_s: float, servers: Sequence[BackendServer]
    ) -> list[BackendServer]:
        """Return the servers of a sample among which placement chooses."""
        return self._usable_servers(task, now_s, servers)

    def exceeds_cold_share(
        self, server: BackendServer, task: TaskRequest, now_s: float
    ) -> bool:
        """Return whether a cold server may not get a task yet."""
        return now_s < server.cold.until_s and self._is_cold_share_used(
            server, task, now_s
        )

    def is_straggler(
        self, server: BackendServer, task: TaskRequest, now_s: float
    ) -> bool:
        """Return whether a server is too slow for an exclusive task at present."""
        if not task.exclusive:
            return False
        limit = self._stragglers.limit(task.service, now_s)
        return server.slowness > limit and not self._stragglers.may_probe(server, now_s)

    def context(
        self, task: TaskRequest, now_s: float, waiting: int
    ) -> PlacementContext:
        """Return the input of the placement policy for a task."""
        return self._context(task, now_s, waiting)


class _RecordingSampler(CandidateSampler):
    """Keeps the last sample, so that an explanation lists the servers compared."""

    last: Sequence[BackendServer] = ()

    def sample(self, task: TaskRequest) -> Sequence[BackendServer]:
        self.last = super().sample(task)
        return self.last

    def sample_with_rack(self, task: TaskRequest) -> Sequence[BackendServer]:
        self.last = super().sample_with_rack(task)
        return self.last
