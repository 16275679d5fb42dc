"""Further dispatches of a task: after a refusal, and runs that are allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry.timer_queue import TimerQueue

if TYPE_CHECKING:
    from verbenaplank.admission.budget import StartBudget
    from verbenaplank.admission.waiting_tasks import WaitingTasks
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.dispatch_table import DispatchTable
    from verbenaplank.entry.jobs import Job
    from verbenaplank.placement.task import TaskRequest

REFUSAL_BACKOFF_S = 0.05
"""How long a task waits after an agent refused it a second time."""


class RetryQueue:
    """Queues tasks again, where that cannot run one more often than allowed."""

    def __init__(
        self, *, dispatch_table: DispatchTable, queue: WaitingTasks, budget: StartBudget
    ) -> None:
        self._dispatch_table = dispatch_table
        self._queue = queue
        self._budget = budget
        self._pauses: TimerQueue[TaskRequest] = TimerQueue()

    def requeue_unstarted(
        self, job: Job, record: DispatchRecord, now_s: float, *, avoid: bool = True
    ) -> None:
        """Queue a task whose dispatch never started; its attempt is unused.

        Unless ``avoid``, it may go back to the same agent.
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
        again = attrs.evolve(task, avoided_members=avoided)
        if record.agent_id in task.avoided_members:
            self._pauses.add(again, now_s + REFUSAL_BACKOFF_S)
            return
        self._queue.push(again, now_s)

    def requeue_due(self, now_s: float) -> None:
        """Queue the tasks whose pause is over."""
        for task in self._pauses.pop_due(now_s):
            self._queue.push(task, now_s)

    def count_failure(self, job: Job, record: DispatchRecord) -> None:
        """Count a run that failed by the task's fault or the backend server's."""
        job.failed_runs[record.task.task_index] += 1

    def is_exhausted(self, job: Job, record: DispatchRecord) -> bool:
        """Return whether a task has failed as often as allowed."""
        return job.failed_runs[record.task.task_index] >= job.submission.max_runs

    def retry(self, job: Job, record: DispatchRecord, now_s: float) -> bool:
        """Allow a task one more run, if its caller and the budget permit it.

        Returns
        -------
        bool
            Whether a run of the task is still to come or in progress.
        """
        task = record.task
        if job.submission.exclusive:
            return self._retry_exclusive(job, record, now_s)
        if self._dispatch_table.open_for_task(task.job_id, task.task_index):
            return True
        if job.runs >= job.submission.max_runs or now_s >= task.deadline_s:
            return False
        if not self._budget.take():
            return False
        job.runs += 1
        avoided = task.avoided_members | {record.agent_id}
        again = attrs.evolve(task, attempt=job.runs, avoided_members=avoided)
        self._queue.push(again, now_s)
        return True

    def _retry_exclusive(self, job: Job, record: DispatchRecord, now_s: float) -> bool:
        """Queue another run of a task whose last one is surely over."""
        task = record.task
        if self.is_exhausted(job, record) or now_s >= task.deadline_s:
            return False
        avoided = task.avoided_members | {record.agent_id}
        again = attrs.evolve(task, attempt=task.attempt + 1, avoided_members=avoided)
        self._queue.push(again, now_s)
        return True
