"""Decides whether an entry admits a job that a caller submits through a route."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry.routed_job import RoutedJobState
from verbenaplank.entry.routed_job import RoutedOutcome
from verbenaplank.overload.admission import overload_refusal
from verbenaplank.overload.expected_wait import ServiceLoad
from verbenaplank.overload.retry_after import retry_after_s
from verbenaplank.placement.feasibility import Feasibility

if TYPE_CHECKING:
    from verbenaplank.admission.goal_queue import GoalQueue
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.routed_job import RoutedJob
    from verbenaplank.overload.loop_lag import LoopLag
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.routing.table import Route

DRAIN_ESTIMATE_FACTOR = 1.5
"""A draining entry refuses a job if this multiple of its estimate exceeds the time
that is left."""

RESTART_WAIT_S = 2.0
"""Usual time that a backend server takes to restart."""


@attrs.frozen(kw_only=True)
class EntryView:
    """What an entry knows of itself and of the other entries.

    Attributes
    ----------
    entry_count
        Returns the number of entries that share the agents.
    is_current
        Returns whether the entry has received the newest state since its start.
    time_left_s
        Returns for how many seconds the entry will still run jobs; infinity
        unless it is draining.
    """

    entry_count: Callable[[], int]
    is_current: Callable[[], bool]
    time_left_s: Callable[[], float]


class RoutedAdmission:
    """Admits or refuses routed jobs.

    Parameters
    ----------
    fleet
        The agents, with the services and cores that they offer.
    queue
        The queue whose backlog decides whether a job would wait too long.
    clock
        The monotonic clock, in seconds.
    loop_lag
        How far the entry's event loop is behind.
    view
        The state of the entry.
    startup_ends_s
        Monotonic time until which the entry is about to connect to its agents.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        queue: GoalQueue,
        clock: MonotonicClock,
        loop_lag: LoopLag,
        view: EntryView,
        startup_ends_s: float,
    ) -> None:
        self._fleet = fleet
        self._queue = queue
        self._clock = clock
        self._loop_lag = loop_lag
        self._view = view
        self._startup_ends_s = startup_ends_s

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
        refusal = overload_refusal(self._service_load(job.route), job.slack_s)
        if refusal is None:
            return None
        return _refused(job, refusal.detail, refusal.wait_s)

    def _service_load(self, route: Route) -> ServiceLoad:
        pool = self._fleet.pool_of(route.service, route.name)
        return ServiceLoad(
            queued_core_s=self._queue.work_ahead_core_s(route.priority, pool),
            occupied_cores=self._fleet.capacity.occupied_cores_of(
                route.service, route.name
            ),
            equal_share_cores=self._equal_share_cores(route),
            waiting_for_s=self._queue.waiting_for_s(self._clock()),
        )

    def _equal_share_cores(self, route: Route) -> float:
        """Return the cores for a route that fall to this entry in equal shares.

        During startup, cores of agents that are not connected yet count too, since
        the entry is about to connect to them.  Later, an entry that is connected to a
        part of the agents shares them with as small a part of the entries.
        """
        service = route.service
        entries = max(1, self._view.entry_count())
        if self._clock() < self._startup_ends_s:
            return self._fleet.capacity.announced_cores_of(service) / entries
        sharing = max(1.0, entries * self._fleet.capacity.connected_share_of(service))
        return self._fleet.capacity.available_cores_of(service, route.name) / sharing


def _refused(job: RoutedJob, detail: str, wait_s: float = 0.0) -> RoutedOutcome:
    return RoutedOutcome(
        state=RoutedJobState.REFUSED,
        detail=detail,
        retry_after_s=retry_after_s(wait_s, job.route.priority, job.key),
    )
