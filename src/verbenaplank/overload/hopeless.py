"""Finds queued jobs that can no longer start early enough to be of use.

Load pattern: large jobs, a loss of workers or urgent traffic make the queue longer than
was expected when its jobs were admitted.  A job at its end would be held until its
latest start and then be refused without having been tried.  Its caller learns it as
soon as the queue ahead of it shows it, and can try elsewhere while there is time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

PoolKey = tuple[str, str]
"""Service, and the workload if it is confined to a part of the servers, else empty."""


@attrs.frozen(kw_only=True)
class WaitingJob:
    """A job that waits in the queue, in the order in which jobs leave it.

    Attributes
    ----------
    pool
        The servers for which the job competes.
    core_s
        Work of its queued tasks, in core seconds.
    last_task_core_s
        The part of it that is the last task.
    latest_start_s
        Monotonic time by which its last task must start; infinite for a job that may
        not be refused.
    """

    job_id: str
    pool: PoolKey
    core_s: float
    last_task_core_s: float
    latest_start_s: float


@attrs.frozen(kw_only=True)
class HopelessJob:
    """A job whose last task would start too late, and its expected wait in seconds."""

    job_id: str
    wait_s: float


class QueueWalk:
    """One pass over the queue, which may be spread over several calls.

    A job that is found hopeless does not count as work ahead of the jobs behind it.

    Parameters
    ----------
    jobs
        The queue in its order at ``started_s``, read while the walk advances.
    cores_of
        Returns the cores at which the entry's queue for a pool drains; 0 if unknown.
    started_s
        Monotonic time at which the walk begins.  Work ahead counts from then, so that
        what leaves the queue during the walk is not counted twice.
    """

    def __init__(
        self,
        jobs: Iterable[WaitingJob],
        cores_of: Callable[[PoolKey], float],
        started_s: float,
    ) -> None:
        self.is_finished = False
        self._jobs = iter(jobs)
        self._cores_of = cores_of
        self._started_s = started_s
        self._cores: dict[PoolKey, float] = {}
        self._ahead_core_s: dict[PoolKey, float] = {}

    def advance(self, max_jobs: int) -> list[HopelessJob]:
        """Look at up to ``max_jobs`` further jobs; return the hopeless ones."""
        found: list[HopelessJob] = []
        for _ in range(max_jobs):
            job = next(self._jobs, None)
            if job is None:
                self.is_finished = True
                break
            ahead_core_s = self._ahead_core_s.get(job.pool, 0.0)
            wait_s = self._wait_s(job, ahead_core_s)
            if self._started_s + wait_s > job.latest_start_s:
                found.append(HopelessJob(job_id=job.job_id, wait_s=wait_s))
            else:
                self._ahead_core_s[job.pool] = ahead_core_s + job.core_s
        return found

    def _wait_s(self, job: WaitingJob, ahead_core_s: float) -> float:
        """Return the expected time until the job's last task starts, in seconds.

        It is 0 while the rate is unknown, since nothing is known against the job.
        """
        cores = self._cores.get(job.pool)
        if cores is None:
            cores = self._cores[job.pool] = self._cores_of(job.pool)
        if cores <= 0.0:
            return 0.0
        return (ahead_core_s + job.core_s - job.last_task_core_s) / cores
