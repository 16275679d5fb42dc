"""Builds and connects the components of an entry that schedule and record its jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.admission.budget import hedge_budget
from verbenaplank.admission.budget import retry_budget
from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.admission.queue import TaskQueue
from verbenaplank.entry.admission_control import AdmissionController
from verbenaplank.entry.engine import Engine
from verbenaplank.entry.readiness import EntryStatus
from verbenaplank.entry.registry import RequestRegistry
from verbenaplank.entry.routed_jobs import RoutedJobs
from verbenaplank.entry.runner import EngineRunner
from verbenaplank.entry.state_logging import PlacementLogBuffer
from verbenaplank.history.event import Event
from verbenaplank.history.event import EventKind
from verbenaplank.history.event import ignore_event
from verbenaplank.overload.job_counts import JobCounts
from verbenaplank.overload.lag_readiness import LagReadiness
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.settings import PlacementSettings

if TYPE_CHECKING:
    import random as random_module

    from verbenaplank.admission.queue_protocol import TaskQueueProtocol
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.service_loads import EntryView
    from verbenaplank.history.event import EventHook
    from verbenaplank.placement.policy import Policy
    from verbenaplank.settings.entry import EntrySettings

MAX_RECORDS = 1_000_000
MAX_RESPONSE_BYTES = 256 * 1024 * 1024


class EntryComponents:
    """Owns the components of one entry, without its connections.

    Parameters
    ----------
    settings
        Limits and placement parameters of the entry.
    policy
        Chooses an agent for each task.
    record
        Called with an event for each dispatch.
    clock
        The monotonic clock, in seconds.
    random
        Source of randomness.
    order_by_goal
        Whether the queue is ordered by priority and latency goal, as routes set
        them, instead of by urgency and team.
    entry_name
        Prefix that tells the routed jobs of two entries apart.
    view
        What the entry knows of itself and of the other entries.

    Attributes
    ----------
    status
        Readiness, lease and team weights of the entry.
    fleet
        The backend servers known to the entry.
    goals
        The queue ordered by goal, which counts the waiting routed jobs.
    queue
        The tasks that wait for an agent; the same as ``goals`` if ordered by goal.
    job_counts
        Counts of refused and served jobs.
    admission
        Admits the requests of the entry's own HTTP interface.
    engine
        The scheduling state machine.
    runner
        Runs the engine in the event loop.
    registry
        The requests of the HTTP interface and their responses.
    routed
        Runs the jobs that callers submit through a route.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        policy: Policy,
        record: EventHook,
        clock: MonotonicClock,
        random: random_module.Random,
        order_by_goal: bool,
        entry_name: str,
        view: EntryView,
    ) -> None:
        self._instance_id = settings.instance_id
        self._record = record
        self._clock = clock
        self._lag_readiness = LagReadiness(random.random)
        self._placements = PlacementLogBuffer()
        self.status = EntryStatus(clock, self._is_lagging)
        placement = PlacementSettings(cold_factor=settings.placement.cold_factor)
        self.fleet = Fleet(policy, random, settings.data_centre, placement)
        run_time_s = self.fleet.expected_run_time_s
        self.goals = GoalQueue(run_time_s, self.fleet.pool_of_task)
        self.queue: TaskQueueProtocol = self.goals
        if not order_by_goal:
            self.queue = TaskQueue(self.status.team_weight, run_time_s)
        self.job_counts = JobCounts()
        self.admission = AdmissionController(
            self.fleet, self.queue, settings.limits.max_queued_tasks, self.job_counts
        )
        self.engine = Engine(
            fleet=self.fleet,
            queue=self.queue,
            retry_budget=retry_budget(),
            hedge_budget=hedge_budget(),
            lease_held_since=self.status.lease_held_since,
            on_dispatch=self._on_dispatch,
            random=random,
        )
        self.runner = EngineRunner(self.engine, clock)
        self.registry = RequestRegistry(
            max_records=MAX_RECORDS, max_response_bytes=MAX_RESPONSE_BYTES
        )
        self.routed = RoutedJobs(
            runner=self.runner,
            fleet=self.fleet,
            clock=clock,
            queue=self.goals,
            entry_name=entry_name,
            view=view,
            max_memory_bytes=settings.clients.max_memory_bytes,
            remote_factor=settings.placement.remote_factor,
            counts=self.job_counts,
        )

    def _on_dispatch(self, dispatch: DispatchRecord) -> None:
        now_s = self._clock()
        self.admission.count_dispatch(now_s)
        task, agent_id = dispatch.task, dispatch.agent_id
        age_ms = self.fleet.report_age_ms(agent_id, now_s)
        placement = (task.task_index, task.attempt, agent_id, age_ms)
        self._placements.add(task.job_id, placement)
        if self._record is ignore_event:
            return
        self._record(
            Event(
                kind=EventKind.DISPATCHED,
                time_s=now_s,
                process=self._instance_id,
                job_id=task.job_id,
                task_index=task.task_index,
                attempt=task.attempt,
                detail=agent_id,
            )
        )

    def _is_lagging(self) -> bool:
        if not self.routed.weighs_waits:
            return False
        lag_s = self.runner.loop_lag.lag_s
        return not self._lag_readiness.update(lag_s, self._clock())
