"""Admission and execution of jobs that callers submit through a route.

A routed job is run by the entry that admits it.  Its tasks may be retried, but
two runs of a task never overlap.  The job is cancelled when its caller disconnects.
"""

from __future__ import annotations

import asyncio
import itertools
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.named_task import NamedTask
from verbenaplank.agent.named_task import encode_task
from verbenaplank.entry import decision_log
from verbenaplank.entry.effects import JobCompleted
from verbenaplank.entry.submission import Submission
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.failure import RunState
from verbenaplank.overload.admission import overload_refusal
from verbenaplank.overload.expected_wait import ServiceLoad
from verbenaplank.overload.hopeless import latest_start_s
from verbenaplank.overload.retry_after import retry_after_s
from verbenaplank.placement.feasibility import Feasibility
from verbenaplank.placement.task import Resources
from verbenaplank.routing.lookup import RouteLookup
from verbenaplank.routing.table import Route
from verbenaplank.routing.table import RoutingTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.admission.goal_queue import GoalQueue
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.effects import JobOutcome
    from verbenaplank.entry.runner import EngineRunner
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.routing.lookup import RouteMatch

MS_PER_S = 1_000.0
USELESS_AFTER_FACTOR = 3.0
"""A result is useless to its caller after this multiple of the latency goal."""

ESTIMATE_ERROR_FACTOR = 1.4
"""Factor by which the actual run time may exceed a caller's estimate."""

STARTUP_HOLD_S = 2.0
"""For this long after its start, an entry holds jobs instead of refusing them.

It waits until it knows the routes and a backend server, which takes a leader
election and a join; this time is longer than both."""

STARTUP_POLL_S = 0.01
DRAIN_ESTIMATE_FACTOR = 1.5
"""A draining entry refuses a job if this multiple of its estimate exceeds the time
that is left."""

RUN_TIMEOUT_FACTOR = 12.0
"""A run may take this multiple of its estimate, or ``MIN_RUN_TIMEOUT_S`` if longer."""

MIN_RUN_TIMEOUT_S = 4.0


