"""Shares of the workloads in the recent jobs and in their work, without I/O."""

from __future__ import annotations

import math

import attrs

HALF_LIFE_S = 5.0
"""Jobs this old count half."""


@attrs.define
class _Load:
    jobs: float = 0.0
    core_s: float = 0.0


class WorkloadShares:
    """Numbers of jobs and their core seconds by workload, as decaying sums."""

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}
        self._decayed_s = -math.inf

    def add_job(self, workload: str, core_s: float, now_s: float) -> None:
        """Count a job.

        Parameters
        ----------
        core_s
            Expected work of its tasks, in core seconds.
        """
        self._decay(now_s)
        load = self._loads.setdefault(workload, _Load())
        load.jobs += 1.0
        load.core_s += core_s

    def job_shares(self) -> dict[str, float]:
        """Return the share of each workload in the number of jobs."""
        total = sum(load.jobs for load in self._loads.values())
        if total <= 0.0:
            return {}
        return {name: load.jobs / total for name, load in self._loads.items()}

    def work_share(self, workload: str) -> float:
        """Return the share of a workload in the work of all jobs."""
        total = sum(load.core_s for load in self._loads.values())
        load = self._loads.get(workload)
        return load.core_s / total if load is not None and total > 0.0 else 0.0

    def _decay(self, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self._decayed_s) / HALF_LIFE_S)
        self._decayed_s = now_s
        for load in self._loads.values():
            load.jobs *= factor
            load.core_s *= factor
