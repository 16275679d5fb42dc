"""Tasks of one shape: of equal service, needs and avoided agents."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

import attrs

from verbenaplank.admission.shares import TeamOrder
from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from verbenaplank.admission.shares import FairShares
    from verbenaplank.placement.task import Resources

SchedulingKey = tuple[str, "Resources", frozenset[str]]
"""What decides where a task may run."""

WAIT_PER_WORK = 0.75
"""Seconds that a job yields to later ones, per second of work that it queues."""


@attrs.frozen(kw_only=True)
class JobOrdering:
    """When the turn of a task's job comes.

    Attributes
    ----------
    latest_s
        Time at which the job goes ahead whatever its size.
    work_s
        Expected run time of the task.
    sequence
        Breaks ties; the lowest first.
    """

    arrived_s: float
    latest_s: float
    work_s: float
    sequence: int


def scheduling_key(task: TaskRequest) -> SchedulingKey:
    """Return the shape of a task."""
    return (task.service, task.needs, task.avoided_members)


@attrs.define(eq=False)
class _QueuedJob:
    """A job's queued tasks; the fewer are left, the earlier its turn."""

    job_id: str
    team: str
    first: JobOrdering
    tasks: deque[TaskRequest] = attrs.field(factory=deque)

    def rank(self) -> tuple[float, int]:
        work_s = len(self.tasks) * self.first.work_s
        due_s = self.first.arrived_s + WAIT_PER_WORK * work_s
        return (min(due_s, self.first.latest_s), self.first.sequence)


class SubQueue:
    """Queued tasks of one shape, by team, and within a team by job."""

    def __init__(self, shape: SchedulingKey, shares: FairShares) -> None:
        self.shape = shape
        self._order = TeamOrder(shares)
        self._shares = shares
        self._jobs: dict[str, _QueuedJob] = {}
        self._heaps: dict[str, list[tuple[tuple[float, int], _QueuedJob]]] = {}

    def __bool__(self) -> bool:
        return bool(self._jobs)

    def has_job(self, job_id: str) -> bool:
        """Return whether tasks of a job wait here."""
        return job_id in self._jobs

    def push(self, task: TaskRequest, turn: JobOrdering) -> None:
        """Add a task; the turn of its job's first queued task counts."""
        job = self._jobs.get(task.job_id)
        if job is None:
            job = _QueuedJob(task.job_id, task.team, turn)
            self._jobs[task.job_id] = job
            self._add_job(job)
        job.tasks.append(task)

    def head(self) -> TaskRequest | None:
        """Return the task whose turn it is."""
        job = self._head_job()
        return None if job is None else job.tasks[0]

    def head_virtual_time(self) -> float:
        """Return the virtual time of the team whose turn it is."""
        team = self._order.first()
        return float("inf") if team is None else self._shares.virtual_time(team)

    def pop(self) -> TaskRequest:
        """Remove and return the task whose turn it is.

        Raises
        ------
        IndexError
            If the lane is empty.
        """
        job = self._head_job()
        if job is None:
            raise IndexError("pop from an empty lane")
        task = job.tasks.popleft()
        if not job.tasks:
            self._remove(job)
        return task

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove a job's tasks and return them."""
        job = self._jobs.get(job_id)
        if job is None:
            return []
        removed = list(job.tasks)
        job.tasks.clear()
        self._remove(job)
        return removed

    def _add_job(self, job: _QueuedJob) -> None:
        heap = self._heaps.setdefault(job.team, [])
        heapq.heappush(heap, (job.rank(), job))
        self._shares.enter(job.team)
        self._order.add(job.team)

    def _remove(self, job: _QueuedJob) -> None:
        del self._jobs[job.job_id]
        heap = self._heaps[job.team]
        while heap and not heap[0][1].tasks:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[job.team]
            self._order.discard(job.team)

    def _head_job(self) -> _QueuedJob | None:
        team = self._order.first()
        return None if team is None else self._first_of(self._heaps[team])

    def _first_of(self, heap: list[tuple[tuple[float, int], _QueuedJob]]) -> _QueuedJob:
        """Return the job whose turn it is; ranks that grew are corrected."""
        while True:
            rank, job = heap[0]
            current = job.rank()
            if not job.tasks:
                heapq.heappop(heap)
            elif current > rank:
                heapq.heapreplace(heap, (current, job))
            else:
                return job
