"""The collect stage: what agents say of dispatches."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from verbenaplank.entry import decision_log
from verbenaplank.entry.dispatch_table import DispatchState
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import RevocationState
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from verbenaplank.entry.dispatch_table import DispatchBook
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.hedge import Latencies
    from verbenaplank.entry.jobs import JobTable
    from verbenaplank.entry.retry import Retries
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.protocol.work import DispatchRefusal
    from verbenaplank.protocol.work import Revocation
    from verbenaplank.protocol.work import TaskResult

MILLISECONDS_PER_SECOND = 1000

COUNTED_FAILURES = frozenset({TaskOutcome.FAILED, TaskOutcome.TIMED_OUT})
"""Ends that count as attempts of a task."""

OUT_OF_TIME = Rejection(
    kind=FailureKind.DEADLINE_EXCEEDED,
    detail="no time is left to run a task again",
)

_RAW = msgspec.json.Decoder(msgspec.Raw)


@attrs.define
class CollectCounts:
    """How many messages were of no use.

    Attributes
    ----------
    ignored
        Results, refusals and revocations of no open dispatch: late ones,
        duplicates and those of another process.
    """

    ignored: int = 0
    refused: int = 0
    revoked: int = 0
    lost: int = 0


class Collector:
    """Turns agents' messages into progress of jobs.

    A message counts only for an open dispatch of the agent that sent it.
    """

    def __init__(
        self,
        *,
        jobs: JobTable,
        book: DispatchBook,
        fleet: Fleet,
        retries: Retries,
        latencies: Latencies,
    ) -> None:
        self.counts = CollectCounts()
        self._jobs = jobs
        self._book = book
        self._fleet = fleet
        self._retries = retries
        self._latencies = latencies

    def result(self, agent_id: str, result: TaskResult, now_s: float) -> None:
        """Take in the end of a run."""
        record = self._find(agent_id, result)
        if record is None:
            return
        if result.outcome is TaskOutcome.NOT_STARTED and not record.is_started:
            self._book.never_started(record)
        else:
            self._book.finished(record)
        run_time_s = result.run_time_ms / MILLISECONDS_PER_SECOND
        task = record.task
        self._fleet.record_result(agent_id, task, result.outcome, run_time_s, now_s)
        job = self._jobs.running(task.job_id)
        if job is None:
            self._jobs.settle(task.job_id, now_s)
            return
        rejection = _result_fault(result)
        if rejection is None:
            self._latencies.learn(task.service, now_s - record.sent_s)
            self._jobs.succeed(job, task.task_index, result.output)
            return
        if result.outcome in COUNTED_FAILURES:
            self._retries.count_failure(job, record)
        again = self._retries.run_again(job, record, now_s)
        failed_runs = job.failed_runs[task.task_index]
        decision_log.run_ended_badly(record, result, failed_runs, again=again)
        if again:
            return
        if job.submission.exclusive and not self._retries.is_exhausted(job, record):
            rejection = OUT_OF_TIME
        self._jobs.fail(job, rejection, now_s)

    def refusal(self, agent_id: str, refusal: DispatchRefusal, now_s: float) -> None:
        """Take in a refusal; the dispatch never starts."""
        record = self._find(agent_id, refusal)
        if record is None or record.state is DispatchState.STARTED:
            return
        self.counts.refused += 1
        decision_log.dispatch_refused(record, refusal)
        if refusal.reason is RefusalReason.ALREADY_STARTED:
            self._fleet.remove_dispatch(agent_id, record.task, now_s)
            self._lose(record, "an earlier dispatch of a task had started", now_s)
            return
        avoid = refusal.reason is not RefusalReason.FULL or not record.task.exclusive
        self._never_started(record, now_s, avoid=avoid)

    def revocation(self, agent_id: str, revocation: Revocation, now_s: float) -> None:
        """Take in the answer to a revocation."""
        record = self._find(agent_id, revocation)
        if record is None:
            return
        if revocation.state is RevocationState.REVOKED:
            if record.state is DispatchState.STARTED:
                return
            self.counts.revoked += 1
            decision_log.dispatch_revoked(record)
            self._never_started(record, now_s)
            return
        self._book.started(record)
        job_id = record.task.job_id
        if self._jobs.running(job_id) is None:
            if revocation.state is RevocationState.STARTED:
                self._jobs.stop(record)
            self._jobs.settle(job_id, now_s)

    def connected(self, agent_id: str, incarnation: str, now_s: float) -> None:
        """Ask about each open dispatch, or lose those of an earlier incarnation."""
        for record in self._book.of_agent(agent_id):
            if record.agent_incarnation == incarnation:
                self._jobs.revoke(record)
            else:
                self._lose(record, f"agent {agent_id} restarted", now_s)

    def take_back(self, agent_id: str) -> None:
        """Revoke what an agent has not started, once for each dispatch."""
        for record in self._book.of_agent(agent_id):
            if record.state is DispatchState.OUTSTANDING and not record.revoke_sent:
                self._jobs.revoke(record)

    def agent_lost(self, agent_id: str, now_s: float) -> None:
        """Give up the open dispatches of an agent that is gone.

        Those of exclusive tasks may still run; :meth:`agent_silent` ends them.
        """
        for record in self._book.of_agent(agent_id):
            if not record.task.exclusive:
                self._lose(record, f"agent {agent_id} was lost", now_s)

    def agent_silent(self, agent_id: str, now_s: float) -> None:
        """Give up every dispatch of an agent whose runs must have ended by now."""
        for record in self._book.of_agent(agent_id):
            self._lose(record, f"agent {agent_id} was silent", now_s)

    def _find(
        self, agent_id: str, message: TaskResult | DispatchRefusal | Revocation
    ) -> DispatchRecord | None:
        record = self._book.find(message.dispatch_id, agent_id)
        if record is None or not _same_task(record, message):
            self.counts.ignored += 1
            return None
        return record

    def _never_started(
        self, record: DispatchRecord, now_s: float, *, avoid: bool = True
    ) -> None:
        task = record.task
        self._book.never_started(record)
        self._fleet.remove_dispatch(record.agent_id, task, now_s)
        job = self._jobs.running(task.job_id)
        if job is None:
            self._jobs.settle(task.job_id, now_s)
            return
        self._retries.place_elsewhere(job, record, now_s, avoid=avoid)

    def _lose(self, record: DispatchRecord, detail: str, now_s: float) -> None:
        self.counts.lost += 1
        self._book.lost(record)
        job_id = record.task.job_id
        job = self._jobs.running(job_id)
        if job is None:
            self._jobs.settle(job_id, now_s)
            return
        again = self._retries.run_again(job, record, now_s)
        decision_log.dispatch_lost(record, detail, again=again)
        if not again:
            self._jobs.fail(job, _unknown(detail), now_s)


def _same_task(
    record: DispatchRecord, message: TaskResult | DispatchRefusal | Revocation
) -> bool:
    task = record.task
    return task.job_id == message.job_id and task.task_index == message.task_index


def _result_fault(result: TaskResult) -> Rejection | None:
    if result.outcome is TaskOutcome.CONNECTION_LOST:
        return _unknown(
            f"task {result.task_index}: the backend server's answer was lost"
        )
    if result.outcome is not TaskOutcome.SUCCEEDED:
        return _failed(result, result.error or result.outcome)
    if not is_json(result.output):
        return _failed(result, "the backend server's output is not JSON")
    return None


def _failed(result: TaskResult, message: str) -> Rejection:
    return Rejection(
        kind=FailureKind.TASK_FAILED,
        detail=f"task {result.task_index} failed: {message}",
    )


def _unknown(detail: str) -> Rejection:
    return Rejection(kind=FailureKind.OUTCOME_UNKNOWN, detail=detail)


def is_json(text: bytes) -> bool:
    """Tell whether bytes are one JSON value in UTF-8."""
    try:
        text.decode("utf-8")
        _RAW.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return False
    return True
