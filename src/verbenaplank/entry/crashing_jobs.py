"""Gives up the jobs with a task under which too many backend servers have crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.crashes.limit import StartPermission
from verbenaplank.crashes.limit import start_permission
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.rejection import Rejection

if TYPE_CHECKING:
    from verbenaplank.entry.crash_exchange import CrashExchange
    from verbenaplank.entry.jobs import JobTable
    from verbenaplank.protocol.crash import CrashReport


class CrashingJobs:
    """Aborts the jobs with a task that has reached the limit of crashes.

    Parameters
    ----------
    jobs
        The jobs in progress.
    crashes
        The crash reports that count against tasks, and the count of such jobs.
    """

    def __init__(self, jobs: JobTable, crashes: CrashExchange) -> None:
        self._jobs = jobs
        self._crashes = crashes

    def give_up_suspects(self, report: CrashReport, now_s: float) -> None:
        """Fail the jobs with a task of a report that has reached the limit."""
        tasks = {run.task for run in report.runs}
        for job in self._jobs:
            if not tasks.isdisjoint(job.submission.task_names):
                self.give_up(job.submission.job_id, now_s)

    def give_up(self, job_id: str, now_s: float) -> None:
        """Fail a job if too many backend servers have crashed under one of its tasks.

        A job whose other tasks would start only to be thrown away is not started.
        """
        job = self._jobs.find_running(job_id)
        if job is None:
            return
        for index, name in enumerate(job.submission.task_names):
            permission = start_permission(self._crashes.history, name)
            if permission is StartPermission.GIVEN_UP:
                self._crashes.counts.jobs_given_up += 1
                self._jobs.abort(job_id, _crash_limit_rejection(index), now_s)
                return


def _crash_limit_rejection(task_index: int) -> Rejection:
    """Return the rejection of a job with a task that is given up.

    The task has not failed for certain: a start that a crashing backend server did not
    answer may never have taken place.
    """
    return Rejection(
        kind=FailureKind.OUTCOME_UNKNOWN,
        detail=f"task {task_index}: several backend servers crashed while it ran",
    )
