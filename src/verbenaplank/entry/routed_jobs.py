"""Admission and execution of jobs that callers submit through a route.

A routed job is run by the entry that admits it.  Its tasks may be retried, but
two runs of a task never overlap.  The job is cancelled when its caller disconnects.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry import decision_log
from verbenaplank.entry.effects import JobCompleted
from verbenaplank.entry.effects import JobOutcome
from verbenaplank.entry.hopeless_jobs import HopelessJobs
from verbenaplank.entry.jobs import task_request
from verbenaplank.entry.routed_admission import RoutedAdmission
from verbenaplank.entry.routed_job import RoutedJobState
from verbenaplank.entry.routed_job import RoutedOutcome
from verbenaplank.entry.routed_job import apply_remote_factor
from verbenaplank.entry.routed_job import routed_submission
from verbenaplank.entry.service_loads import ServiceLoads
from verbenaplank.entry.state_logging import log_after_sending
from verbenaplank.entry.submission import Submission
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.failure import RunState
from verbenaplank.overload.job_counts import JobCounts
from verbenaplank.overload.job_memory import JobMemory
from verbenaplank.overload.retry_after import retry_after_s
from verbenaplank.routing.lookup import RouteLookup
from verbenaplank.routing.table import RoutingTable
from verbenaplank.routing.weighing import weighs_waits

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.admission.goal_queue import GoalQueue
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.routed_job import RoutedJob
    from verbenaplank.entry.runner import EngineRunner
    from verbenaplank.entry.service_loads import EntryView
    from verbenaplank.overload.loop_lag import LoopLag
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.routing.lookup import RouteMatch
    from verbenaplank.routing.table import Route

STARTUP_HOLD_S = 2.0
"""For this long after its start, an entry holds jobs instead of refusing them.