class RoutedJobState(StrEnum):
    """Final state of a routed job.

    ``REFUSED`` means that none of its tasks has run or will run.  ``UNKNOWN``
    means that some tasks may have run, or may still run until their lease expires.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class RoutedOutcome:
    """Outcome of a routed job.

    Attributes
    ----------
    state
        The final state.
    detail
        The reason if the job did not succeed.
    retry_after_s
        Seconds after which a refused job may be sent again, or ``None``.
    """

    state: RoutedJobState
    detail: str = ""
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class RoutedJob:
    """A job of tasks with equal needs, submitted through a route.

    Attributes
    ----------
    key
        The caller's id of the job, unique within the route.
    route
        The route that matched the request.
    tasks
        The tasks, each with its name at the backend server.
    needs
        What each task needs of a worker.
    estimate_s
        The caller's estimate of the run time of a task, in seconds.
    caller_timeout_s
        How long the caller waits for the outcome, in seconds.
    request_id
        The caller's id of this request, used in the log.
    """

    key: str
    route: Route
    tasks: tuple[NamedTask, ...]
    needs: Resources
    estimate_s: float
    caller_timeout_s: float
    request_id: str = ""


class RoutedJobs:
    """Admits and runs the routed jobs of this entry.

    Parameters
    ----------
    runner
        Runs the tasks of admitted jobs.
    fleet
        The agents, with the services and cores that they offer.
    clock
        The monotonic clock, in seconds.
    queue
        The queue whose backlog decides whether a job would wait too long.
    entry_name
        Part of each job id that distinguishes jobs of this entry from others.
    entry_count
        Returns the number of entries that share the agents.
    is_current
        Returns whether the entry has received the newest state since its start.
    time_left_s
        Returns for how many seconds the entry will still run jobs; infinity
        unless it is draining.
    """

    def __init__(
        self,
        *,
        runner: EngineRunner,
        fleet: Fleet,
        clock: MonotonicClock,
        queue: GoalQueue,
        entry_name: str,
        entry_count: Callable[[], int],
        is_current: Callable[[], bool],
        time_left_s: Callable[[], float],
    ) -> None:
        self._runner = runner
        self._fleet = fleet
        self._clock = clock
        self._queue = queue
        self._entry_count = entry_count
        self._entry_name = entry_name
        self._is_current = is_current
        self._time_left_s = time_left_s
        self._startup_ends_s = clock() + STARTUP_HOLD_S
        self._numbers = itertools.count(1)
        self._lookup = RouteLookup(RoutingTable())
        self._running: dict[tuple[str, str], _RunningJob] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def now_s(self) -> float:
        """Return the current time of the monotonic clock, in seconds."""
        return self._clock()

    @property
    def table(self) -> RoutingTable:
        """Return the routing table that this entry uses."""
        return self._lookup.table

    def set_routing_table(self, table: RoutingTable) -> None:
        """Use a routing table if it is newer than the current one."""
        if table.version > self.table.version:
            self._lookup = RouteLookup(table)
            decision_log.routing_in_force(table.version, len(table.routes))

    async def wait_for_routes(self) -> None:
        """Wait for the first routing table.

        Give up ``STARTUP_HOLD_S`` after the start of the entry.
        """
        await self._wait_during_startup(lambda: self.table.version > 0)

    def find_route(self, host: str, path: str) -> RouteMatch | None:
        """Return the route that matches a request, or ``None``."""
        return self._lookup.find(host, path)

    def refusal_for_lag(self, route: Route, key: str) -> RoutedOutcome | None:
        """Return a refusal if this entry's processor is overloaded.

        It needs only the route and the id of a job, so the job is not decoded.
        """
        lag = self._runner.loop_lag
        if not lag.is_overloaded:
            return None
        return RoutedOutcome(
            state=RoutedJobState.REFUSED,
            detail=f"the processor of the entry is {lag.lag_s:.2f} s behind",
            retry_after_s=retry_after_s(lag.lag_s, route.priority, key),
        )

    def is_running(self, route: Route, key: str) -> bool:
        """Return whether a job is in progress at this entry."""
        return (route.name, key) in self._running

    def cancel(self, route: Route, key: str) -> bool:
        """Cancel a job and return whether it was in progress at this entry."""
        running = self._running.get((route.name, key))
        return running is not None and self._runner.cancel(running.job_id)

    async def run(
        self, job: RoutedJob, received_s: float | None = None
    ) -> RoutedOutcome:
        """Run a job and return its outcome, or refuse it.

        If the job is already running at this entry, wait for that run.  The job is
        cancelled when no caller waits for it any more.

        Parameters
        ----------
        received_s
            Monotonic time at which the job was received; now if ``None``.
        """
        if received_s is None:
            received_s = self._clock()
        await self._wait_during_startup(lambda: self._can_run(job.route.service))
        job_key = (job.route.name, job.key)
        running = self._running.get(job_key)
        if running is None:
            refusal = self._refusal(job)
            if refusal is not None:
                return refusal
            running = self._start(job, received_s, job_key)
        else:
            decision_log.job_joined(running.job_id, job.request_id)
        running.waiters += 1
        try:
            return await asyncio.shield(running.outcome)
        finally:
            running.waiters -= 1
            if not (running.waiters or running.outcome.done()):
                self._runner.cancel(running.job_id)

    async def join(self) -> None:
        """Wait until no job is in progress."""
        await self._idle.wait()

    async def _wait_during_startup(self, is_ready: Callable[[], bool]) -> None:
        while self._clock() < self._startup_ends_s and not is_ready():  # noqa: ASYNC110
            await asyncio.sleep(STARTUP_POLL_S)

    def _can_run(self, service: str) -> bool:
        return self._is_current() and self._fleet.slots_of(service) > 0

    def _refusal(self, job: RoutedJob) -> RoutedOutcome | None:
        if not self._is_current():
            return _refused(
                job,
                "the entry has not received the newest state "
                "from a control instance yet",
            )
        time_left_s = self._time_left_s()
        if DRAIN_ESTIMATE_FACTOR * job.estimate_s > time_left_s:
            return _refused(job, f"the entry stops in {time_left_s:.2f} s")
        feasibility = self._fleet.feasibility(job.route.service, job.needs)
        if feasibility is Feasibility.NO_SERVICE:
            return _refused(
                job, f"no backend server currently offers {job.route.service!r}"
            )
        if feasibility is Feasibility.IMPOSSIBLE_NEEDS:
            return _refused(job, "no worker is large enough for a task of this job")
        return self._overload_refusal(job)

    def _overload_refusal(self, job: RoutedJob) -> RoutedOutcome | None:
        """Return a refusal if the job would wait too long to meet its goal."""
        slack_s = self._goal_s(job) - job.estimate_s
        refusal = overload_refusal(self._service_load(job.route), slack_s)
        if refusal is None:
            return None
        return _refused(job, refusal.detail, refusal.wait_s)

    def _service_load(self, route: Route) -> ServiceLoad:
        return ServiceLoad(
            queued_core_s=self._queue.work_ahead_core_s(route.priority),
            occupied_cores=self._fleet.occupied_cores_of(route.service),
            equal_share_cores=self._equal_share_cores(route.service),
            waiting_for_s=self._queue.waiting_for_s(self._clock()),
        )

    def _equal_share_cores(self, service: str) -> float:
        """Return the cores of a service that fall to this entry in equal shares.

        During startup, cores of agents that are not connected yet count too, since
        the entry is about to connect to them.  Later, an entry that is connected to a
        part of the agents shares them with as small a part of the entries.
        """
        entries = max(1, self._entry_count())
        if self._clock() < self._startup_ends_s:
            return self._fleet.announced_cores_of(service) / entries
        sharing = max(1.0, entries * self._fleet.connected_share_of(service))
        return self._fleet.available_cores_of(service) / sharing

    def _goal_s(self, job: RoutedJob) -> float:
        """Return the longest latency that meets the job's goal, in seconds.

        It grows with the run time that the caller estimates.
        """
        return job.route.stretch * job.estimate_s + (
            job.route.target_latency_ms / MS_PER_S
        )

    def _start(
        self, job: RoutedJob, received_s: float, job_key: tuple[str, str]
    ) -> _RunningJob:
        submission = self._submission(job, received_s)
        queued = len(self._queue)
        version = self.table.version
        decision_log.job_admitted(submission, job.request_id, version, queued)
        task = asyncio.get_running_loop().create_task(self._run(submission))
        running = _RunningJob(submission.job_id, task)
        self._running[job_key] = running
        self._idle.clear()
        task.add_done_callback(lambda _: self._remove(job_key))
        return running

    async def _run(self, submission: Submission) -> RoutedOutcome:
        return _routed_outcome(
            await self._runner.run_to_outcome(submission), submission
        )

    def _remove(self, job_key: tuple[str, str]) -> None:
        del self._running[job_key]
        if not self._running:
            self._idle.set()

    def _submission(self, job: RoutedJob, received_s: float) -> Submission:
        goal_s = self._goal_s(job)
        useless_after_s = USELESS_AFTER_FACTOR * goal_s * ESTIMATE_ERROR_FACTOR
        run_timeout_s = max(MIN_RUN_TIMEOUT_S, RUN_TIMEOUT_FACTOR * job.estimate_s)
        deadline_s = received_s + min(job.caller_timeout_s, useless_after_s)
        shortest_run_s = job.estimate_s / ESTIMATE_ERROR_FACTOR
        return Submission(
            job_id=f"{job.key}.{self._entry_name}.{next(self._numbers)}",
            service=job.route.service,
            team=job.route.name,
            digest=b"",
            payloads=tuple(encode_task(task) for task in job.tasks),
            received_s=received_s,
            deadline_s=deadline_s,
            latest_start_s=latest_start_s(deadline_s, shortest_run_s),
            urgent=job.route.priority == 0,
            claimed=False,
            max_runs=max(1, job.route.max_attempts),
            exclusive=True,
            workload=job.route.name,
            priority=job.route.priority,
            goal_s=received_s + goal_s,
            needs=job.needs,
            declared_run_time_s=job.estimate_s,
            run_timeout_ms=run_timeout_s * MS_PER_S,
        )


@attrs.define
class _RunningJob:
    job_id: str
    outcome: asyncio.Task[RoutedOutcome]
    waiters: int = 0


def _refused(job: RoutedJob, detail: str, wait_s: float = 0.0) -> RoutedOutcome:
    return RoutedOutcome(
        state=RoutedJobState.REFUSED,
        detail=detail,
        retry_after_s=retry_after_s(wait_s, job.route.priority, job.key),
    )


def _routed_outcome(outcome: JobOutcome, submission: Submission) -> RoutedOutcome:
    if isinstance(outcome, JobCompleted):
        return RoutedOutcome(state=RoutedJobState.SUCCEEDED)
    failure = outcome.failure
    if failure.kind is FailureKind.TASK_FAILED:
        return RoutedOutcome(state=RoutedJobState.FAILED, detail=failure.detail)
    if failure.run is RunState.NOT_RUN:
        wait_s = failure.retry_after_s or 0.0
        return RoutedOutcome(
            state=RoutedJobState.REFUSED,
            detail=failure.detail,
            retry_after_s=retry_after_s(wait_s, submission.priority, submission.job_id),
        )
    return RoutedOutcome(state=RoutedJobState.UNKNOWN, detail=failure.detail)
