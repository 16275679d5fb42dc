"""Admission control: whether the entry accepts a request now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.admission.estimate import StartRate
from verbenaplank.admission.estimate import estimate
from verbenaplank.admission.quota import QuotaState
from verbenaplank.admission.quota import TeamQuotas
from verbenaplank.entry.evacuated_jobs import EVACUATED_DETAIL
from verbenaplank.entry.jobs import task_request
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.finding import Finding
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.placement.feasibility import Feasibility

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenaplank.admission.queue_protocol import TaskQueueProtocol
    from verbenaplank.configuration.effective import TeamRules
    from verbenaplank.entry.readiness import Readiness
    from verbenaplank.entry.submission import Submission
    from verbenaplank.placement.fleet import Fleet

RETRY_AFTER_S = 1.0


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
    """

    def __init__(
        self, fleet: Fleet, queue: TaskQueueProtocol, max_queued_tasks: int
    ) -> None:
        self._fleet = fleet
        self._queue = queue
        self._max_queued_tasks = max_queued_tasks
        self._quotas = TeamQuotas()
        self._rate = StartRate()
        self._entry_count = 1

    def configure(self, teams: Mapping[str, TeamRules], entries: int) -> None:
        """Set the rules of the teams and the number of entries that share them."""
        self._entry_count = max(1, entries)
        self._quotas.configure(teams, self._entry_count)

    def count_dispatch(self, now_s: float) -> None:
        """Include a dispatch in the measured start rate."""
        self._rate.record_starts(now_s)

    def admit(
        self, submission: Submission, readiness: Readiness, now_s: float
    ) -> Rejection | None:
        """Admit a request and charge its team's quota, or return the rejection.

        The caller must pass an admitted request to :meth:`release` when it ends.
        """
        return (
            _entry_rejection(submission, readiness)
            or self._fleet_rejection(submission)
            or self._load_rejection(submission, now_s)
            or self._quota_rejection(submission, now_s)
        )

    def release(self, submission: Submission) -> None:
        """Release the quota of an admitted request that has ended."""
        self._quotas.record_ended(submission.team, len(submission.payloads))

    def _fleet_rejection(self, submission: Submission) -> Rejection | None:
        feasibility = self._fleet.capacity.feasibility(
            submission.service, submission.needs
        )
        if feasibility is Feasibility.NO_SERVICE:
            detail = f"no backend server currently offers {submission.service!r}"
            return _retryable_rejection(FailureKind.NOT_READY, detail)
        if feasibility is Feasibility.EVACUATED:
            return _retryable_rejection(FailureKind.NOT_READY, EVACUATED_DETAIL)
        if feasibility is Feasibility.IMPOSSIBLE_NEEDS:
            return _impossible_needs(submission)
        return None

    def _load_rejection(self, submission: Submission, now_s: float) -> Rejection | None:
        count = len(submission.payloads)
        if len(self._queue) + count > self._max_queued_tasks:
            return _retryable_rejection(
                FailureKind.OVERLOADED, "too many tasks are queued at the entry"
            )
        tasks_ahead = self._queue.tasks_ahead(submission.urgent)
        if not tasks_ahead:
            return None
        task = task_request(submission, 0)
        slots = self._fleet.capacity.slots_of(submission.service)
        run_time_s = self._fleet.expected_run_time_s(task)
        expected = estimate(
            tasks=count,
            tasks_ahead=tasks_ahead,
            start_rate_per_s=self._start_rate_per_s(slots, run_time_s, now_s),
            slots=slots,
            run_time_s=run_time_s,
            remaining_s=submission.deadline_s - now_s,
        )
        if expected.feasible:
            return None
        return _retryable_rejection(
            FailureKind.OVERLOADED,
            "the deadline cannot be met because of the tasks queued at the entry",
            expected.retry_after_s,
        )

    def _start_rate_per_s(self, slots: int, run_time_s: float, now_s: float) -> float:
        """Return the task starts per second that this entry can expect.

        This is the measured rate, but at least this entry's share of the capacity.
        """
        share_per_s = slots / run_time_s / self._entry_count
        return max(self._rate.per_s(now_s), share_per_s)

    def _quota_rejection(
        self, submission: Submission, now_s: float
    ) -> Rejection | None:
        count = len(submission.payloads)
        decision = self._quotas.admit(submission.team, count, now_s)
        if decision.state is QuotaState.WITHIN:
            return None
        detail = f"team {submission.team!r} is over its quota: {decision.state}"
        return _retryable_rejection(
            FailureKind.OVER_QUOTA, detail, decision.retry_after_s
        )


def _entry_rejection(submission: Submission, readiness: Readiness) -> Rejection | None:
    if readiness.draining:
        return _retryable_rejection(FailureKind.NOT_READY, "the entry is draining")
    if not readiness.current:
        return _retryable_rejection(FailureKind.NOT_READY, "the entry is not ready")
    if submission.claimed and not readiness.leased:
        return _retryable_rejection(FailureKind.NOT_READY, "the entry holds no lease")
    return None


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


def _retryable_rejection(
    kind: FailureKind, detail: str, retry_after_s: float = RETRY_AFTER_S
) -> Rejection:
    return Rejection(kind=kind, detail=detail, retry_after_s=retry_after_s)
