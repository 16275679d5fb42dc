"""Walks an entry's queue for jobs that can no longer be of use to their callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenaplank.entry.jobs import task_request
from verbenaplank.overload.hopeless import HopelessJob
from verbenaplank.overload.hopeless import QueueWalk
from verbenaplank.overload.hopeless import WaitingJob

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.admission.goal_queue import GoalQueue
    from verbenaplank.entry.dispatch_table import DispatchTable
    from verbenaplank.entry.jobs import JobTable
    from verbenaplank.entry.service_loads import ServiceLoads
    from verbenaplank.overload.hopeless import PoolKey
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.placement.task import TaskRequest

WALK_PERIOD_S = 0.1
"""Time between two steps of a walk; a wait changes little in it."""

MAX_JOBS_PER_STEP = 512
"""Jobs looked at in one step, which bounds its processor time.

A longer queue is walked in several steps."""


class HopelessJobs:
    """Finds the hopeless jobs of a queue, a bounded number of jobs at a time.

    Only jobs that weigh waits are found, and of these only jobs none of whose tasks
    has started or may start: the others can't be refused as not run, and the work
    that they have received would be lost.

    Parameters
    ----------
    queue
        The queued tasks.
    jobs
        The jobs in progress, with their latest starts.
    dispatch_table
        Tells whether a task of a job may have started.
    loads
        Load of the services.
    fleet
        The backend servers; a job that fits on one now is not hopeless.
    """

    def __init__(
        self,
        *,
        queue: GoalQueue,
        jobs: JobTable,
        dispatch_table: DispatchTable,
        loads: ServiceLoads,
        fleet: Fleet,
    ) -> None:
        self._queue = queue
        self._jobs = jobs
        self._dispatch_table = dispatch_table
        self._loads = loads
        self._fleet = fleet
        self._walk: QueueWalk | None = None
        self._tasks: dict[PoolKey, TaskRequest] = {}
        self._stepped_s = -math.inf

    def find(self, now_s: float) -> list[HopelessJob]:
        """Take the next step of the walk if it is due, and return what it found."""
        if not self._queue.weighs_waits or now_s < self._stepped_s + WALK_PERIOD_S:
            return []
        self._stepped_s = now_s
        walk = self._walk or self._new_walk(now_s)
        found = walk.advance(MAX_JOBS_PER_STEP)
        self._walk = None if walk.is_finished else walk
        return [job for job in found if not self._fits_now(job.job_id, now_s)]

    def _new_walk(self, now_s: float) -> QueueWalk:
        def demand_above(pool: PoolKey, priority: int) -> float:
            return self._queue.demand_above(pool, priority, now_s)

        self._tasks.clear()
        return QueueWalk(self._waiting_jobs(), self._cores_of, now_s, demand_above)

    def _waiting_jobs(self) -> Iterator[WaitingJob]:
        for job_id in self._queue.job_ids_in_order():
            queued = self._queue.queued_work(job_id)
            job = self._jobs.find_running(job_id)
            if queued is None or job is None:
                continue
            submission = job.submission
            may_leave = (
                submission.weighs_waits
                and not self._dispatch_table.may_have_started(job_id)
            )
            workload = self._fleet.pool_of(submission.service, submission.workload)
            pool = (submission.service, workload)
            self._tasks.setdefault(pool, task_request(submission, 0))
            yield WaitingJob(
                job_id=job_id,
                pool=pool,
                core_s=queued.tasks * queued.task_core_s,
                last_task_core_s=queued.task_core_s,
                latest_start_s=submission.latest_start_s if may_leave else math.inf,
                priority=submission.priority,
                is_late=queued.is_late,
            )

    def _cores_of(self, pool: PoolKey) -> float:
        task = self._tasks[pool]
        use = self._fleet.capacity_use(task, self._loads.clock())
        return self._loads.drain_rate(task, use)

    def _fits_now(self, job_id: str, now_s: float) -> bool:
        """Return whether admission would find room for one of the job's tasks."""
        job = self._jobs.find_running(job_id)
        if job is None:
            return True
        submission = job.submission
        left_s = submission.deadline_s - now_s
        return self._fleet.has_room(task_request(submission, 0), 1, now_s, left_s)
