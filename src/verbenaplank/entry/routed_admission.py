"""Decides whether an entry admits a job that a caller submits through a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.entry.admission_path import AdmissionPath
from verbenaplank.entry.admission_path import Candidate
from verbenaplank.entry.routed_job import RoutedJobState
from verbenaplank.entry.routed_job import RoutedOutcome
from verbenaplank.entry.routed_job import routed_task
from verbenaplank.overload.admission import overload_refusal
from verbenaplank.overload.refusal import Refusal
from verbenaplank.overload.refusal import RefusalCause
from verbenaplank.overload.retry_after import retry_after_s

if TYPE_CHECKING:
    from verbenaplank.entry.routed_job import RoutedJob
    from verbenaplank.entry.service_loads import EntryView
    from verbenaplank.entry.service_loads import ServiceLoads
    from verbenaplank.overload.expected_end import QueueAhead
    from verbenaplank.overload.job_memory import JobMemory
    from verbenaplank.overload.loop_lag import LoopLag
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.placement.room import CapacityUse
    from verbenaplank.routing.table import Route

DRAIN_ESTIMATE_FACTOR = 1.5
"""A draining entry refuses a job if this multiple of its estimate exceeds the time
that is left."""


class RoutedAdmission:
    """Admits or refuses routed jobs.

    Parameters
    ----------
    fleet
        The agents, with the services and cores that they offer.
    loads
        The load of each service, which decides whether a job would wait too long.
    loop_lag
        How far the entry's event loop is behind.
    view
        The state of the entry.
    memory
        The memory of the jobs in progress.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        loads: ServiceLoads,
        loop_lag: LoopLag,
        view: EntryView,
        memory: JobMemory,
    ) -> None:
        self._memory = memory
        self._loads = loads
        self._loop_lag = loop_lag
        self._view = view
        self._path = AdmissionPath(
            fleet=fleet,
            is_waiting=lambda: len(loads.queue) > 0,
            queue_ahead=self._queue_ahead,
            present_limit=self._present_limit,
        )

    def refusal_for_lag(self, route: Route, key: str) -> RoutedOutcome | None:
        """Return a refusal if this entry's processor is overloaded.

        It needs only the route and the id of a job, so the job is not decoded.
        """
        lag = self._loop_lag
        if not lag.is_overloaded:
            return None
        refusal = Refusal(
            cause=RefusalCause.EVENT_LOOP,
            detail=f"the processor of the entry is {lag.lag_s:.2f} s behind",
            wait_s=lag.lag_s,
        )
        return _refused(refusal, route.priority, key)

    def refusal(self, job: RoutedJob) -> RoutedOutcome | None:
        """Return why a job is refused now, or ``None`` to admit it."""
        now_s = self._loads.clock()
        candidate = Candidate(
            task=routed_task(job, now_s),
            tasks=len(job.tasks),
            goal_in_s=job.goal_s,
            useless_in_s=job.useless_after_s,
        )
        refusal = (
            self._entry_refusal(job)
            or self._memory_refusal(job)
            or self._path.refusal(candidate, now_s)
        )
        if refusal is None:
            return None
        return _refused(refusal, job.route.priority, job.key)

    def _entry_refusal(self, job: RoutedJob) -> Refusal | None:
        detail = ""
        time_left_s = self._view.time_left_s()
        if not self._view.is_current():
            detail = (
                "the entry has not received the newest state "
                "from a control instance yet"
            )
        elif DRAIN_ESTIMATE_FACTOR * job.estimate_s > time_left_s:
            detail = f"the entry stops in {time_left_s:.2f} s"
        if not detail:
            return None
        return Refusal(cause=RefusalCause.NOT_READY, detail=detail)

    def _memory_refusal(self, job: RoutedJob) -> Refusal | None:
        if self._memory.has_room(job.size_bytes):
            return None
        return Refusal(
            cause=RefusalCause.QUEUE_FULL,
            detail="the jobs in progress at the entry use up its memory",
        )

    def _queue_ahead(
        self, candidate: Candidate, use: CapacityUse, now_s: float
    ) -> QueueAhead:
        return self._loads.queue_ahead(candidate.task, use)

    def _present_limit(self, candidate: Candidate, now_s: float) -> Refusal | None:
        """Return a refusal if a job would wait too long to meet its goal."""
        task = candidate.task
        load = self._loads.load_of(task.service, task.workload, task.priority)
        slack_s = candidate.goal_in_s - task.declared_run_time_s
        refusal = overload_refusal(load, slack_s)
        if refusal is None:
            return None
        return Refusal(
            cause=RefusalCause.NO_CAPACITY,
            detail=refusal.detail,
            wait_s=refusal.wait_s,
        )


def _refused(refusal: Refusal, priority: int, key: str) -> RoutedOutcome:
    return RoutedOutcome(
        state=RoutedJobState.REFUSED,
        detail=refusal.detail,
        retry_after_s=retry_after_s(refusal.wait_s, priority, key),
        cause=refusal.cause,
    )
