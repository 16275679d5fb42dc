"""Run times that the entry has learned, per service and per backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.task import TaskRequest

RUN_TIME_GAIN = 0.02
SAMPLES_TO_LEARN = 5
MIN_RUN_TIME_S = 1e-4


Workload = tuple[str, str]
"""Service and workload, whose tasks have similar run times."""


@attrs.define
class _ServiceRunTime:
    mean_s: float
    log_mean: float
    samples: int = 0


class RunTimes:
    """Run time of each service's workloads on a backend server of slowness 1.

    A run time is modelled as the service's own, times the slowness of the
    backend server; both are moving averages over the finished tasks.
    """

    def __init__(self) -> None:
        self._services: dict[Workload, _ServiceRunTime] = {}

    def expected_s(self, task: TaskRequest) -> float:
        """Return the expected run time at slowness 1, in seconds."""
        service = self._services.get((task.service, task.workload))
        if service is None or service.samples < SAMPLES_TO_LEARN:
            return max(task.declared_run_time_s, MIN_RUN_TIME_S)
        return service.mean_s

    def longest_s(self, services: Iterable[str]) -> float:
        """Return the longest learned run time of some services, in seconds."""
        names = frozenset(services)
        learned = (
            known.mean_s
            for (service, _), known in self._services.items()
            if service in names
        )
        return max(learned, default=math.inf)

    def learn(self, task: TaskRequest, server: BackendServer, run_s: float) -> None:
        """Learn from one successful run of ``run_s`` seconds."""
        run_s = max(run_s, MIN_RUN_TIME_S)
        normal_s = run_s / math.exp(server.log_slowness)
        log_normal = math.log(run_s) - server.log_slowness
        workload = (task.service, task.workload)
        service = self._services.get(workload)
        if service is None:
            service = _ServiceRunTime(normal_s, log_normal)
            self._services[workload] = service
        server.learn_slowness(math.log(run_s) - service.log_mean)
        service.samples += 1
        gain = max(1.0 / service.samples, RUN_TIME_GAIN)
        service.mean_s += gain * (normal_s - service.mean_s)
        service.log_mean += gain * (log_normal - service.log_mean)
