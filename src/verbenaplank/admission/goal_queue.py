"""A priority queue of tasks whose jobs have a goal: the time by which to answer.

Within a priority, jobs that can still be answered by their goal come first, in
the order of their goals.  Jobs that can no longer be answered by their goal follow,
in the same order.

Among jobs that weigh their waits, three rules apply in addition.  Within a priority, a
job of which a task has started goes first, since its work would be lost.  Each
lower priority keeps a share of the started work.  A job whose tasks fit on no server
for now is overtaken by smaller tasks up to a limit.  Where other jobs are concerned,
the order is as if no job weighed its wait.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from verbenaplank.admission.demand import Demand
from verbenaplank.admission.priority_level import PriorityLevel
from verbenaplank.admission.priority_level import QueuedJob
from verbenaplank.admission.priority_shares import PriorityShares
from verbenaplank.admission.queue_protocol import Choice

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from verbenaplank.overload.hopeless import PoolKey
    from verbenaplank.placement.task import TaskRequest

MAX_JOBS_TRIED = 8
"""Largest number of jobs whose next task :meth:`GoalQueue.pop` tries to place.

The tasks of a fleet have similar needs, so further tries would seldom succeed.
"""


def one_pool(task: TaskRequest) -> str:
    """Return the same pool for every task."""
    return ""


@attrs.frozen
class QueuedWork:
    """Queued work of a job.

    Attributes
    ----------
    tasks
        Number of queued tasks.
    task_core_s
        Expected work of each of them, in core seconds.
    is_late
        Whether the job can no longer meet its goal.
    """

    tasks: int
    task_core_s: float
    is_late: bool


@attrs.frozen(kw_only=True)
class QueuedAhead:
    """Queued tasks that leave before those of a new job, by their expected run times.

    Attributes
    ----------
    core_s
        Work of a higher or the same priority, in core seconds.
    own_priority_core_s
        The part of it that has the same priority.
    smaller_tasks
        Number of the tasks that need no more cores than a task of the new job.
    """

    core_s: float
    own_priority_core_s: float
    smaller_tasks: int


class GoalQueue:
    """Tasks that wait for a backend server, by strict priority and then by goal.

    Parameters
    ----------
    run_time_s_of
        Returns the expected run time of a task, in seconds.
    pool_of
        Returns the name of the backend servers of its service on which a task may run;
        tasks of different pools do not wait for each other.

    Attributes
    ----------
    has_started
        Returns whether a task of a job has started, given the job's id.
    """

    def __init__(
        self,
        run_time_s_of: Callable[[TaskRequest], float],
        pool_of: Callable[[TaskRequest], str] = one_pool,
    ) -> None:
        self._run_time_s_of = run_time_s_of
        self._pool_of = pool_of
        self._levels: dict[int, PriorityLevel] = {}
        self._jobs: dict[str, QueuedJob] = {}
        self._sequence = 0
        self._size = 0
        self._waiting_since_s: float | None = None
        self._weighing_jobs = 0
        self._shares = PriorityShares()
        self._demand = Demand()
        self.has_started: Callable[[str], bool] = lambda job_id: False

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
        self, now_s: float, placeable: Callable[[TaskRequest], Choice | bool]
    ) -> TaskRequest | None:
        """Remove and return the next task that can be placed now.

        Only the next task of each of the first ``MAX_JOBS_TRIED`` jobs of a pool is
        tried.
        Returns ``None`` if none of these tasks can be placed.
        """
        held_up: dict[PoolKey, int] = {}
        skipped: list[QueuedJob] = []
        for job in self._jobs_in_order(now_s):
            if held_up and self._is_held_up(job, held_up):
                continue
            choice = placeable(job.tasks[0])
            if choice is Choice.NOT_NOW:
                continue
            if choice is Choice.HELD:
                return self._pop_from(job)
            if choice:
                self._count_start(job, skipped)
                return self._pop_from(job)
            skipped.append(job)
            if job.holds_up_smaller:
                pool = self._key_of(job.tasks[0])
                held_up[pool] = min(job.priority, held_up.get(pool, job.priority))
        if self._size and self._waiting_since_s is None:
            self._waiting_since_s = now_s
        return None

    def record_start(self, task: TaskRequest) -> None:
        """Count the start of a task that was held after it had left the queue."""
        if not task.weighs_waits:
            return
        job = self._jobs.get(task.job_id)
        if job is not None:
            job.overtaken_core_s = 0.0
            self._levels[job.priority].mark_started(job)
        core_s = self._run_time_s_of(task) * task.needs.cores
        self._charge_start(task.priority, core_s)

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
            for job in level.in_order()
        ]

    def waiting_jobs(self) -> Counter[tuple[str, int]]:
        """Return the number of queued jobs by workload and priority."""
        return Counter(
            (job.tasks[0].workload, job.priority) for job in self._jobs.values()
        )

    def queued_work(self, job_id: str) -> QueuedWork | None:
        """Return the queued work of a job; ``None`` if it has left the queue."""
        job = self._jobs.get(job_id)
        if job is None:
            return None
        return QueuedWork(len(job.tasks), job.task_core_s, job.is_late)

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
            job.core_s
            for job in self._jobs.values()
            if job.priority <= priority and self._pool_of(job.tasks[0]) == pool
        )

    def record_arrival(self, task: TaskRequest, tasks: int, now_s: float) -> None:
        """Count the work of a new job as demand, by one of its equal tasks.

        A task that returns to the queue is not new demand.
        """
        core_s = tasks * task.needs.cores * self._run_time_s_of(task)
        self._demand.record(self._key_of(task), task.priority, core_s, now_s)

    def demand_above(self, pool: PoolKey, priority: int, now_s: float) -> float:
        """Return the recorded demand of higher priorities, in cores."""
        return self._demand.above(pool, priority, now_s)

    def ahead_of(self, task: TaskRequest) -> QueuedAhead:
        """Return the queued tasks that leave before those of a new job on time.

        Late jobs of its priority leave after it.

        Parameters
        ----------
        task
            A task of the new job.
        """
        pool = self._key_of(task)
        core_s = own_core_s = 0.0
        smaller = 0
        for job in self._jobs.values():
            is_own = job.priority == task.priority
            leaves_after = is_own and job.is_late and not job.has_started
            if job.priority > task.priority or leaves_after:
                continue
            if self._key_of(job.tasks[0]) != pool:
                continue
            core_s += job.core_s
            own_core_s += job.core_s if is_own else 0.0
            if job.tasks[0].needs.cores <= task.needs.cores:
                smaller += len(job.tasks)
        return QueuedAhead(
            core_s=core_s, own_priority_core_s=own_core_s, smaller_tasks=smaller
        )

    def _key_of(self, task: TaskRequest) -> PoolKey:
        return (task.service, self._pool_of(task))

    def _add_job(self, task: TaskRequest) -> QueuedJob:
        self._sequence += 1
        run_time_s = self._run_time_s_of(task)
        job = QueuedJob(
            job_id=task.job_id,
            priority=task.priority,
            goal_s=task.goal_s,
            run_time_s=run_time_s,
            sequence=self._sequence,
            weighs_waits=task.weighs_waits,
            task_core_s=run_time_s * task.needs.cores,
            has_started=task.weighs_waits and self.has_started(task.job_id),
        )
        self._jobs[task.job_id] = job
        self._weighing_jobs += job.weighs_waits
        self._levels.setdefault(job.priority, PriorityLevel()).add(job)
        return job

    def _jobs_in_order(self, now_s: float) -> Iterator[QueuedJob]:
        tried: Counter[str] = Counter()
        priorities = sorted(self._levels)
        for priority in priorities:
            self._levels[priority].demote_late(now_s)
        owed: list[QueuedJob] = []
        if self._weighing_jobs:
            for job in self._owed_jobs(priorities):
                owed.append(job)
                yield job
        for priority in priorities:
            for job in self._levels[priority].in_order():
                if job in owed:
                    continue
                pool = self._pool_of(job.tasks[0])
                if tried[pool] < MAX_JOBS_TRIED:
                    tried[pool] += 1
                    yield job
                elif not pool:
                    break

    def _owed_jobs(self, priorities: list[int]) -> Iterator[QueuedJob]:
        """Yield the first jobs of lower priorities that are owed a start.

        They go ahead only of jobs that weigh their waits as well.
        """
        is_first = True
        for priority in priorities:
            level = self._levels[priority]
            if not level.all_weigh_waits:
                return
            job = next(level.in_order(), None)
            if job is None:
                continue
            if not is_first and self._shares.is_owed(priority, job.task_core_s):
                yield job
            is_first = False

    def _is_held_up(self, job: QueuedJob, held_up: Mapping[PoolKey, int]) -> bool:
        """Return whether what is free is left to another job.

        Parameters
        ----------
        held_up
            The highest priority for which servers are left free, by pool.
        """
        if not job.weighs_waits:
            return False
        priority = held_up.get(self._key_of(job.tasks[0]))
        return priority is not None and job.priority >= priority

    def _count_start(self, job: QueuedJob, skipped: Sequence[QueuedJob]) -> None:
        """Update what is owed to the jobs that the next task of a job overtakes."""
        if not job.weighs_waits:
            return
        job.overtaken_core_s = 0.0
        for other in skipped:
            if job.priority >= other.priority:
                other.overtaken_core_s += job.task_core_s
        self._levels[job.priority].mark_started(job)
        self._charge_start(job.priority, job.task_core_s)

    def _charge_start(self, started_priority: int, core_s: float) -> None:
        """Charge a start to its priority, and reserve work for the lower ones."""
        waiting: list[tuple[int, float]] = []
        has_higher = False
        for priority, level in self._levels.items():
            if not level:
                continue
            if priority < started_priority:
                has_higher = True
            elif priority > started_priority:
                head = next(level.in_order())
                if head.weighs_waits:
                    waiting.append((priority, head.task_core_s))
        if has_higher and self._shares.is_owed(started_priority, core_s):
            self._shares.charge(started_priority, core_s)
        self._shares.record_start(core_s, waiting)

    def _pop_from(self, job: QueuedJob) -> TaskRequest:
        task = job.tasks.popleft()
        self._size -= 1
        if not job.tasks:
            self._drop_job(job)
        return task

    def _drop_job(self, job: QueuedJob) -> None:
        del self._jobs[job.job_id]
        self._weighing_jobs -= job.weighs_waits
        self._levels[job.priority].remove(job)
