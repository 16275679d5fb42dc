"""A queue of tasks that can run on the same backend servers."""

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
"""Service, needs and avoided agents, which decide where a task may run."""

RANK_DELAY_PER_WORK = 0.75
"""Seconds by which a job ranks after its arrival, per second of its queued work.

Jobs with little work therefore overtake larger ones that arrived earlier.
"""


@attrs.frozen(kw_only=True)
class JobOrdering:
    """Values that decide the position of a task's job in the queue.

    Attributes
    ----------
    arrived_s
        Monotonic time of arrival, earlier than the real one for a retry.
    latest_s
        Latest rank of the job, regardless of its queued work, as a monotonic time.
    work_s
        Expected run time of the task, in seconds.
    sequence
        Breaks ties; the lowest goes first.
    """

    arrived_s: float
    latest_s: float
    work_s: float
    sequence: int


def scheduling_key(task: TaskRequest) -> SchedulingKey:
    """Return the scheduling key of a task."""
    return (task.service, task.needs, task.avoided_members)


@attrs.define(eq=False)
class _QueuedJob:
    """Queued tasks of one job, which ranks earlier the less work is left."""

    job_id: str
    team: str
    ordering: JobOrdering
    tasks: deque[TaskRequest] = attrs.field(factory=deque)

    def rank(self) -> tuple[float, int]:
        work_s = len(self.tasks) * self.ordering.work_s
        rank_s = self.ordering.arrived_s + RANK_DELAY_PER_WORK * work_s
        return (min(rank_s, self.ordering.latest_s), self.ordering.sequence)


class SubQueue:
    """Queued tasks of one scheduling key, by team, and within a team by job."""

    def __init__(self, key: SchedulingKey, shares: FairShares) -> None:
        self.key = key
        self._order = TeamOrder(shares)
        self._shares = shares
        self._jobs: dict[str, _QueuedJob] = {}
        self._heaps: dict[str, list[tuple[tuple[float, int], _QueuedJob]]] = {}

    def __bool__(self) -> bool:
        return bool(self._jobs)

    def has_job(self, job_id: str) -> bool:
        """Return whether any task of a job is queued here."""
        return job_id in self._jobs

    def push(self, task: TaskRequest, ordering: JobOrdering) -> None:
        """Add a task; a job keeps the ordering of its first queued task."""
        job = self._jobs.get(task.job_id)
        if job is None:
            job = _QueuedJob(task.job_id, task.team, ordering)
            self._jobs[task.job_id] = job
            self._add_job(job)
        job.tasks.append(task)

    def peek(self) -> TaskRequest | None:
        """Return the next task without removing it; ``None`` if there is none."""
        job = self._head_job()
        return None if job is None else job.tasks[0]

    def head_virtual_time(self) -> float:
        """Return the virtual time of the next team; infinity if there is none."""
        team = self._order.first()
        return float("inf") if team is None else self._shares.virtual_time(team)

    def pop(self) -> TaskRequest:
        """Remove and return the next task.

        Raises
        ------
        IndexError
            If the queue is empty.
        """
        job = self._head_job()
        if job is None:
            raise IndexError("pop from an empty sub-queue")
        task = job.tasks.popleft()
        if not job.tasks:
            self._drop_job(job)
        return task

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove a job's tasks and return them."""
        job = self._jobs.get(job_id)
        if job is None:
            return []
        removed = list(job.tasks)
        job.tasks.clear()
        self._drop_job(job)
        return removed

    def _add_job(self, job: _QueuedJob) -> None:
        heap = self._heaps.setdefault(job.team, [])
        heapq.heappush(heap, (job.rank(), job))
        self._shares.activate(job.team)
        self._order.add(job.team)

    def _drop_job(self, job: _QueuedJob) -> None:
        del self._jobs[job.job_id]
        heap = self._heaps[job.team]
        while heap and not heap[0][1].tasks:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[job.team]
            self._order.discard(job.team)

    def _head_job(self) -> _QueuedJob | None:
        team = self._order.first()
        return None if team is None else self._first_job(self._heaps[team])

    def _first_job(
        self, heap: list[tuple[tuple[float, int], _QueuedJob]]
    ) -> _QueuedJob:
        """Return the next job of a team, after updating ranks that have grown."""
        while True:
            rank, job = heap[0]
            current = job.rank()
            if not job.tasks:
                heapq.heappop(heap)
            elif current > rank:
                heapq.heapreplace(heap, (current, job))
            else:
                return job
