"""Admission control: whether the entry accepts a request now."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING

import attrs

from verbenaplank.admission.estimate import StartRate
from verbenaplank.admission.estimate import estimate
from verbenaplank.admission.quota import QuotaState
from verbenaplank.admission.quota import TeamQuotas
from verbenaplank.entry.admission_path import AdmissionPath
from verbenaplank.entry.admission_path import Candidate
from verbenaplank.entry.jobs import task_request
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.finding import Finding
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.overload.expected_end import QueueAhead
from verbenaplank.overload.job_counts import JobCounts
from verbenaplank.overload.own_share import OwnShares
from verbenaplank.overload.refusal import Refusal
from verbenaplank.overload.refusal import RefusalCause
from verbenaplank.overload.retry_after import retry_after_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenaplank.admission.queue_protocol import TaskQueueProtocol
    from verbenaplank.configuration.effective import TeamRules
    from verbenaplank.entry.readiness import Readiness
    from verbenaplank.entry.submission import Submission
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.placement.room import CapacityUse

DEADLINE_CANNOT_BE_MET = (
    "the deadline cannot be met because of the tasks queued at the entry"
)

KIND_BY_CAUSE = {
    RefusalCause.NOT_READY: FailureKind.NOT_READY,
    RefusalCause.NO_SERVER: FailureKind.NOT_READY,
    RefusalCause.EVACUATED: FailureKind.NOT_READY,
    RefusalCause.QUOTA: FailureKind.OVER_QUOTA,
}


class AdmissionController:
    """Decides whether the entry accepts a request.

    It considers the entry's readiness, the services that agents offer, the queue
    and the team's quota.

    Parameters
    ----------
    fleet
        The agents and the services they offer.
    queue
        The tasks that wait at this entry.
    max_queued_tasks
        Maximum number of tasks that may wait at this entry.
    counts
        Counts the refused requests; the service stands for the route.
    """

    def __init__(
        self,
        fleet: Fleet,
        queue: TaskQueueProtocol,
        max_queued_tasks: int,
        counts: JobCounts | None = None,
    ) -> None:
        self._fleet = fleet
        self._queue = queue
        self._max_queued_tasks = max_queued_tasks
        self._quotas = TeamQuotas()
        self._rate = StartRate()
        self._entry_count = 1
        self._shares = OwnShares()
        self._counts = counts or JobCounts()
        self._path = AdmissionPath(
            fleet=fleet,
            is_waiting=lambda: len(queue) > 0,
            queue_ahead=self._queue_ahead,
            present_limit=self._present_limit,
        )

    def configure(self, teams: Mapping[str, TeamRules], entries: int) -> None:
        """Set the rules of the teams and the number of entries that share them."""
        self._entry_count = max(1, entries)
        self._quotas.configure(teams, self._entry_count)

    def for_query(self, fleet: Fleet, team: str) -> AdmissionController:
        """Return a controller that decides alike about one request of a team.

        It counts and charges apart from this one.

        Parameters
        ----------
        fleet
            The fleet for decisions that are not carried out.
        """
        query = copy(self)
        query._fleet = fleet
        query._quotas = self._quotas.copy_for(team)
        query._shares = self._shares.copy()
        query._counts = JobCounts()
        query._path = AdmissionPath(
            fleet=fleet,
            is_waiting=lambda: len(query._queue) > 0,
            queue_ahead=query._queue_ahead,
            present_limit=query._present_limit,
        )
        return query

    def count_dispatch(self, now_s: float) -> None:
        """Include a dispatch in the measured start rate."""
        self._rate.record_starts(now_s)

    def admit(
        self, submission: Submission, readiness: Readiness, now_s: float
    ) -> Rejection | None:
        """Admit a request and charge its team's quota, or return the rejection.

        The caller must pass an admitted request to :meth:`release` when it ends.
        """
        candidate = Candidate(
            task=task_request(submission, 0),
            tasks=len(submission.payloads),
            goal_in_s=submission.goal_s - now_s,
            useless_in_s=submission.deadline_s - now_s,
        )
        refusal = (
            _entry_refusal(submission, readiness)
            or self._path.refusal(candidate, now_s)
            or self._full_refusal(candidate, now_s)
            or self._quota_refusal(submission, now_s)
        )
        if refusal is None:
            return None
        self._counts.record_refused(
            submission.service, _priority(submission), refusal.cause
        )
        return _rejection(submission, refusal)

    def refuse(
        self, rejection: Rejection, submission: Submission, now_s: float
    ) -> Rejection:
        """Count a rejection, and return it with the time of the caller's next try.

        The time follows from the tasks that are queued now.
        """
        priority = _priority(submission)
        if rejection.cause is not None:
            self._counts.record_refused(submission.service, priority, rejection.cause)
        wait_s = self._queue_wait_s(submission.urgent, now_s)
        told_s = retry_after_s(wait_s, priority, submission.job_id)
        return attrs.evolve(rejection, retry_after_s=told_s)

    def _queue_wait_s(self, urgent: bool, now_s: float) -> float:
        """Return the expected time until the tasks have left that are queued now."""
        tasks_ahead = self._queue.tasks_ahead(urgent)
        rate_per_s = self._rate.per_s(now_s)
        if not tasks_ahead or rate_per_s <= 0.0:
            return 0.0
        return tasks_ahead / rate_per_s

    def release(self, submission: Submission) -> None:
        """Release the quota of an admitted request that has ended."""
        self._quotas.record_ended(submission.team, len(submission.payloads))

    def _present_limit(self, candidate: Candidate, now_s: float) -> Refusal | None:
        task = candidate.task
        full = self._full_refusal(candidate, now_s)
        tasks_ahead = self._queue.tasks_ahead(task.urgent)
        if full is not None or not tasks_ahead:
            return full
        slots = self._fleet.capacity.slots_of(task.service)
        run_time_s = self._fleet.expected_run_time_s(task)
        expected = estimate(
            tasks=candidate.tasks,
            tasks_ahead=tasks_ahead,
            start_rate_per_s=self._start_rate_per_s(slots, run_time_s, now_s),
            slots=slots,
            run_time_s=run_time_s,
            remaining_s=candidate.useless_in_s,
        )
        if expected.feasible:
            return None
        return Refusal(
            cause=RefusalCause.NO_CAPACITY,
            detail=DEADLINE_CANNOT_BE_MET,
            wait_s=expected.retry_after_s,
        )

    def _full_refusal(self, candidate: Candidate, now_s: float) -> Refusal | None:
        if len(self._queue) + candidate.tasks <= self._max_queued_tasks:
            return None
        return Refusal(
            cause=RefusalCause.QUEUE_FULL,
            detail="too many tasks are queued at the entry",
            wait_s=self._queue_wait_s(candidate.task.urgent, now_s),
        )

    def _queue_ahead(
        self, candidate: Candidate, use: CapacityUse, now_s: float
    ) -> QueueAhead:
        """Return the queue ahead, as if its tasks were like those of the candidate."""
        task = candidate.task
        tasks_ahead = self._queue.tasks_ahead(task.urgent)
        run_time_s = self._fleet.expected_run_time_s(task)
        units = task.needs.cores or 1.0
        pool = (task.service, self._fleet.pool_of_task(task))
        work = tasks_ahead * run_time_s * units
        return QueueAhead(
            work=work,
            own_priority_work=work,
            drain_rate=self._shares.drain_rate(pool, use, self._entry_count, now_s),
            smaller_tasks=tasks_ahead,
        )

    def _start_rate_per_s(self, slots: int, run_time_s: float, now_s: float) -> float:
        """Return the task starts per second that this entry can expect.

        This is the measured rate, but at least this entry's share of the capacity.
        """
        share_per_s = slots / run_time_s / self._entry_count
        return max(self._rate.per_s(now_s), share_per_s)

    def _quota_refusal(self, submission: Submission, now_s: float) -> Refusal | None:
        count = len(submission.payloads)
        decision = self._quotas.admit(submission.team, count, now_s)
        if decision.state is QuotaState.WITHIN:
            return None
        detail = f"team {submission.team!r} is over its quota: {decision.state}"
        return Refusal(
            cause=RefusalCause.QUOTA, detail=detail, wait_s=decision.retry_after_s
        )


def _priority(submission: Submission) -> int:
    return 0 if submission.urgent else 1


def _entry_refusal(submission: Submission, readiness: Readiness) -> Refusal | None:
    detail = ""
    if readiness.draining:
        detail = "the entry is draining"
    elif not readiness.current:
        detail = "the entry is not ready"
    elif submission.claimed and not readiness.leased:
        detail = "the entry holds no lease"
    return Refusal(cause=RefusalCause.NOT_READY, detail=detail) if detail else None


def _rejection(submission: Submission, refusal: Refusal) -> Rejection:
    if refusal.cause is RefusalCause.TOO_LARGE:
        return _impossible_needs(submission)
    told_s = refusal.wait_s
    if refusal.cause is not RefusalCause.QUOTA:
        told_s = retry_after_s(refusal.wait_s, _priority(submission), submission.job_id)
    kind = KIND_BY_CAUSE.get(refusal.cause, FailureKind.OVERLOADED)
    return Rejection(kind=kind, detail=refusal.detail, retry_after_s=told_s)


def _impossible_needs(submission: Submission) -> Rejection:
    needs = submission.needs
    message = (
        f"no worker that offers {submission.service!r} has {needs.cores} cores, "
        f"{needs.memory_mb} MB of memory and {needs.accelerators} accelerators"
    )
    return Rejection(
        kind=FailureKind.IMPOSSIBLE_NEEDS,
        detail="no worker can meet the needs of a task",
        findings=(Finding("needs", message),),
    )
