"""Queued jobs of one priority in the order in which they leave a goal queue."""

from __future__ import annotations

import itertools
from collections import deque
from typing import TYPE_CHECKING

import attrs
from sortedcontainers import SortedKeyList

from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_OVERTAKEN_PER_WORK = 1.0
"""Largest work that starts ahead of a job that fits on no server, per its queued work.

Beyond it, capacity that becomes free is left to the job until it can only be late.
Otherwise tasks of few cores take each core that becomes free, and a task of many cores
never finds enough of them."""


@attrs.define(eq=False)
class QueuedJob:
    """Queued tasks of one job; retried tasks come first."""

    job_id: str
    priority: int
    goal_s: float
    run_time_s: float
    sequence: int
    weighs_waits: bool
    task_core_s: float = 0.0
    tasks: deque[TaskRequest] = attrs.field(factory=deque)
    is_late: bool = False
    has_started: bool = False
    overtaken_core_s: float = 0.0

    @property
    def core_s(self) -> float:
        """Return the expected work of its queued tasks, in core seconds."""
        return len(self.tasks) * self.task_core_s

    @property
    def holds_up_smaller(self) -> bool:
        """Return whether smaller tasks have overtaken it up to the limit."""
        if not self.weighs_waits or self.is_late or self.tasks[0].attempt > 1:
            return False
        limit_core_s = MAX_OVERTAKEN_PER_WORK * self.core_s
        return 0.0 < limit_core_s <= self.overtaken_core_s

    def sort_key(self) -> tuple[float, int]:
        """Return what the jobs of a priority are ordered by."""
        return (self.goal_s, self.sequence)


class PriorityLevel:
    """Jobs of one priority: those on time and those late, each ordered by goal.

    Started jobs are listed once more; they go first if all jobs weigh their waits.
    """

    def __init__(self) -> None:
        self.on_time: SortedKeyList[QueuedJob] = SortedKeyList(key=QueuedJob.sort_key)
        self.late: SortedKeyList[QueuedJob] = SortedKeyList(key=QueuedJob.sort_key)
        self._started: SortedKeyList[QueuedJob] = SortedKeyList(key=QueuedJob.sort_key)
        self._weighing = 0

    def __len__(self) -> int:
        return len(self.on_time) + len(self.late)

    @property
    def all_weigh_waits(self) -> bool:
        """Return whether all jobs of this priority weigh their waits."""
        return self._weighing == len(self)

    def add(self, job: QueuedJob) -> None:
        """Add a job."""
        (self.late if job.is_late else self.on_time).add(job)
        self._weighing += job.weighs_waits
        if job.has_started:
            self._started.add(job)

    def remove(self, job: QueuedJob) -> None:
        """Remove a job."""
        (self.late if job.is_late else self.on_time).remove(job)
        self._weighing -= job.weighs_waits
        if job.has_started:
            self._started.remove(job)

    def mark_started(self, job: QueuedJob) -> None:
        """Record that a task of a job has started."""
        if job.weighs_waits and not job.has_started:
            job.has_started = True
            self._started.add(job)

    def in_order(self) -> Iterator[QueuedJob]:
        """Return the jobs in the order in which they leave."""
        jobs = itertools.chain(self.on_time, self.late)
        if not (self._started and self.all_weigh_waits):
            return jobs
        return itertools.chain(
            self._started, (job for job in jobs if not job.has_started)
        )

    def demote_late(self, now_s: float) -> None:
        """Move the jobs that can no longer be answered by their goal."""
        while self.on_time:
            first = self.on_time[0]
            if now_s + first.run_time_s <= first.goal_s:
                return
            self.on_time.remove(first)
            first.is_late = True
            self.late.add(first)
