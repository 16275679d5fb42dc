"""Decides whether an entry admits a job that a caller submits through a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.entry.routed_job import RoutedJobState
from verbenaplank.entry.routed_job import RoutedOutcome
from verbenaplank.entry.routed_job import routed_task
from verbenaplank.overload.admission import overload_refusal
from verbenaplank.overload.expected_end import JobOutlook
from verbenaplank.overload.expected_end import expected_end_refusal
from verbenaplank.overload.retry_after import retry_after_s
from verbenaplank.placement.feasibility import Feasibility

if TYPE_CHECKING:
    from verbenaplank.entry.routed_job import RoutedJob
    from verbenaplank.entry.service_loads import EntryView
    from verbenaplank.entry.service_loads import ServiceLoads
    from verbenaplank.overload.loop_lag import LoopLag
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.routing.table import Route

DRAIN_ESTIMATE_FACTOR = 1.5
"""A draining entry refuses a job if this multiple of its estimate exceeds the time
that is left."""

RESTART_WAIT_S = 2.0
"""Usual time that a backend server takes to restart."""


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
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        loads: ServiceLoads,
        loop_lag: LoopLag,
        view: EntryView,
    ) -> None:
        self._fleet = fleet
        self._loads = loads
        self._loop_lag = loop_lag
        self._view = view

    def refusal_for_lag(self, route: Route, key: str) -> RoutedOutcome | None:
        """Return a refusal if this entry's processor is overloaded.

        It needs only the route and the id of a job, so the job is not decoded.
        """
        lag = self._loop_lag
        if not lag.is_overloaded:
            return None
        return RoutedOutcome(
            state=RoutedJobState.REFUSED,
            detail=f"the processor of the entry is {lag.lag_s:.2f} s behind",
            retry_after_s=retry_after_s(lag.lag_s, route.priority, key),
        )

    def refusal(self, job: RoutedJob) -> RoutedOutcome | None:
        """Return why a job is refused now, or ``None`` to admit it."""
        if not self._view.is_current():
            return _refused(
                job,
                "the entry has not received the newest state "
                "from a control instance yet",
            )
        time_left_s = self._view.time_left_s()
        if DRAIN_ESTIMATE_FACTOR * job.estimate_s > time_left_s:
            return _refused(job, f"the entry stops in {time_left_s:.2f} s")
        feasibility = self._fleet.capacity.feasibility(job.route.service, job.needs)
        if feasibility is Feasibility.NO_SERVICE:
            return _refused(
                job, f"no backend server currently offers {job.route.service!r}"
            )
        if feasibility is Feasibility.IMPOSSIBLE_NEEDS:
            return _refused(job, "no worker is large enough for a task of this job")
        return self._crash_refusal(job) or self._overload_refusal(job)

    def _crash_refusal(self, job: RoutedJob) -> RoutedOutcome | None:
        """Return a refusal if no backend server of a confined workload is left."""
        route = job.route
        if not self._fleet.pool_of(route.service, route.name):
            return None
        if self._fleet.capacity.available_cores_of(route.service, route.name) > 0.0:
            return None
        detail = "the backend servers of the route have crashed and are restarting"
        return _refused(job, detail, RESTART_WAIT_S)

    def _overload_refusal(self, job: RoutedJob) -> RoutedOutcome | None:
        """Return a refusal if the job would wait too long to meet its goal."""
        if job.weighs_waits:
            return self._expected_end_refusal(job)
        route = job.route
        load = self._loads.load_of(route.service, route.name, route.priority)
        refusal = overload_refusal(load, job.slack_s)
        if refusal is None:
            return None
        return _refused(job, refusal.detail, refusal.wait_s)

    def _expected_end_refusal(self, job: RoutedJob) -> RoutedOutcome | None:
        now_s = self._loads.clock()
        task = routed_task(job, now_s)
        use = self._fleet.capacity_use(task, now_s, job.useless_after_s)
        outlook = JobOutlook(
            tasks=len(job.tasks),
            task_units=job.needs.cores,
            run_s=self._fleet.expected_run_time_s(task),
            goal_in_s=job.goal_s,
            useless_in_s=job.useless_after_s,
        )
        refusal = expected_end_refusal(outlook, self._loads.queue_ahead(task), use)
        if refusal is None:
            return None
        return _refused(job, refusal.detail, refusal.wait_s)


def _refused(job: RoutedJob, detail: str, wait_s: float = 0.0) -> RoutedOutcome:
    return RoutedOutcome(
        state=RoutedJobState.REFUSED,
        detail=detail,
        retry_after_s=retry_after_s(wait_s, job.route.priority, job.key),
    )
