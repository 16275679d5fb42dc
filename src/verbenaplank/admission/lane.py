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
    from verbenaplank.placement.task import Needs

Shape = tuple[str, "Needs", frozenset[str]]
"""What decides where a task may run."""

Rank = tuple[float, int]
"""When a job's turn comes: the lowest first; the number breaks ties."""


def shape_of(task: TaskRequest) -> Shape:
    """Return the shape of a task."""
    return (task.service, task.needs, task.avoided_members)


@attrs.define(eq=False)
class _QueuedJob:
    job_id: str
    team: str
    tasks: deque[TaskRequest] = attrs.field(factory=deque)


class Lane:
    """Queued tasks of one shape, by team, and within a team by job."""

    def __init__(self, shape: Shape, shares: FairShares) -> None:
        self.shape = shape
        self._order = TeamOrder(shares)
        self._shares = shares
        self._jobs: dict[str, _QueuedJob] = {}
        self._heaps: dict[str, list[tuple[Rank, _QueuedJob]]] = {}

    def __bool__(self) -> bool:
        return bool(self._jobs)

    def has_job(self, job_id: str) -> bool:
        """Return whether tasks of a job wait here."""
        return job_id in self._jobs

    def push(self, task: TaskRequest, rank: Rank) -> None:
        """Add a task; the rank counts for the first task of its job."""
        job = self._jobs.get(task.job_id)
        if job is None:
            job = _QueuedJob(task.job_id, task.team)
            self._jobs[task.job_id] = job
            self._push_job(job, rank)
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

    def _push_job(self, job: _QueuedJob, rank: Rank) -> None:
        heap = self._heaps.setdefault(job.team, [])
        heapq.heappush(heap, (rank, job))
        self._shares.enter(job.team)
        self._order.add(job.team)

    def _remove(self, job: _QueuedJob) -> None:
        del self._jobs[job.job_id]
        self._drop_ended(job.team)

    def _drop_ended(self, team: str) -> None:
        heap = self._heaps[team]
        while heap and not heap[0][1].tasks:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[team]
            self._order.discard(team)

    def _head_job(self) -> _QueuedJob | None:
        team = self._order.first()
        return None if team is None else self._heaps[team][0][1]
