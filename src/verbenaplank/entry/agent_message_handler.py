"""Applies the results, refusals and revocations that agents send."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from verbenaplank.entry import decision_log
from verbenaplank.entry.dispatch_table import DispatchState
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.overload.refusal import RefusalCause
from verbenaplank.protocol.decoding import DECODE_ERRORS
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import RevocationState
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.dispatch_table import DispatchTable
    from verbenaplank.entry.hedge import Latencies
    from verbenaplank.entry.jobs import JobTable
    from verbenaplank.entry.retry import RetryQueue
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.protocol.work import DispatchRefusal
    from verbenaplank.protocol.work import Revocation
    from verbenaplank.protocol.work import TaskResult

MS_PER_S = 1000

COUNTED_FAILURES = frozenset({TaskOutcome.FAILED, TaskOutcome.TIMED_OUT})
"""Outcomes that count as failed runs, which are limited for exclusive tasks."""

NO_TIME_TO_RETRY = Rejection(
    kind=FailureKind.DEADLINE_EXCEEDED,
    detail="no time is left to retry a task",
    cause=RefusalCause.DEADLINE,
)

_RAW = msgspec.json.Decoder(msgspec.Raw)


@attrs.define
class DispatchCounts:
    """Counts of ignored messages, and of refused, revoked and lost dispatches.

    Attributes
    ----------
    ignored
        Results, refusals and revocations that match no open dispatch, because
        they are late or duplicated, or belong to a dispatch of another agent or of
        another entry process.
    refused
        Dispatches that an agent refused.
    refused_evacuated
        Those of them that it refused because its data centre is evacuated.
    revoked
        Dispatches that were revoked before they started.
    lost
        Dispatches whose outcome will never be known.
    """

    ignored: int = 0
    refused: int = 0
    refused_evacuated: int = 0
    revoked: int = 0
    lost: int = 0


class AgentMessageHandler:
    """Updates dispatches and jobs from the messages of agents.

    A message is ignored unless it matches an open dispatch of its sender.
    """

    def __init__(
        self,
        *,
        jobs: JobTable,
        dispatch_table: DispatchTable,
        fleet: Fleet,
        retry_queue: RetryQueue,
        latencies: Latencies,
    ) -> None:
        self.counts = DispatchCounts()
        self._jobs = jobs
        self._dispatch_table = dispatch_table
        self._fleet = fleet
        self._retry_queue = retry_queue
        self._latencies = latencies

    def handle_result(self, agent_id: str, result: TaskResult, now_s: float) -> None:
        """Close a dispatch with its result, and advance, retry or fail its job."""
        record = self._find_open_dispatch(agent_id, result)
        if record is None:
            return
        if result.outcome is TaskOutcome.NOT_STARTED and not record.is_started:
            self._dispatch_table.mark_never_started(record)
        else:
            self._dispatch_table.mark_finished(record)
        run_time_s = result.run_time_ms / MS_PER_S
        task = record.task
        self._fleet.record_result(agent_id, task, result.outcome, run_time_s, now_s)
        job = self._jobs.find_running(task.job_id)
        if job is None:
            self._jobs.complete_failure_if_ready(task.job_id, now_s)
            return
        rejection = _result_rejection(result)
        if rejection is None:
            self._latencies.record(task.service, now_s - record.sent_s)
            self._jobs.record_output(job, task.task_index, result.output, now_s)
            return
        if result.outcome in COUNTED_FAILURES:
            self._retry_queue.count_failure(job, record)
        retried = self._retry_queue.retry(job, record, now_s)
        failed_runs = job.failed_runs[task.task_index]
        decision_log.run_did_not_succeed(record, result, failed_runs, again=retried)
        if retried:
            return
        if job.submission.exclusive and not self._retry_queue.is_exhausted(job, record):
            rejection = NO_TIME_TO_RETRY
        self._jobs.fail(job, rejection, now_s)

    def handle_refusal(
        self, agent_id: str, refusal: DispatchRefusal, now_s: float
    ) -> None:
        """Close a dispatch that its agent refused, and requeue or retry its task.

        A dispatch that was refused because an earlier one of the task had started
        counts as lost, since that earlier run may still be in progress.
        """
        record = self._find_open_dispatch(agent_id, refusal)
        if record is None or record.state is DispatchState.STARTED:
            return
        self.counts.refused += 1
        self.counts.refused_evacuated += refusal.evacuated
        decision_log.dispatch_refused(record, refusal)
        if refusal.reason is RefusalReason.ALREADY_STARTED:
            self._fleet.remove_dispatch(agent_id, record.task, now_s)
            self._mark_lost(
                record, "an earlier dispatch of the task had started", now_s
            )
            return
        avoid = refusal.reason is not RefusalReason.FULL or not record.task.exclusive
        self._requeue_unstarted(record, now_s, avoid=avoid)

    def handle_revocation(
        self, agent_id: str, revocation: Revocation, now_s: float
    ) -> None:
        """Update a dispatch from an agent's reply to a revoke."""
        record = self._find_open_dispatch(agent_id, revocation)
        if record is None:
            return
        if revocation.state is RevocationState.REVOKED:
            if record.state is DispatchState.STARTED:
                return
            self.counts.revoked += 1
            decision_log.dispatch_revoked(record)
            self._requeue_unstarted(record, now_s)
            return
        self._dispatch_table.mark_started(record)
        job_id = record.task.job_id
        if self._jobs.find_running(job_id) is None:
            if revocation.state is RevocationState.STARTED:
                self._jobs.send_stop(record)
            self._jobs.complete_failure_if_ready(job_id, now_s)

    def reconcile_agent(self, agent_id: str, incarnation: str, now_s: float) -> None:
        """Resolve the open dispatches of an agent whose stream has reopened.

        Dispatches to the same incarnation are revoked, which makes the agent report
        their state.  Those to an earlier incarnation are lost.
        """
        for record in self._dispatch_table.open_for_agent(agent_id):
            if record.agent_incarnation == incarnation:
                self._jobs.send_revoke(record)
            else:
                self._mark_lost(record, f"agent {agent_id} restarted", now_s)

    def revoke_outstanding(self, agent_id: str) -> None:
        """Revoke an agent's outstanding dispatches that have not been revoked yet."""
        for record in self._dispatch_table.open_for_agent(agent_id):
            if record.state is DispatchState.OUTSTANDING and not record.revoke_sent:
                self._jobs.send_revoke(record)

    def mark_non_exclusive_lost(self, agent_id: str, now_s: float) -> None:
        """Mark the open dispatches of an agent as lost, except exclusive ones.

        The agent has left the membership and its stream is closed.  Exclusive tasks
        may still be running there, so their dispatches stay open until
        :meth:`mark_all_lost`.
        """
        for record in self._dispatch_table.open_for_agent(agent_id):
            if not record.task.exclusive:
                self._mark_lost(
                    record, f"agent {agent_id} left and disconnected", now_s
                )

    def mark_all_lost(self, agent_id: str, now_s: float) -> None:
        """Mark the open dispatches of an agent as lost after its runs have ended."""
        for record in self._dispatch_table.open_for_agent(agent_id):
            self._mark_lost(record, f"agent {agent_id} has not reconnected", now_s)

    def _find_open_dispatch(
        self, agent_id: str, message: TaskResult | DispatchRefusal | Revocation
    ) -> DispatchRecord | None:
        record = self._dispatch_table.find(message.dispatch_id, agent_id)
        if record is None or not _same_task(record, message):
            self.counts.ignored += 1
            return None
        return record

    def _requeue_unstarted(
        self, record: DispatchRecord, now_s: float, *, avoid: bool = True
    ) -> None:
        task = record.task
        self._dispatch_table.mark_never_started(record)
        self._fleet.remove_dispatch(record.agent_id, task, now_s)
        job = self._jobs.find_running(task.job_id)
        if job is None:
            self._jobs.complete_failure_if_ready(task.job_id, now_s)
            return
        self._retry_queue.requeue_unstarted(job, record, now_s, avoid=avoid)

    def _mark_lost(self, record: DispatchRecord, detail: str, now_s: float) -> None:
        self.counts.lost += 1
        self._dispatch_table.mark_lost(record)
        job_id = record.task.job_id
        job = self._jobs.find_running(job_id)
        if job is None:
            self._jobs.complete_failure_if_ready(job_id, now_s)
            return
        retried = self._retry_queue.retry(job, record, now_s)
        decision_log.dispatch_lost(record, detail, again=retried)
        if not retried:
            self._jobs.fail(job, _outcome_unknown(detail), now_s)


def _same_task(
    record: DispatchRecord, message: TaskResult | DispatchRefusal | Revocation
) -> bool:
    task = record.task
    return task.job_id == message.job_id and task.task_index == message.task_index


def _result_rejection(result: TaskResult) -> Rejection | None:
    if result.outcome is TaskOutcome.CONNECTION_LOST:
        return _outcome_unknown(
            f"task {result.task_index}: connection to the backend server was lost"
        )
    if result.outcome is not TaskOutcome.SUCCEEDED:
        return _task_failed(result, result.error or result.outcome)
    if not is_json(result.output):
        return _task_failed(result, "the output of the backend server is not JSON")
    return None


def _task_failed(result: TaskResult, message: str) -> Rejection:
    return Rejection(
        kind=FailureKind.TASK_FAILED,
        detail=f"task {result.task_index} failed: {message}",
    )


def _outcome_unknown(detail: str) -> Rejection:
    return Rejection(kind=FailureKind.OUTCOME_UNKNOWN, detail=detail)


def is_json(text: bytes) -> bool:
    """Return whether bytes are one JSON value in UTF-8."""
    try:
        text.decode("utf-8")
        _RAW.decode(text)
    except DECODE_ERRORS:
        return False
    return True
