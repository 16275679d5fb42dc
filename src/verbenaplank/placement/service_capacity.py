"""What the backend servers of each service offer, as one entry knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.placement.backend_server import fits
from verbenaplank.placement.feasibility import Feasibility
from verbenaplank.placement.task import Resources

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.cells import ServiceCells
    from verbenaplank.placement.service_index import ServiceIndex


class ServiceCapacity:
    """Sums over the backend servers of a service, for the admission of jobs.

    Parameters
    ----------
    services
        The backend servers by service.
    cells
        The parts of confined workloads by service.
    """

    def __init__(
        self, services: ServiceIndex, cells: Mapping[str, ServiceCells]
    ) -> None:
        self._services = services
        self._cells = cells

    def feasibility(self, service: str, needs: Resources) -> Feasibility:
        """Return whether any announced worker could run a task with these needs."""
        servers = self._services.announced(service)
        if not servers:
            return Feasibility.NO_SERVICE
        if _any_fits(needs, self._services.in_service(service)):
            return Feasibility.POSSIBLE
        if _any_fits(needs, servers):
            return Feasibility.EVACUATED
        return Feasibility.IMPOSSIBLE_NEEDS

    def available_cores_of(self, service: str, workload: str = "") -> float:
        """Return the cores of a service's backend servers that accept tasks.

        Each core counts as 1 divided by the slowness of its backend server.

        Parameters
        ----------
        workload
            Only backend servers on which this workload may run are counted.
        """
        return sum(
            server.member.worker.cores / server.slowness
            for server in self.connected_for(service, workload)
            if server.accepts_tasks
        )

    def occupied_cores_of(self, service: str, workload: str = "") -> float:
        """Return the cores of a service that tasks of this entry occupy.

        Cores and backend servers count as in :meth:`available_cores_of`.
        """
        return sum(
            server.reserved_cores / server.slowness
            for server in self.connected_for(service, workload)
        )

    def announced_cores_of(self, service: str) -> float:
        """Return the cores of all backend servers that announce a service.

        Cores count as in :meth:`available_cores_of`, but backend servers that are
        not connected or accept no tasks are included.
        """
        servers = self._services.announced(service)
        return sum(server.member.worker.cores / server.slowness for server in servers)

    def connected_share_of(self, service: str) -> float:
        """Return the share of a service's backend servers that are connected."""
        announced = len(self._services.announced(service))
        connected = len(self._services.connected(service))
        return connected / announced if announced else 0.0

    def slots_of(self, service: str) -> int:
        """Return the slots of a service's backend servers that accept tasks."""
        servers = self._services.connected(service)
        return sum(server.slots for server in servers if server.accepts_tasks)

    def connected_for(self, service: str, workload: str) -> Sequence[BackendServer]:
        """Return the connected servers of a service on which a workload may run.

        A workload that is not confined may run on the servers of confined ones if
        there is no other.
        """
        servers = self._services.connected(service)
        cells = self._cells[service]
        if not cells.confined:
            return servers
        allowed = [
            server for server in servers if cells.allows(workload, server.member_id)
        ]
        if workload in cells.confined or any(item.accepts_tasks for item in allowed):
            return allowed
        return servers


def _any_fits(needs: Resources, servers: Sequence[BackendServer]) -> bool:
    for server in servers:
        worker = server.member.worker
        size = Resources(
            cores=worker.cores,
            memory_mb=worker.memory_mb,
            accelerators=worker.accelerators,
        )
        if fits(needs, size):
            return True
    return False
