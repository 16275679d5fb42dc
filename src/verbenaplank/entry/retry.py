"""Further dispatches of a task: after a refusal, and runs that are allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import attrs

if TYPE_CHECKING:
    from verbenaplank.entry.book import DispatchBook
    from verbenaplank.entry.book import DispatchRecord
    from verbenaplank.entry.jobs import Job
    from verbenaplank.entry.ports import WaitingTasks


class Budget(Protocol):
    """Bounds how much work is added to what callers asked for."""

    def spend(self, now_s: float) -> bool:
        """Take one unit, if there is one."""


class Retries:
    """Queues tasks again, where that cannot run one more often than allowed."""

    def __init__(
        self, *, book: DispatchBook, queue: WaitingTasks, budget: Budget
    ) -> None:
        self._book = book
        self._queue = queue
        self._budget = budget

    def place_elsewhere(self, job: Job, record: DispatchRecord, now_s: float) -> None:
        """Queue a task whose dispatch never started; its attempt is unused."""
        task = record.task
        if job.runs > 1 and self._book.of_task(task.job_id, task.task_index):
            job.runs -= 1
            return
        avoided = task.avoided_members | {record.agent_id}
        self._queue.push(attrs.evolve(task, avoided_members=avoided), now_s)

    def run_again(self, job: Job, record: DispatchRecord, now_s: float) -> bool:
        """Allow a task one more run, if its caller and the budget permit it.

        Returns
        -------
        bool
            Whether a run of the task is still to come or in progress.
        """
        task = record.task
        if self._book.of_task(task.job_id, task.task_index):
            return True
        if job.runs >= job.submission.max_runs or now_s >= task.deadline_s:
            return False
        if not self._budget.spend(now_s):
            return False
        job.runs += 1
        avoided = task.avoided_members | {record.agent_id}
        again = attrs.evolve(task, attempt=job.runs, avoided_members=avoided)
        self._queue.push(again, now_s)
        return True
