"""Task queue of an entry: by priority, then by fair shares of teams, then by job.

Within a team, jobs with little queued work and jobs that arrived early go first.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from verbenaplank.admission.shares import FairShares
from verbenaplank.admission.sub_queue import JobOrdering
from verbenaplank.admission.sub_queue import SubQueue
from verbenaplank.admission.sub_queue import scheduling_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.admission.queue_protocol import Choice
    from verbenaplank.admission.sub_queue import SchedulingKey
    from verbenaplank.placement.task import TaskRequest

ROUTINE_SHARE = 0.1
"""Share of the starts that is reserved for routine tasks while urgent ones wait."""

MAX_ROUTINE_CREDIT = 2.0
"""Largest number of reserved starts that accumulate while none can be used."""

DEADLINE_WINDOW_S = 5.0
"""Time before the deadline at which a job's rank is capped, whatever its work."""

RETRY_ADVANCE_S = 5.0
"""How much earlier than its real arrival a retried task counts as arrived."""


def equal_weight(team: str) -> float:
    """Return the same weight for every team."""
    return 1.0


def equal_work(task: TaskRequest) -> float:
    """Return one second of work for every task."""
    return 1.0


class TaskQueue:
    """Tasks that wait at an entry for a backend server.

    Urgent tasks leave first, but while routine tasks wait, one start in ten is
    reserved for them.  Tasks with equal service, needs and avoided agents share
    a sub-queue.  If the next task of a sub-queue cannot be placed, its other tasks
    are not tried, but those of other sub-queues are.

    Parameters
    ----------
    weight_of
        Returns a team's weight; work is shared in proportion to it.
    work_s_of
        Returns the expected run time of a task, in seconds.
    """

    def __init__(
        self,
        weight_of: Callable[[str], float] = equal_weight,
        work_s_of: Callable[[TaskRequest], float] = equal_work,
    ) -> None:
        self._work_s_of = work_s_of
        self._urgent = _PriorityLevel(weight_of)
        self._routine = _PriorityLevel(weight_of)
        self._sequence = itertools.count()
        self._routine_credit = 0.0

    def __len__(self) -> int:
        return len(self._urgent) + len(self._routine)

    def push(self, task: TaskRequest, now_s: float) -> None:
        """Add a task."""
        ordering = JobOrdering(
            arrived_s=now_s - RETRY_ADVANCE_S if task.attempt > 1 else now_s,
            latest_s=task.deadline_s - DEADLINE_WINDOW_S,
            work_s=self._work_s_of(task),
            sequence=next(self._sequence),
        )
        (self._urgent if task.urgent else self._routine).push(task, ordering)

    def pop(
        self, now_s: float, placeable: Callable[[TaskRequest], Choice | bool]
    ) -> TaskRequest | None:
        """Remove and return the next task that can be placed now.

        Returns
        -------
        TaskRequest or None
            ``None`` if no waiting task can be placed.
        """
        both_wait = bool(len(self._urgent) and len(self._routine))
        if both_wait and self._routine_credit >= 1.0:
            task = self._routine.pop(placeable, self._work_s_of)
            if task is not None:
                self._routine_credit -= 1.0 - ROUTINE_SHARE
                return task
        task = self._urgent.pop(placeable, self._work_s_of)
        if task is None:
            return self._routine.pop(placeable, self._work_s_of)
        if both_wait:
            earned = self._routine_credit + ROUTINE_SHARE
            self._routine_credit = min(earned, MAX_ROUTINE_CREDIT)
        return task

    def record_start(self, task: TaskRequest) -> None:
        """Do nothing, as :meth:`pop` has charged the task to its team."""

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove all tasks of a job and return them."""
        return self._urgent.remove_job(job_id) + self._routine.remove_job(job_id)

    def has_tasks_of(self, job_id: str) -> bool:
        """Return whether tasks of a job are queued."""
        return self._urgent.has_job(job_id) or self._routine.has_job(job_id)

    def tasks_ahead(self, urgent: bool) -> int:
        """Return the number of tasks that leave before a new one of this urgency."""
        return len(self._urgent) if urgent else len(self)


class _PriorityLevel:
    """The sub-queues of one priority."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._shares = FairShares(weight_of)
        self._sub_queues: dict[SchedulingKey, SubQueue] = {}
        self._keys_by_job: dict[str, set[SchedulingKey]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, task: TaskRequest, ordering: JobOrdering) -> None:
        key = scheduling_key(task)
        sub_queue = self._sub_queues.get(key)
        if sub_queue is None:
            sub_queue = SubQueue(key, self._shares)
            self._sub_queues[key] = sub_queue
        sub_queue.push(task, ordering)
        self._keys_by_job.setdefault(task.job_id, set()).add(key)
        self._size += 1

    def pop(
        self,
        placeable: Callable[[TaskRequest], Choice | bool],
        work_s_of: Callable[[TaskRequest], float],
    ) -> TaskRequest | None:
        for sub_queue in self._sub_queues_in_order():
            head = sub_queue.peek()
            if head is not None and placeable(head):
                self._shares.charge(head.team, work_s_of(head))
                return self._pop_from(sub_queue)
        return None

    def has_job(self, job_id: str) -> bool:
        return job_id in self._keys_by_job

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        removed: list[TaskRequest] = []
        for key in self._keys_by_job.pop(job_id, ()):
            sub_queue = self._sub_queues[key]
            removed.extend(sub_queue.remove_job(job_id))
            self._drop_if_empty(sub_queue)
        self._size -= len(removed)
        return removed

    def _sub_queues_in_order(self) -> list[SubQueue]:
        sub_queues = list(self._sub_queues.values())
        if len(sub_queues) > 1:
            sub_queues.sort(key=SubQueue.head_virtual_time)
        return sub_queues

    def _pop_from(self, sub_queue: SubQueue) -> TaskRequest:
        task = sub_queue.pop()
        self._size -= 1
        if not sub_queue.has_job(task.job_id):
            self._remove_key_of_job(task.job_id, sub_queue.key)
        self._drop_if_empty(sub_queue)
        return task

    def _remove_key_of_job(self, job_id: str, key: SchedulingKey) -> None:
        keys = self._keys_by_job[job_id]
        keys.discard(key)
        if not keys:
            del self._keys_by_job[job_id]

    def _drop_if_empty(self, sub_queue: SubQueue) -> None:
        if not sub_queue:
            self._sub_queues.pop(sub_queue.key, None)
