"""Chooses the backend servers that are compared for a task."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping
    from collections.abc import Sequence

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.cells import ServiceCells
    from verbenaplank.placement.service_capacity import ServiceCapacity
    from verbenaplank.placement.service_index import ServiceIndex
    from verbenaplank.placement.task import TaskRequest


class CandidateSampler:
    """Returns a limited number of servers on which a task may run.

    Parameters
    ----------
    services
        The backend servers by service and rack.
    cells
        The parts of confined workloads by service.
    capacity
        Knows on which servers a workload may run.
    random
        Random numbers for the positions of samples.
    limit
        Largest number of servers in a sample, and of local servers added to it.
    """

    def __init__(
        self,
        services: ServiceIndex,
        cells: Mapping[str, ServiceCells],
        capacity: ServiceCapacity,
        random: random.Random,
        limit: int,
    ) -> None:
        self._services = services
        self._cells = cells
        self._capacity = capacity
        self._random = random
        self._limit = limit

    def sample(self, task: TaskRequest) -> Sequence[BackendServer]:
        """Return servers on which a task may run.

        Of a larger service, consecutive ones from a random position are taken.
        """
        return self._arc(self._capacity.connected_for(task.service, task.workload))

    def sample_with_rack(self, task: TaskRequest) -> Sequence[BackendServer]:
        """Return a sample that also contains servers of the rack the task prefers."""
        sample = self.sample(task)
        if not task.preferred_rack:
            return sample
        rack = self._services.connected_in_rack(task.service, task.preferred_rack)
        cells = self._cells[task.service]
        if cells.confined:
            rack = [
                server
                for server in rack
                if cells.allows(task.workload, server.member_id)
            ]
        known = {server.member_id for server in sample}
        local = [s for s in self._arc(rack) if s.member_id not in known]
        return [*sample, *local]

    def _arc(self, servers: Sequence[BackendServer]) -> Sequence[BackendServer]:
        if len(servers) <= self._limit:
            return servers
        start = self._random.randrange(len(servers))
        return [
            *servers[start : start + self._limit],
            *servers[: max(0, start + self._limit - len(servers))],
        ]
