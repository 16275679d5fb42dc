"""Finds queued jobs that can no longer start early enough to be of use.

Load pattern: large jobs, a loss of workers or urgent traffic make the queue longer than
was expected when its jobs were admitted.  A job at its end would be held until its
latest start and then be refused without having been tried.  Its caller learns it as
soon as the queue ahead of it shows it, and can try elsewhere while there is time.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.overload.expected_end import QueueAhead
from verbenaplank.overload.expected_end import expected_start_s

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
    priority
        Its priority, 0 being the highest.
    is_late
        Whether it can no longer meet its goal.  The share of the starts that its
        priority keeps goes to jobs that can, so it waits for all work ahead.
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
    priority: int = 0
    is_late: bool = False


@attrs.frozen(kw_only=True)
class HopelessJob:
    """A job whose last task would start too late, and its expected wait in seconds."""

    job_id: str
    wait_s: float


def no_demand(pool: PoolKey, priority: int) -> float:
    """Return that no work of higher priorities arrives."""
    return 0.0


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
    demand_above
        Returns the cores that the arriving work of higher priorities takes, given a
        pool and a priority.
    """

    def __init__(
        self,
        jobs: Iterable[WaitingJob],
        cores_of: Callable[[PoolKey], float],
        started_s: float,
        demand_above: Callable[[PoolKey, int], float] = no_demand,
    ) -> None:
        self.is_finished = False
        self._jobs = iter(jobs)
        self._cores_of = cores_of
        self._started_s = started_s
        self._demand_above = demand_above
        self._cores: dict[PoolKey, float] = {}
        self._ahead_core_s: defaultdict[PoolKey, float] = defaultdict(float)
        self._own_priority_core_s: defaultdict[tuple[PoolKey, int], float] = (
            defaultdict(float)
        )

    def advance(self, max_jobs: int) -> list[HopelessJob]:
        """Look at up to ``max_jobs`` further jobs; return the hopeless ones."""
        found: list[HopelessJob] = []
        for _ in range(max_jobs):
            job = next(self._jobs, None)
            if job is None:
                self.is_finished = True
                break
            wait_s = self._wait_s(job)
            if self._started_s + wait_s > job.latest_start_s:
                found.append(HopelessJob(job_id=job.job_id, wait_s=wait_s))
            else:
                self._ahead_core_s[job.pool] += job.core_s
                self._own_priority_core_s[job.pool, job.priority] += job.core_s
        return found

    def _wait_s(self, job: WaitingJob) -> float:
        """Return the expected time until the job's last task starts, in seconds.

        It is 0 while the rate is unknown, since nothing is known against the job.
        """
        cores = self._cores.get(job.pool)
        if cores is None:
            cores = self._cores[job.pool] = self._cores_of(job.pool)
        if cores <= 0.0:
            return 0.0
        queue = QueueAhead(
            work=self._ahead_core_s[job.pool],
            own_priority_work=self._own_priority_core_s[job.pool, job.priority],
            drain_rate=cores,
            demand_above=self._demand_above(job.pool, job.priority),
        )
        own_core_s = job.core_s - job.last_task_core_s
        return expected_start_s(queue, own_core_s, keeps_share=not job.is_late)
