"""Hedging: a second run of an idempotent request that is unusually slow."""

from __future__ import annotations

from collections import defaultdict
from collections import deque
from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry.timer_queue import TimerQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.admission.budget import StartBudget
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.dispatch_table import DispatchTable
    from verbenaplank.entry.jobs import JobTable
    from verbenaplank.placement.task import TaskRequest

HEDGE_QUANTILE = 0.95
REMEMBERED_LATENCIES = 256
MIN_LATENCIES = 20
"""Requests of a service are not hedged before this many latencies are recorded."""


class Latencies:
    """Keeps the most recent latencies from dispatch to result of each service."""

    def __init__(self) -> None:
        self._seconds: dict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=REMEMBERED_LATENCIES)
        )

    def record(self, service: str, latency_s: float) -> None:
        """Record the latency of one task, in seconds."""
        self._seconds[service].append(latency_s)

    def hedge_delay_s(self, service: str) -> float | None:
        """Return the delay after which a task is hedged, in seconds.

        This is the ``HEDGE_QUANTILE`` of the recorded latencies, or ``None`` if too
        few are known.
        """
        known = self._seconds.get(service)
        if known is None or len(known) < MIN_LATENCIES:
            return None
        return sorted(known)[int(HEDGE_QUANTILE * len(known))]


class Hedger:
    """Dispatches a second run of a task when the first one is slow.

    Only requests that may run more than once are hedged, and the budget limits
    hedged runs to a small share of the first runs.
    """

    def __init__(
        self, *, jobs: JobTable, dispatch_table: DispatchTable, budget: StartBudget
    ) -> None:
        self.latencies = Latencies()
        self._jobs = jobs
        self._dispatch_table = dispatch_table
        self._budget = budget
        self._watched: TimerQueue[DispatchRecord] = TimerQueue()

    def watch(self, record: DispatchRecord) -> None:
        """Schedule a dispatch for hedging if its job allows a second run."""
        job = self._jobs.find_running(record.task.job_id)
        if job is None or job.submission.exclusive:
            return
        if job.runs >= job.submission.max_runs:
            return
        hedge_delay_s = self.latencies.hedge_delay_s(record.task.service)
        if hedge_delay_s is not None:
            self._watched.add(record, record.sent_s + hedge_delay_s)

    def hedge_due(
        self, now_s: float, place: Callable[[TaskRequest, float], bool]
    ) -> None:
        """Dispatch second runs of the tasks whose hedge delay has passed.

        Parameters
        ----------
        now_s
            Monotonic time in seconds.
        place
            Takes a task and the current time, dispatches the task to another agent
            and returns whether one could take it.
        """
        for record in self._watched.pop_due(now_s):
            self._hedge(record, now_s, place)

    def _hedge(
        self,
        record: DispatchRecord,
        now_s: float,
        place: Callable[[TaskRequest, float], bool],
    ) -> None:
        task = record.task
        job = self._jobs.find_running(task.job_id)
        if job is None or self._dispatch_table.open_for_task(
            task.job_id, task.task_index
        ) != (record,):
            return
        if job.runs >= job.submission.max_runs or not self._budget.try_take():
            return
        job.runs += 1
        avoided = task.avoided_members | {record.agent_id}
        hedged = attrs.evolve(task, attempt=job.runs, avoided_members=avoided)
        if not place(hedged, now_s):
            job.runs -= 1
