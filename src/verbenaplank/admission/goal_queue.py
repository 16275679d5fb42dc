"""A priority queue of tasks whose jobs have a goal: the time by which to answer.

Within a priority, jobs that can still be answered by their goal come first, in
the order of their goals.  Jobs that can no longer be answered by their goal follow,
in the same order.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

import attrs
from sortedcontainers import SortedKeyList

from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

MAX_JOBS_TRIED = 8
"""Largest number of jobs whose next task :meth:`GoalQueue.pop` tries to place.

The tasks of a fleet have similar needs, so further tries would seldom succeed.
"""


def one_pool(task: TaskRequest) -> str:
    """Return the same pool for every task."""
    return ""


@attrs.define(eq=False)
class _QueuedJob:
    """Queued tasks of one job; retried tasks come first."""

    job_id: str
    priority: int
    goal_s: float
    run_time_s: float
    sequence: int
    weighs_waits: bool
    tasks: deque[TaskRequest] = attrs.field(factory=deque)
    is_late: bool = False

    def sort_key(self) -> tuple[float, int]:
        return (self.goal_s, self.sequence)


@attrs.frozen
class QueuedWork:
    """Number of a job's queued tasks, and the core seconds of each of them."""

    tasks: int
    task_core_s: float


class _PriorityLevel:
    """Jobs of one priority: those on time and those late, each ordered by goal."""

    def __init__(self) -> None:
        self.on_time: SortedKeyList[_QueuedJob] = SortedKeyList(key=_QueuedJob.sort_key)
        self.late: SortedKeyList[_QueuedJob] = SortedKeyList(key=_QueuedJob.sort_key)

    def add(self, job: _QueuedJob) -> None:
        (self.late if job.is_late else self.on_time).add(job)

    def remove(self, job: _QueuedJob) -> None:
        (self.late if job.is_late else self.on_time).remove(job)

    def demote_late(self, now_s: float) -> None:
        while self.on_time:
            first = self.on_time[0]
            if now_s + first.run_time_s <= first.goal_s:
                return
            self.on_time.remove(first)
            first.is_late = True
            self.late.add(first)


class GoalQueue:
    """Tasks that wait for a backend server, by strict priority and then by goal.

    Parameters
    ----------
    run_time_s_of
        Returns the expected run time of a task, in seconds.
    pool_of
        Returns the name of the backend servers on which a task may run; tasks of
        different pools do not wait for each other.
    """

    def __init__(
        self,
        run_time_s_of: Callable[[TaskRequest], float],
        pool_of: Callable[[TaskRequest], str] = one_pool,
    ) -> None:
        self._run_time_s_of = run_time_s_of
        self._pool_of = pool_of
        self._levels: dict[int, _PriorityLevel] = {}
        self._jobs: dict[str, _QueuedJob] = {}
        self._sequence = 0
        self._size = 0
        self._waiting_since_s: float | None = None
        self._weighing_jobs = 0

    def __len__(self) -> int:
        return self._size

    def push(self, task: TaskRequest, now_s: float) -> None:
        """Add a task; a retried task is put ahead of the other tasks of its job."""
        if not self._size:
            self._waiting_since_s = None
        job = self._jobs.get(task.job_id)
        if job is None:
            job = self._add_job(task)
        if task.attempt > 1:
            job.tasks.appendleft(task)
        else:
            job.tasks.append(task)
        self._size += 1

    def pop(
        self, now_s: float, placeable: Callable[[TaskRequest], bool]
    ) -> TaskRequest | None:
        """Remove and return the next task that can be placed now.

        Only the next task of each of the first ``MAX_JOBS_TRIED`` jobs of a pool is
        tried.
        Returns ``None`` if none of these tasks can be placed.
        """
        for job in self._jobs_in_order(now_s):
            if placeable(job.tasks[0]):
                return self._pop_from(job)
        if self._size and self._waiting_since_s is None:
            self._waiting_since_s = now_s
        return None

    def waiting_for_s(self, now_s: float) -> float:
        """Return how long some task has had to wait without a gap, in seconds."""
        if not self._size or self._waiting_since_s is None:
            return 0.0
        return now_s - self._waiting_since_s

    def has_tasks_of(self, job_id: str) -> bool:
        """Return whether tasks of a job are queued."""
        return job_id in self._jobs

    @property
    def weighs_waits(self) -> bool:
        """Return whether any queued job weighs its wait."""
        return self._weighing_jobs > 0

    def job_ids_in_order(self) -> list[str]:
        """Return the queued jobs in the order in which they leave."""
        return [
            job.job_id
            for _, level in sorted(self._levels.items())
            for job in itertools.chain(level.on_time, level.late)
        ]

    def queued_work(self, job_id: str) -> QueuedWork | None:
        """Return the queued work of a job; ``None`` if it has left the queue."""
        job = self._jobs.get(job_id)
        if job is None:
            return None
        return QueuedWork(len(job.tasks), job.run_time_s * job.tasks[0].needs.cores)

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove all tasks of a job and return them."""
        job = self._jobs.get(job_id)
        if job is None:
            return []
        self._drop_job(job)
        self._size -= len(job.tasks)
        return list(job.tasks)

    def tasks_ahead(self, urgent: bool) -> int:
        """Return the number of tasks that leave before a new one of this urgency."""
        if not urgent:
            return self._size
        return sum(len(job.tasks) for job in self._jobs.values() if not job.priority)

    def work_ahead_core_s(self, priority: int, pool: str = "") -> float:
        """Return a pool's queued work of this or a higher priority, in core seconds."""
        return sum(
            len(job.tasks) * job.run_time_s * job.tasks[0].needs.cores
            for job in self._jobs.values()
            if job.priority <= priority and self._pool_of(job.tasks[0]) == pool
        )

    def _add_job(self, task: TaskRequest) -> _QueuedJob:
        self._sequence += 1
        job = _QueuedJob(
            job_id=task.job_id,
            priority=task.priority,
            goal_s=task.goal_s,
            run_time_s=self._run_time_s_of(task),
            sequence=self._sequence,
            weighs_waits=task.weighs_waits,
        )
        self._jobs[task.job_id] = job
        self._weighing_jobs += job.weighs_waits
        self._levels.setdefault(job.priority, _PriorityLevel()).add(job)
        return job

    def _jobs_in_order(self, now_s: float) -> Iterator[_QueuedJob]:
        tried: Counter[str] = Counter()
        for priority in sorted(self._levels):
            jobs = self._levels[priority]
            jobs.demote_late(now_s)
            for job in itertools.chain(jobs.on_time, jobs.late):
                pool = self._pool_of(job.tasks[0])
                if tried[pool] < MAX_JOBS_TRIED:
                    tried[pool] += 1
                    yield job
                elif not pool:
                    break

    def _pop_from(self, job: _QueuedJob) -> TaskRequest:
        task = job.tasks.popleft()
        self._size -= 1
        if not job.tasks:
            self._drop_job(job)
        return task

    def _drop_job(self, job: _QueuedJob) -> None:
        del self._jobs[job.job_id]
        self._weighing_jobs -= job.weighs_waits
        self._levels[job.priority].remove(job)
