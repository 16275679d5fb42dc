"""Estimates of run times, learned from finished tasks of each workload."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.cold import ColdFactors
from verbenaplank.placement.cold import decayed_factor
from verbenaplank.placement.expected_end import remote_factor
from verbenaplank.placement.expected_end import warm_run_time_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.task import TaskRequest

RUN_TIME_GAIN = 0.02
MIN_SAMPLES = 5
MIN_RUN_TIME_S = 1e-4
TYPICAL_RUN_GAIN = 0.01
FIRST_TYPICAL_RUN_S = 0.2


WorkloadKey = tuple[str, str]
"""Service and workload; tasks of the same key have similar run times."""


@attrs.define
class _WorkloadRunTime:
    mean_s: float
    log_mean: float
    samples: int = 0


class RunTimeEstimator:
    """Estimates the run time of each workload on a backend server of slowness 1.

    A run time is modelled as the mean of the workload times the slowness of the
    backend server.  Both are moving averages over the successful runs.  Runs on cold
    servers only count towards the factor by which they are longer.

    Parameters
    ----------
    cold_factor
        This factor at the beginning of a cold time, until it is learned.

    Attributes
    ----------
    typical_s
        Mean expected run time of started tasks, weighted by their cores, in seconds.
    cold_factors
        The learned factors of cold servers.
    """

    def __init__(self, cold_factor: float) -> None:
        self.cold_factors = ColdFactors(cold_factor)
        self.typical_s = FIRST_TYPICAL_RUN_S
        self._workloads: dict[WorkloadKey, _WorkloadRunTime] = {}

    def expected_s(self, task: TaskRequest) -> float:
        """Return the expected run time at slowness 1, in seconds.

        It is the declared run time until ``MIN_SAMPLES`` runs of the workload are
        known.
        """
        estimate = self._workloads.get((task.service, task.workload))
        if estimate is None or estimate.samples < MIN_SAMPLES:
            return max(task.declared_run_time_s, MIN_RUN_TIME_S)
        return estimate.mean_s

    def longest_s(self, services: Iterable[str]) -> float:
        """Return the longest mean run time of the workloads of some services.

        It is in seconds, and infinite if no run of these services is known.
        """
        names = frozenset(services)
        learned = (
            estimate.mean_s
            for (service, _), estimate in self._workloads.items()
            if service in names
        )
        return max(learned, default=math.inf)

    def record_start(
        self, task: TaskRequest, server: BackendServer, now_s: float
    ) -> float:
        """Record a start, and return the expected run time in seconds."""
        factor = decayed_factor(server, self.cold_factors.of(task.service), now_s)
        run_s = warm_run_time_s(server, task, self.expected_s(task)) * factor
        gain = min(1.0, TYPICAL_RUN_GAIN * max(task.needs.cores, 1.0))
        self.typical_s += gain * (run_s - self.typical_s)
        return run_s

    def record_run(
        self, task: TaskRequest, server: BackendServer, run_s: float, now_s: float
    ) -> None:
        """Update the estimates with one successful run of ``run_s`` seconds.

        A run outside the task's rack counts as shorter by the remote factor, so that
        the server does not appear slow and the workload not long.
        """
        if server.cold.overlaps(now_s - run_s, now_s):
            self._record_cold_run(task, server, run_s, now_s)
            return
        run_s = max(run_s / remote_factor(server, task), MIN_RUN_TIME_S)
        normalised_s = run_s / math.exp(server.log_slowness)
        log_normalised = math.log(run_s) - server.log_slowness
        workload = (task.service, task.workload)
        estimate = self._workloads.get(workload)
        if estimate is None:
            estimate = _WorkloadRunTime(normalised_s, log_normalised)
            self._workloads[workload] = estimate
        server.update_slowness(math.log(run_s) - estimate.log_mean)
        estimate.samples += 1
        gain = max(1.0 / estimate.samples, RUN_TIME_GAIN)
        estimate.mean_s += gain * (normalised_s - estimate.mean_s)
        estimate.log_mean += gain * (log_normalised - estimate.log_mean)

    def _record_cold_run(
        self, task: TaskRequest, server: BackendServer, run_s: float, now_s: float
    ) -> None:
        """Learn the cold factor, unless the workload's mean is not known yet."""
        estimate = self._workloads.get((task.service, task.workload))
        if estimate is None or estimate.samples < MIN_SAMPLES:
            return
        warm_s = warm_run_time_s(server, task, estimate.mean_s)
        start_s = max(now_s - run_s, server.cold.since_s)
        left_share = server.cold.left_share(start_s)
        self.cold_factors.record(task.service, left_share, run_s / warm_s)
