"""Jobs in progress; a job succeeds or fails as a whole, never in part."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry import decision_log
from verbenaplank.entry.dispatch_table import DispatchState
from verbenaplank.entry.effects import Effect
from verbenaplank.entry.effects import JobCompleted
from verbenaplank.entry.effects import JobFailed
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.entry.submission import Submission
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.placement.task import TaskRequest
from verbenaplank.protocol.work import Revoke
from verbenaplank.protocol.work import Stop

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.dispatch_table import DispatchTable
    from verbenaplank.entry.holding_queue import HoldingQueue

MIN_WIDE_JOB_TASKS = 4
"""Least number of tasks of a wide job, which is as late as its last task."""

REVOCATION_TIMEOUT_S = 0.5
"""Longest time that the response of a failed job waits for agents to report which
of its dispatches have started."""


@attrs.define
class Job:
    """A job that has not been answered yet.

    Attributes
    ----------
    results
        Output of each task in order, or ``None`` for a task without one.
    remaining
        Number of tasks without an output.
    runs
        Number of runs dispatched or queued so far, including the first; used for
        idempotent single requests.
    failed_runs
        Number of failed runs by task index; used for exclusive tasks.
    rejection
        Why the job is failing, or ``None``.
    respond_by_s
        Monotonic time by which a failing job is answered, in seconds.
    """

    submission: Submission
    results: list[bytes | None]
    remaining: int
    runs: int = 1
    failed_runs: Counter[int] = attrs.field(factory=Counter)
    rejection: Rejection | None = None
    respond_by_s: float = float("inf")


class JobTable:
    """Holds the jobs in progress and emits exactly one outcome for each."""

    def __init__(
        self,
        dispatch_table: DispatchTable,
        queue: HoldingQueue,
        effects: list[Effect],
    ) -> None:
        self._dispatch_table = dispatch_table
        self._queue = queue
        self._effects = effects
        self._jobs: dict[str, Job] = {}
        self._failing: dict[str, Job] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[Job]:
        return iter(tuple(self._jobs.values()))

    def find(self, job_id: str) -> Job | None:
        """Return a job that has not been answered yet."""
        return self._jobs.get(job_id)

    def find_running(self, job_id: str) -> Job | None:
        """Return a job that is neither answered nor failing."""
        job = self._jobs.get(job_id)
        return job if job is not None and job.rejection is None else None

    def is_running(self, job_id: str) -> bool:
        """Return whether a job is neither answered nor failing."""
        return self.find_running(job_id) is not None

    def add(self, submission: Submission, now_s: float) -> None:
        """Add a job and queue its tasks."""
        count = len(submission.payloads)
        job = Job(submission, results=[None] * count, remaining=count)
        self._jobs[submission.job_id] = job
        self._dispatch_table.open_job(submission.job_id)
        for index in range(count):
            self._queue.push(task_request(submission, index), now_s)

    def record_output(
        self, job: Job, task_index: int, output: bytes, now_s: float
    ) -> None:
        """Store the output of a task; the last output completes the job.

        A second output of a task, from a hedged run, is ignored.
        """
        if job.results[task_index] is not None:
            return
        job.results[task_index] = output
        job.remaining -= 1
        if job.remaining:
            return
        results = tuple(result for result in job.results if result is not None)
        job_id = job.submission.job_id
        if job.submission.max_runs > 1:
            self._queue.remove_job(job_id, now_s)
            self._stop_or_revoke_open_dispatches(job_id)
        self._close(job_id)
        self._effects.append(JobCompleted(job_id, results))

    def fail(self, job: Job, rejection: Rejection, now_s: float) -> None:
        """Start failing a job: drop queued tasks, and stop or revoke its dispatches.

        The response waits up to ``REVOCATION_TIMEOUT_S`` for the agents to report
        which of the job's dispatches have started.
        """
        if job.rejection is not None:
            return
        job_id = job.submission.job_id
        job.rejection = rejection
        job.respond_by_s = now_s + REVOCATION_TIMEOUT_S
        self._failing[job_id] = job
        self._dispatch_table.seal(job_id)
        self._queue.remove_job(job_id, now_s)
        self._stop_or_revoke_open_dispatches(job_id)
        self.complete_failure_if_ready(job_id, now_s)

    def abort(self, job_id: str, rejection: Rejection, now_s: float) -> bool:
        """Fail a job and log why, and return whether it was running."""
        job = self.find_running(job_id)
        if job is None:
            return False
        decision_log.job_aborted(job_id, rejection)
        self.fail(job, rejection, now_s)
        return True

    def fail_immediately(self, job: Job, rejection: Rejection, now_s: float) -> None:
        """Fail a job and answer it without waiting for the agents."""
        self.fail(job, rejection, now_s)
        if job.submission.job_id in self._jobs:
            self._complete_failure(job)

    def complete_failure_if_ready(self, job_id: str, now_s: float) -> None:
        """Answer a failing job unless it still has to wait for agents.

        It waits while a dispatch is outstanding, until ``respond_by_s``.
        """
        job = self._failing.get(job_id)
        if job is None:
            return
        if self._dispatch_table.may_still_start(job_id) and now_s < job.respond_by_s:
            return
        self._complete_failure(job)

    def complete_ready_failures(self, now_s: float) -> None:
        """Answer every failing job that is ready to be answered."""
        for job_id in tuple(self._failing):
            self.complete_failure_if_ready(job_id, now_s)

    def send_stop(self, record: DispatchRecord) -> None:
        """Ask an agent to stop a run whose result is no longer needed."""
        task = record.task
        stop = Stop(
            dispatch_id=record.dispatch_id,
            job_id=task.job_id,
            task_index=task.task_index,
            attempt=task.attempt,
        )
        self._effects.append(SendToAgent(record.agent_id, stop))

    def send_revoke(self, record: DispatchRecord) -> None:
        """Ask an agent not to start a dispatch that has not started yet."""
        record.revoke_sent = True
        task = record.task
        revoke = Revoke(
            dispatch_id=record.dispatch_id,
            job_id=task.job_id,
            task_index=task.task_index,
            attempt=task.attempt,
            agent_incarnation=record.agent_incarnation,
        )
        self._effects.append(SendToAgent(record.agent_id, revoke))

    def _stop_or_revoke_open_dispatches(self, job_id: str) -> None:
        for record in self._dispatch_table.open_for_job(job_id):
            if record.state is DispatchState.STARTED:
                self.send_stop(record)
            elif not record.revoke_sent:
                self.send_revoke(record)

    def _complete_failure(self, job: Job) -> None:
        if job.rejection is None:
            raise ValueError(f"job {job.submission.job_id} is not failing")
        job_id = job.submission.job_id
        failure = self._dispatch_table.make_failure(job.rejection, job_id)
        self._close(job_id)
        self._effects.append(JobFailed(job_id, failure))

    def _close(self, job_id: str) -> None:
        self._dispatch_table.release_job(job_id)
        self._failing.pop(job_id, None)
        del self._jobs[job_id]


def task_request(submission: Submission, index: int) -> TaskRequest:
    """Return the placement request for the first attempt of a task."""
    tasks = len(submission.payloads)
    return TaskRequest(
        job_id=submission.job_id,
        task_index=index,
        service=submission.service,
        team=submission.team,
        urgent=submission.urgent,
        needs=submission.needs,
        declared_run_time_s=submission.declared_run_time_s,
        workload=submission.workload,
        priority=submission.priority,
        goal_s=submission.goal_s,
        exclusive=submission.exclusive,
        deadline_s=submission.deadline_s,
        name=submission.task_names[index] if submission.task_names else "",
        preferred_rack=submission.preferred_rack,
        remote_factor=submission.remote_factor,
        weighs_waits=submission.weighs_waits,
        latest_start_s=min(submission.latest_start_s, submission.deadline_s),
        ends_wide_job=tasks >= MIN_WIDE_JOB_TASKS and index == tasks - 1,
    )