It waits until it knows the routes and a backend server, which takes a leader
election and a join; this time is longer than both."""

STARTUP_POLL_S = 0.01


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
    view
        The state of the entry.
    remote_factor
        How many times longer a task takes outside the rack that it prefers.
    max_memory_bytes
        Memory that the jobs in progress may take together.
    counts
        Counts what becomes of the jobs.

    Attributes
    ----------
    weighs_waits
        Whether the jobs of any route weigh their waits.
    """

    def __init__(
        self,
        *,
        runner: EngineRunner,
        fleet: Fleet,
        clock: MonotonicClock,
        queue: GoalQueue,
        entry_name: str,
        view: EntryView,
        max_memory_bytes: int,
        remote_factor: float = 1.0,
        counts: JobCounts | None = None,
    ) -> None:
        self.counts = counts or JobCounts()
        self._runner = runner
        self._fleet = fleet
        self._clock = clock
        self._queue = queue
        self._entry_name = entry_name
        self._view = view
        self._remote_factor = remote_factor
        self._startup_ends_s = clock() + STARTUP_HOLD_S
        loads = ServiceLoads(
            fleet=fleet,
            queue=queue,
            clock=clock,
            view=view,
            startup_ends_s=self._startup_ends_s,
        )
        self._memory = JobMemory(max_memory_bytes)
        self._admission = RoutedAdmission(
            fleet=fleet,
            loads=loads,
            loop_lag=runner.loop_lag,
            view=view,
            memory=self._memory,
        )
        engine = runner.engine
        engine.set_hopeless_finder(
            HopelessJobs(
                queue=queue,
                jobs=engine.jobs,
                dispatch_table=engine.dispatch_table,
                loads=loads,
                fleet=fleet,
            ).find
        )
        queue.has_started = engine.dispatch_table.may_have_started
        self._numbers = itertools.count(1)
        self._lookup = RouteLookup(RoutingTable())
        self.weighs_waits = False
        self._running: dict[tuple[str, str], _RunningJob] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def now_s(self) -> float:
        """Return the current time of the monotonic clock, in seconds."""
        return self._clock()

    @property
    def loop_lag(self) -> LoopLag:
        """Return how far the entry's event loop is behind."""
        return self._runner.loop_lag

    @property
    def table(self) -> RoutingTable:
        """Return the routing table that this entry uses."""
        return self._lookup.table

    def set_routing_table(self, table: RoutingTable) -> None:
        """Use a routing table if it is newer than the current one."""
        if table.version > self.table.version:
            self._lookup = RouteLookup(table)
            self.weighs_waits = any(
                weighs_waits(route, self._remote_factor) for route in table.routes
            )
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

        A job that is in progress at this entry is not refused.
        """
        if self.is_running(route, key):
            return None
        refusal = self._admission.refusal_for_lag(route, key)
        if refusal is not None:
            self._count(route, refusal)
        return refusal

    def is_running(self, route: Route, key: str) -> bool:
        """Return whether a job is in progress at this entry."""
        return (route.name, key) in self._running

    def cancel(self, route_name: str, key: str) -> bool:
        """Cancel a job and return whether it was in progress at this entry."""
        running = self._running.get((route_name, key))
        if running is None:
            return False
        return self._runner.cancel(running.submission.job_id)

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
            job = apply_remote_factor(job, self._remote_factor)
            refusal = self._admission.refusal(job)
            if refusal is not None:
                self._count(job.route, refusal)
                return refusal
            running = self._start(job, received_s, job_key)
        else:
            decision_log.job_joined(running.submission.job_id, job.request_id)
        running.waiters += 1
        try:
            outcome = await asyncio.shield(running.outcome)
            return _routed_outcome(outcome, running.submission)
        finally:
            running.waiters -= 1
            if not (running.waiters or running.outcome.done()):
                self._runner.cancel(running.submission.job_id)

    async def join(self) -> None:
        """Wait until no job is in progress."""
        await self._idle.wait()

    async def _wait_during_startup(self, is_ready: Callable[[], bool]) -> None:
        while self._clock() < self._startup_ends_s and not is_ready():  # noqa: ASYNC110
            await asyncio.sleep(STARTUP_POLL_S)

    def _can_run(self, service: str) -> bool:
        return self._view.is_current() and self._fleet.capacity.slots_of(service) > 0

    def _start(
        self, job: RoutedJob, received_s: float, job_key: tuple[str, str]
    ) -> _RunningJob:
        job_id = f"{job.key}.{self._entry_name}.{next(self._numbers)}"
        submission = routed_submission(
            job,
            job_id,
            received_s,
            weighs_waits=weighs_waits(job.route, self._remote_factor),
        )
        if submission.weighs_waits:
            first = task_request(submission, 0)
            self._queue.record_arrival(first, len(job.tasks), self._clock())
        queued = len(self._queue)
        outcome = self._runner.start(submission)
        running = _RunningJob(submission, outcome, job.size_bytes)
        self._memory.add(running.size_bytes)
        self._running[job_key] = running
        self._idle.clear()
        outcome.add_done_callback(
            lambda done: self._on_ended(job_key, job.route, submission, done)
        )
        log_after_sending(
            decision_log.job_admitted,
            submission,
            job.request_id,
            self.table.version,
            queued,
        )
        return running

    def _on_ended(
        self,
        job_key: tuple[str, str],
        route: Route,
        submission: Submission,
        done: asyncio.Future[JobOutcome],
    ) -> None:
        self._remove(job_key)
        if done.cancelled():
            return
        within_goal = self._clock() <= submission.goal_s
        outcome = _routed_outcome(done.result(), submission)
        self._count(route, outcome, within_goal=within_goal)

    def _count(
        self, route: Route, outcome: RoutedOutcome, *, within_goal: bool = False
    ) -> None:
        if outcome.cause is not None:
            self.counts.record_refused(route.name, route.priority, outcome.cause)
        elif outcome.state is RoutedJobState.SUCCEEDED:
            self.counts.record_served(
                route.name, route.priority, within_goal=within_goal
            )

    def _remove(self, job_key: tuple[str, str]) -> None:
        self._memory.remove(self._running.pop(job_key).size_bytes)
        if not self._running:
            self._idle.set()


@attrs.define
class _RunningJob:
    submission: Submission
    outcome: asyncio.Future[JobOutcome]
    size_bytes: int
    waiters: int = 0


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
            cause=failure.cause,
        )
    return RoutedOutcome(state=RoutedJobState.UNKNOWN, detail=failure.detail)
