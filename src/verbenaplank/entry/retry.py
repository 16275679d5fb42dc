"""Requeues tasks whose dispatch was refused, and retries tasks whose run failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry.timer_queue import TimerQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.admission.budget import StartBudget
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.dispatch_table import DispatchTable
    from verbenaplank.entry.holding_queue import HoldingQueue
    from verbenaplank.entry.jobs import Job
    from verbenaplank.placement.task import TaskRequest

REFUSAL_BACKOFF_S = 0.05
"""Delay before a task is requeued after the same agent refused or revoked it again."""


class RetryQueue:
    """Requeues tasks and limits the number of runs of each."""

    def __init__(
        self,
        *,
        dispatch_table: DispatchTable,
        queue: HoldingQueue,
        budget: StartBudget,
    ) -> None:
        self._dispatch_table = dispatch_table
        self._queue = queue
        self._budget = budget
        self._delayed: TimerQueue[TaskRequest] = TimerQueue()

    def requeue_unstarted(
        self, job: Job, record: DispatchRecord, now_s: float, *, avoid: bool = True
    ) -> None:
        """Requeue a task whose dispatch never started, under the same attempt.

        A run whose task has another open dispatch is not requeued, and it no longer
        counts towards the job's maximum number of runs.

        Parameters
        ----------
        avoid
            Whether the task prefers other agents from now on; otherwise the same one
            may be chosen.
        """
        task = record.task
        if not avoid:
            self._queue.push(task, now_s)
            return
        if job.runs > 1 and self._dispatch_table.open_for_task(
            task.job_id, task.task_index
        ):
            job.runs -= 1
            return
        avoided = task.avoided_members | {record.agent_id}
        requeued = attrs.evolve(task, avoided_members=avoided)
        if record.agent_id in task.avoided_members:
            self._delayed.add(requeued, now_s + REFUSAL_BACKOFF_S)
            return
        self._queue.push(requeued, now_s)

    def requeue_due(self, now_s: float, is_running: Callable[[str], bool]) -> None:
        """Requeue the tasks whose delay has passed.

        Parameters
        ----------
        is_running
            Returns whether a job is still running; tasks of other jobs are dropped.
        """
        for task in self._delayed.pop_due(now_s):
            if is_running(task.job_id):
                self._queue.push(task, now_s)

    def count_failure(self, job: Job, record: DispatchRecord) -> None:
        """Count a failed run of a task, caused by the task or the backend server."""
        job.failed_runs[record.task.task_index] += 1

    def is_exhausted(self, job: Job, record: DispatchRecord) -> bool:
        """Return whether a task has reached its maximum number of failed runs."""
        return job.failed_runs[record.task.task_index] >= job.submission.max_runs

    def retry(self, job: Job, record: DispatchRecord, now_s: float) -> bool:
        """Requeue a task for another run if its limits and the budget allow it.

        Returns
        -------
        bool
            Whether another run of the task is queued or in progress.
        """
        task = record.task
        if job.submission.exclusive:
            return self._retry_exclusive(job, record, now_s)
        if self._dispatch_table.open_for_task(task.job_id, task.task_index):
            return True
        if job.runs >= job.submission.max_runs or now_s >= task.deadline_s:
            return False
        if not self._budget.try_take():
            return False
        job.runs += 1
        avoided = task.avoided_members | {record.agent_id}
        retried = attrs.evolve(task, attempt=job.runs, avoided_members=avoided)
        self._queue.push(retried, now_s)
        return True

    def _retry_exclusive(self, job: Job, record: DispatchRecord, now_s: float) -> bool:
        """Requeue an exclusive task; its previous run is known to have ended."""
        task = record.task
        if self.is_exhausted(job, record) or now_s >= task.deadline_s:
            return False
        avoided = task.avoided_members | {record.agent_id}
        retried = attrs.evolve(task, attempt=task.attempt + 1, avoided_members=avoided)
        self._queue.push(retried, now_s)
        return True
