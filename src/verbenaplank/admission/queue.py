"""The queue of an entry: by priority, fair by team, small old jobs first."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from verbenaplank.admission.shares import FairShares
from verbenaplank.admission.sub_queue import JobOrdering
from verbenaplank.admission.sub_queue import SubQueue
from verbenaplank.admission.sub_queue import scheduling_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.admission.sub_queue import SchedulingKey
    from verbenaplank.placement.task import TaskRequest

ROUTINE_SHARE = 0.1
MAX_ROUTINE_CREDIT = 2.0
DEADLINE_WINDOW_S = 5.0
RETRY_ADVANCE_S = 5.0


def equal_weight(team: str) -> float:
    """Give every team the same weight."""
    return 1.0


def equal_work(task: TaskRequest) -> float:
    """Count one second of work for every task."""
    return 1.0


class TaskQueue:
    """Tasks that wait at an entry for a backend server.

    Urgent tasks leave first, but while routine tasks wait, one start in ten is
    theirs.  Tasks of equal service and needs share a lane, so that one lane
    without room holds up no other, and one refusal answers for its whole lane.

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
        self._urgent = _PriorityClass(weight_of)
        self._routine = _PriorityClass(weight_of)
        self._sequence = itertools.count()
        self._routine_credit = 0.0

    def __len__(self) -> int:
        return len(self._urgent) + len(self._routine)

    def push(self, task: TaskRequest, now_s: float) -> None:
        """Add a task."""
        turn = JobOrdering(
            arrived_s=now_s - RETRY_ADVANCE_S if task.attempt > 1 else now_s,
            latest_s=task.deadline_s - DEADLINE_WINDOW_S,
            work_s=self._work_s_of(task),
            sequence=next(self._sequence),
        )
        (self._urgent if task.urgent else self._routine).push(task, turn)

    def pop(
        self, now_s: float, placeable: Callable[[TaskRequest], bool]
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

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove all tasks of a job and return them."""
        return self._urgent.remove_job(job_id) + self._routine.remove_job(job_id)

    def tasks_ahead(self, urgent: bool) -> int:
        """Return how many tasks leave before a new one of that priority."""
        return len(self._urgent) if urgent else len(self)


class _PriorityClass:
    """The lanes of one priority."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._shares = FairShares(weight_of)
        self._lanes: dict[SchedulingKey, SubQueue] = {}
        self._lanes_of_job: dict[str, set[SchedulingKey]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, task: TaskRequest, turn: JobOrdering) -> None:
        shape = scheduling_key(task)
        lane = self._lanes.get(shape)
        if lane is None:
            lane = SubQueue(shape, self._shares)
            self._lanes[shape] = lane
        lane.push(task, turn)
        self._lanes_of_job.setdefault(task.job_id, set()).add(shape)
        self._size += 1

    def pop(
        self,
        placeable: Callable[[TaskRequest], bool],
        work_s_of: Callable[[TaskRequest], float],
    ) -> TaskRequest | None:
        for lane in self._lanes_in_turn():
            head = lane.head()
            if head is not None and placeable(head):
                self._shares.charge(head.team, work_s_of(head))
                return self._take(lane)
        return None

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        removed: list[TaskRequest] = []
        for shape in self._lanes_of_job.pop(job_id, ()):
            lane = self._lanes[shape]
            removed.extend(lane.remove_job(job_id))
            self._drop_if_empty(lane)
        self._size -= len(removed)
        return removed

    def _lanes_in_turn(self) -> list[SubQueue]:
        lanes = list(self._lanes.values())
        if len(lanes) > 1:
            lanes.sort(key=SubQueue.head_virtual_time)
        return lanes

    def _take(self, lane: SubQueue) -> TaskRequest:
        task = lane.pop()
        self._size -= 1
        if not lane.has_job(task.job_id):
            self._forget_job_lane(task.job_id, lane.shape)
        self._drop_if_empty(lane)
        return task

    def _forget_job_lane(self, job_id: str, shape: SchedulingKey) -> None:
        shapes = self._lanes_of_job[job_id]
        shapes.discard(shape)
        if not shapes:
            del self._lanes_of_job[job_id]

    def _drop_if_empty(self, lane: SubQueue) -> None:
        if not lane:
            self._lanes.pop(lane.shape, None)
