"""The steps of admission that all interfaces of an entry share, in their order."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry.evacuated_jobs import EVACUATED_DETAIL
from verbenaplank.overload.expected_end import JobOutlook
from verbenaplank.overload.expected_end import QueueAhead
from verbenaplank.overload.expected_end import expected_end_refusal
from verbenaplank.overload.refusal import Refusal
from verbenaplank.overload.refusal import RefusalCause
from verbenaplank.placement.feasibility import Feasibility
from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.overload.hopeless import PoolKey
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.placement.room import CapacityUse

OBSERVATION_PERIOD_S = 0.5
"""Longest time between two looks at the use of all servers while jobs arrive.

A fraction of the time over which the entry's share of it is averaged."""

RESTART_WAIT_S = 2.0
"""Usual time that a backend server takes to restart."""


@attrs.frozen(kw_only=True)
class Candidate:
    """A job that an entry may admit.

    Attributes
    ----------
    task
        The request of one of its tasks, which are equal.
    tasks
        Number of its tasks.
    goal_in_s, useless_in_s
        Seconds until its answer is late, and until it is useless.
    """

    task: TaskRequest
    tasks: int
    goal_in_s: float
    useless_in_s: float


class AdmissionPath:
    """Decides whether the backend servers and the queue allow for a job.

    Parameters
    ----------
    fleet
        The agents, with the services and capacity that they offer.
    is_waiting
        Returns whether any task is queued at the entry.
    queue_ahead
        Returns the queue ahead of a new job that weighs its wait, given the use of the
        backend servers.
    present_limit
        Returns why a job that does not weigh its wait is refused, or ``None``.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        is_waiting: Callable[[], bool],
        queue_ahead: Callable[[Candidate, CapacityUse, float], QueueAhead],
        present_limit: Callable[[Candidate, float], Refusal | None],
    ) -> None:
        self._fleet = fleet
        self._queue_ahead = queue_ahead
        self._present_limit = present_limit
        self._is_waiting = is_waiting
        self._observed_s: dict[PoolKey, float] = {}

    def refusal(self, candidate: Candidate, now_s: float) -> Refusal | None:
        """Return why a job is refused now, or ``None`` to admit it."""
        refusal = self._server_refusal(candidate.task)
        if refusal is not None:
            return refusal
        if candidate.task.weighs_waits:
            return self._late_end_refusal(candidate, now_s)
        return self._present_limit(candidate, now_s)

    def _server_refusal(self, task: TaskRequest) -> Refusal | None:
        capacity = self._fleet.capacity
        feasibility = capacity.feasibility(task.service, task.needs)
        if feasibility is Feasibility.NO_SERVICE:
            detail = f"no backend server currently offers {task.service!r}"
            return Refusal(cause=RefusalCause.NO_SERVER, detail=detail)
        if feasibility is Feasibility.EVACUATED:
            return Refusal(cause=RefusalCause.EVACUATED, detail=EVACUATED_DETAIL)
        if feasibility is Feasibility.IMPOSSIBLE_NEEDS:
            detail = "no worker is large enough for a task of this job"
            return Refusal(cause=RefusalCause.TOO_LARGE, detail=detail)
        if not self._fleet.pool_of_task(task):
            return None
        if capacity.available_cores_of(task.service, task.workload) > 0.0:
            return None
        return Refusal(
            cause=RefusalCause.NO_SERVER,
            detail="the backend servers of the route have crashed and are restarting",
            wait_s=RESTART_WAIT_S,
        )

    def _late_end_refusal(self, candidate: Candidate, now_s: float) -> Refusal | None:
        task = candidate.task
        if not self._begin_observation(task, now_s) and self._has_room(
            candidate, now_s
        ):
            return None
        outlook = JobOutlook(
            tasks=candidate.tasks,
            task_units=task.needs.cores or 1.0,
            run_s=self._fleet.expected_run_time_s(task),
            goal_in_s=candidate.goal_in_s,
            useless_in_s=candidate.useless_in_s,
        )
        use = self._fleet.capacity_use(task, now_s, candidate.useless_in_s)
        queue = self._queue_ahead(candidate, use, now_s)
        refusal = expected_end_refusal(outlook, queue, use)
        if refusal is None:
            return None
        cause = RefusalCause.NO_CAPACITY
        if refusal.is_capacity_elsewhere:
            cause = RefusalCause.CAPACITY_ELSEWHERE
        return Refusal(cause=cause, detail=refusal.detail, wait_s=refusal.wait_s)

    def _has_room(self, candidate: Candidate, now_s: float) -> bool:
        """Return whether nothing waits and the whole job has free capacity.

        It spares the sums over all servers while there is no shortage.
        """
        if self._is_waiting():
            return False
        return self._fleet.has_room(
            candidate.task, candidate.tasks, now_s, candidate.useless_in_s
        )

    def _begin_observation(self, task: TaskRequest, now_s: float) -> bool:
        """Record an observation of the servers of a task if one is due.

        Returns
        -------
        bool
            Whether one is due, so that the use of all of them is to be looked at now.
        """
        pool = (task.service, self._fleet.pool_of_task(task))
        if now_s < self._observed_s.get(pool, -math.inf) + OBSERVATION_PERIOD_S:
            return False
        self._observed_s[pool] = now_s
        return True
