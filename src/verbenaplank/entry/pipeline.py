"""A request's way: decode, check, admit, claim, run, answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from verbenaplank.claims.decision import ClaimState
from verbenaplank.clock.sources import MonotonicClock
from verbenaplank.clock.sources import WallClock
from verbenaplank.entry.admission_control import AdmissionController
from verbenaplank.entry.decode import decode_job
from verbenaplank.entry.decode import decode_request
from verbenaplank.entry.interfaces import Claims
from verbenaplank.entry.interfaces import Membership
from verbenaplank.entry.peer_client import PeerClient
from verbenaplank.entry.readiness import Readiness
from verbenaplank.entry.registry import RequestRegistry
from verbenaplank.entry.response import failure_response
from verbenaplank.entry.runner import EngineRunner
from verbenaplank.entry.validation import ValidationContext
from verbenaplank.entry.validation import validate
from verbenaplank.identifiers.job_id import job_timestamp_ms
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.settings.entry import EntryLimits

if TYPE_CHECKING:
    from verbenaplank.claims.decision import ClaimDecision
    from verbenaplank.entry.registry import RequestRecord
    from verbenaplank.entry.response import HttpResponse
    from verbenaplank.entry.submission import Submission

LOGGER = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0

ID_REUSED = Rejection(
    kind=FailureKind.ID_REUSED, detail="the id belongs to a request of other content"
)
TOO_MANY_REQUESTS = Rejection(
    kind=FailureKind.OVERLOADED,
    detail="the entry holds too many requests",
    retry_after_s=RETRY_AFTER_S,
)
NO_QUORUM = Rejection(
    kind=FailureKind.NO_QUORUM,
    detail="no majority of registrars granted the id",
    retry_after_s=RETRY_AFTER_S,
)
NOT_CURRENT = Rejection(
    kind=FailureKind.NOT_READY,
    detail="no control instance has told this entry the newest state yet",
    retry_after_s=RETRY_AFTER_S,
)
MAY_BE_USED = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN,
    detail="the registrars no longer know whether the id was used before",
    retry_after_s=RETRY_AFTER_S,
)
ANSWER_DROPPED = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN, detail="the answer is no longer kept"
)
ABANDONED = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN,
    detail="the entry stopped before the outcome was known",
)
INTERNAL_ERROR = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN, detail="a fault within the entry"
)
UNKNOWN_JOB = Rejection(
    kind=FailureKind.UNKNOWN_JOB, detail="no entry in reach knows the job"
)


@attrs.frozen(kw_only=True)
class PipelineDependencies:
    """What the pipeline works with."""

    limits: EntryLimits
    membership: Membership
    claims: Claims
    peers: PeerClient
    registry: RequestRegistry
    runner: EngineRunner
    clock: MonotonicClock
    wall_clock: WallClock
    admission: AdmissionController
    readiness: Callable[[], Readiness]


class Pipeline:
    """Takes requests to their answers.

    A request goes on when its caller hangs up; the answer is then kept.
    """

    def __init__(self, dependencies: PipelineDependencies) -> None:
        self._deps = dependencies
        self._dispatch_table = dependencies.runner.engine.dispatch_table
        self._in_progress: set[asyncio.Task[None]] = set()

    async def submit(self, body: bytes, token: str, *, single: bool) -> HttpResponse:
        """Answer ``POST /v1/jobs`` or, if ``single``, ``POST /v1/requests``."""
        parsed = decode_request(body) if single else decode_job(body)
        if not self._deps.readiness().current:
            has_id = bool(parsed.job_id)
            return self.rejection_response(
                attrs.evolve(NOT_CURRENT, knows_id=not has_id)
            )
        validated = validate(parsed, self._context(token))
        if validated.is_error():
            return self.rejection_response(validated.error, parsed.job_id)
        submission = validated.ok
        record = self._deps.registry.find(submission.job_id)
        while record is not None:
            if record.digest == submission.digest:
                return await self._response_of(record)
            await record.claim_finished.wait()
            if record.owned:
                return self.rejection_response(ID_REUSED, submission.job_id)
            await record.answered.wait()
            record = self._deps.registry.find(submission.job_id)
        rejection = self._admit(submission)
        if rejection is not None:
            return await self._refuse_unless_known(submission, rejection)
        return await self._response_of(self._start(submission))

    async def attach(self, job_id: str) -> HttpResponse:
        """Wait for the answer of a job that is known here or at a peer."""
        record = self._deps.registry.find(job_id)
        if record is not None:
            return await self._response_of(record)
        answer = await self._deps.peers.attach_to_any(job_id)
        return answer or self.rejection_response(UNKNOWN_JOB, job_id)

    async def cancel(self, job_id: str) -> HttpResponse:
        """Cancel a job that is known here or at a peer, and return its answer."""
        if not self._deps.runner.cancel(job_id):
            await self._deps.peers.cancel_at_peers(job_id)
        return await self.attach(job_id)

    async def join(self) -> None:
        """Wait until no request is in progress."""
        while self._in_progress:
            await asyncio.wait(set(self._in_progress))

    async def stop(self, grace_s: float) -> None:
        """Wait a little for the requests in progress, then answer them all."""
        if self._in_progress:
            await asyncio.wait(set(self._in_progress), timeout=grace_s)
        for task in self._in_progress:
            task.cancel()
        await self.join()

    def rejection_response(
        self, rejection: Rejection, job_id: str = "", status: int | None = None
    ) -> HttpResponse:
        """Return the answer of a request that goes no further."""
        return failure_response(
            self._dispatch_table.make_failure(rejection), job_id, status
        )

    def _context(self, token: str) -> ValidationContext:
        deps = self._deps
        return ValidationContext(
            configuration=deps.membership.configuration,
            limits=deps.limits,
            token=token,
            wall_ms=deps.wall_clock(),
            now_s=deps.clock(),
        )

    def _admit(self, submission: Submission) -> Rejection | None:
        deps = self._deps
        if deps.registry.is_full:
            return TOO_MANY_REQUESTS
        return deps.admission.admit(submission, deps.readiness(), deps.clock())

    async def _response_of(self, record: RequestRecord) -> HttpResponse:
        await record.answered.wait()
        return record.response or self.rejection_response(ANSWER_DROPPED, record.job_id)

    def _start(self, submission: Submission) -> RequestRecord:
        record = self._deps.registry.add(submission, self._expiry(submission))
        task = asyncio.get_running_loop().create_task(self._run(record, submission))
        self._in_progress.add(task)
        task.add_done_callback(self._in_progress.discard)
        return record

    def _expiry(self, submission: Submission) -> float:
        """Return when the check stage begins to refuse an id as too old."""
        deps = self._deps
        stamp_ms = job_timestamp_ms(submission.job_id)
        ahead_s = (stamp_ms - deps.wall_clock()) / 1000
        skew_s = deps.limits.max_clock_skew_s
        return deps.clock() + max(0.0, ahead_s) + deps.limits.retention_s + skew_s

    async def _run(self, record: RequestRecord, submission: Submission) -> None:
        try:
            answer = await self._claim_and_run(record, submission)
        except asyncio.CancelledError:
            answer = self.rejection_response(ABANDONED, submission.job_id)
        except Exception:
            LOGGER.exception("a request failed within", extra=_log_fields(submission))
            answer = self.rejection_response(INTERNAL_ERROR, submission.job_id)
        self._deps.admission.release(submission)
        self._deps.registry.set_response(record, answer)

    async def _claim_and_run(
        self, record: RequestRecord, submission: Submission
    ) -> HttpResponse:
        if not submission.claimed:
            return await self._run_here(record, submission)
        decision = await self._claim(submission)
        if decision.state is ClaimState.OWNED_HERE:
            return await self._run_here(record, submission)
        if decision.state is ClaimState.OWNED_ELSEWHERE:
            return await self._deps.peers.attach_to_owner(submission, decision)
        if decision.state is ClaimState.CONFLICT:
            return self.rejection_response(ID_REUSED, submission.job_id)
        record.claim_finished.set()
        rejection = MAY_BE_USED if decision.may_have_run else NO_QUORUM
        return await self._refuse_unless_known(submission, rejection)

    async def _refuse_unless_known(
        self, submission: Submission, rejection: Rejection
    ) -> HttpResponse:
        """Refuse a request, or attach to the entry that has taken it on before.

        A resubmission must not be told that it was not run.
        """
        if submission.claimed:
            known = await self._deps.peers.attach_to_any(
                submission.job_id, submission.digest, submission.deadline_s
            )
            if known is not None:
                return known
        return self.rejection_response(rejection, submission.job_id)

    async def _claim(self, submission: Submission) -> ClaimDecision:
        left_s = submission.deadline_s - self._deps.clock()
        timeout_s = min(CLAIM_TIMEOUT_S, left_s)
        claims = self._deps.claims
        return await claims.claim(submission.job_id, submission.digest, timeout_s)

    async def _run_here(
        self, record: RequestRecord, submission: Submission
    ) -> HttpResponse:
        self._deps.registry.mark_owned(record)
        return await self._deps.runner.run(submission)


def _log_fields(submission: Submission) -> dict[str, str]:
    return {"job_id": submission.job_id}
