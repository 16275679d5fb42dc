"""Processes a request: decode, validate, admit, claim its id, run, respond."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from verbenaplank.claims.decision import ClaimState
from verbenaplank.clock.sources import MonotonicClock
from verbenaplank.clock.sources import WallClock
from verbenaplank.entry.admission_control import AdmissionController
from verbenaplank.entry.decode import decode_job
from verbenaplank.entry.decode import decode_query
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
from verbenaplank.entry.where import answer
from verbenaplank.entry.where import known_answer
from verbenaplank.identifiers.job_id import InvalidJobIdError
from verbenaplank.identifiers.job_id import job_timestamp_ms
from verbenaplank.identifiers.job_id import parse_job_id
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.overload.refusal import RefusalCause
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.fleet_query import FleetQuery
from verbenaplank.settings.entry import EntryLimits

if TYPE_CHECKING:
    from verbenaplank.claims.decision import ClaimDecision
    from verbenaplank.entry.registry import RequestRecord
    from verbenaplank.entry.response import HttpResponse
    from verbenaplank.entry.submission import Submission

LOGGER = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 2.0
LOOKUP_TIMEOUT_S = 0.5
UNQUEUED_RETRY_AFTER_S = 1.0
"""Retry-After where the cause is a control instance or a registrar and not a queue."""

ID_REUSED = Rejection(
    kind=FailureKind.ID_REUSED,
    detail="the id belongs to a request with different content",
)
TOO_MANY_REQUESTS = Rejection(
    kind=FailureKind.OVERLOADED,
    detail="the entry holds the maximum number of requests",
    cause=RefusalCause.QUEUE_FULL,
)
NO_QUORUM = Rejection(
    kind=FailureKind.NO_QUORUM,
    detail="no majority of registrars granted the id",
    retry_after_s=UNQUEUED_RETRY_AFTER_S,
)
STATE_NOT_CURRENT = Rejection(
    kind=FailureKind.NOT_READY,
    detail="this entry has not received the newest state from a control instance yet",
    retry_after_s=UNQUEUED_RETRY_AFTER_S,
)
ID_MAY_BE_USED = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN,
    detail="the registrars no longer know whether the id was used before",
    retry_after_s=UNQUEUED_RETRY_AFTER_S,
)
RESPONSE_DROPPED = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN, detail="the response is no longer stored"
)
ABANDONED = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN,
    detail="the entry stopped before the outcome was known",
)
INTERNAL_ERROR = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN, detail="internal error of the entry"
)
UNKNOWN_JOB = Rejection(
    kind=FailureKind.UNKNOWN_JOB, detail="no reachable entry knows the job"
)


@attrs.frozen(kw_only=True)
class PipelineDependencies:
    """The objects that the pipeline uses.

    Attributes
    ----------
    limits
        Limits on requests.
    membership
        Provides the configuration.
    claims
        Claims job ids at the registrars.
    peers
        Attaches to and cancels jobs of other entries.
    registry
        The requests that this entry knows.
    runner
        Runs submissions.
    clock
        The monotonic clock, in seconds.
    wall_clock
        Milliseconds since the Unix epoch; must never go back.
    admission
        Decides whether requests are admitted.
    readiness
        Returns the entry's readiness.
    fleet
        The agents, for queries about placement.
    remote_factor
        How many times longer a task takes outside the rack that it prefers.
    """

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
    fleet: Fleet
    remote_factor: float = 1.0


class Pipeline:
    """Processes requests from decoding to response.

    A request continues when its caller disconnects; its response is kept for a
    later attach or resubmission.
    """

    def __init__(self, dependencies: PipelineDependencies) -> None:
        self._deps = dependencies
        self._dispatch_table = dependencies.runner.engine.dispatch_table
        self._in_progress: set[asyncio.Task[None]] = set()
        self._query_random = random.Random()

    async def submit(self, body: bytes, token: str, *, single: bool) -> HttpResponse:
        """Handle ``POST /v1/jobs`` or, if ``single``, ``POST /v1/requests``."""
        parsed = decode_request(body) if single else decode_job(body)
        if not self._deps.readiness().current:
            has_id = bool(parsed.job_id)
            return self.rejection_response(
                attrs.evolve(STATE_NOT_CURRENT, knows_id=not has_id)
            )
        validated = validate(parsed, self._validation_context(token))
        if validated.is_error():
            claimed = not parsed.idempotent
            return await self._reject(validated.error, parsed.job_id, claimed=claimed)
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
        rejection = self._admit(submission, self._deps.admission)
        if rejection is not None:
            return await self._reject_unless_known(submission, rejection, parsed.job_id)
        return await self._response_of(self._start(submission))

    def where(self, body: bytes, token: str) -> HttpResponse:
        """Handle ``POST /v1/where``: explain where a request would be placed now.

        It decides like :meth:`submit`, but on copies of what a decision changes.
        """
        deps = self._deps
        parsed = decode_query(body)
        if not deps.readiness().current:
            return self.rejection_response(STATE_NOT_CURRENT)
        validated = validate(parsed, self._validation_context(token))
        if validated.is_error():
            return self.rejection_response(validated.error, parsed.job_id)
        submission = validated.ok
        record = deps.registry.find(submission.job_id)
        if record is not None and record.digest == submission.digest:
            return known_answer()
        fleet = FleetQuery(deps.fleet, self._query_random)
        if record is not None and record.owned:
            rejection: Rejection | None = ID_REUSED
        else:
            admission = deps.admission.for_query(fleet, submission.team)
            rejection = self._admit(submission, admission)
        return answer(
            submission, rejection, deps.runner.engine, fleet, submission.received_s
        )

    async def attach(self, job_id: str) -> HttpResponse:
        """Return the response of a job, from this or any other entry that knows it."""
        record = self._deps.registry.find(job_id)
        if record is not None:
            return await self._response_of(record)
        response = await self._deps.peers.attach_to_any(job_id)
        return response or self.rejection_response(UNKNOWN_JOB, job_id)

    async def cancel(self, job_id: str) -> HttpResponse:
        """Cancel a job at this entry or another one, and return its response."""
        if not self._deps.runner.cancel(job_id):
            await self._deps.peers.cancel_at_peers(job_id)
        return await self.attach(job_id)

    async def join(self) -> None:
        """Wait until no request is in progress."""
        while self._in_progress:
            await asyncio.wait(set(self._in_progress))

    async def stop(self, grace_s: float) -> None:
        """Wait up to ``grace_s`` seconds for open requests, then cancel the rest."""
        if self._in_progress:
            await asyncio.wait(set(self._in_progress), timeout=grace_s)
        for task in self._in_progress:
            task.cancel()
        await self.join()

    def rejection_response(
        self, rejection: Rejection, job_id: str = "", status: int | None = None
    ) -> HttpResponse:
        """Return the response for a rejected request.

        Parameters
        ----------
        rejection
            The reason.
        job_id
            The job's id if it is known.
        status
            HTTP status; ``None`` for the one that belongs to the rejection's kind.
        """
        return failure_response(
            self._dispatch_table.make_failure(rejection), job_id, status
        )

    def _validation_context(self, token: str) -> ValidationContext:
        deps = self._deps
        return ValidationContext(
            configuration=deps.membership.configuration,
            limits=deps.limits,
            token=token,
            wall_ms=deps.wall_clock(),
            now_s=deps.clock(),
            remote_factor=deps.remote_factor,
        )

    def _admit(
        self, submission: Submission, admission: AdmissionController
    ) -> Rejection | None:
        deps = self._deps
        if deps.registry.is_full:
            return admission.refuse(TOO_MANY_REQUESTS, submission, deps.clock())
        return admission.admit(submission, deps.readiness(), deps.clock())

    async def _response_of(self, record: RequestRecord) -> HttpResponse:
        await record.answered.wait()
        return record.response or self.rejection_response(
            RESPONSE_DROPPED, record.job_id
        )

    def _start(self, submission: Submission) -> RequestRecord:
        record = self._deps.registry.add(submission, self._expiry_s(submission))
        task = asyncio.get_running_loop().create_task(self._run(record, submission))
        self._in_progress.add(task)
        task.add_done_callback(self._in_progress.discard)
        return record

    def _expiry_s(self, submission: Submission) -> float:
        """Return the monotonic time after which validation rejects an id as too old."""
        deps = self._deps
        timestamp_ms = job_timestamp_ms(submission.job_id)
        ahead_s = (timestamp_ms - deps.wall_clock()) / 1000
        skew_s = deps.limits.max_clock_skew_s
        return deps.clock() + max(0.0, ahead_s) + deps.limits.retention_s + skew_s

    async def _run(self, record: RequestRecord, submission: Submission) -> None:
        try:
            response = await self._claim_and_run(record, submission)
        except asyncio.CancelledError:
            response = self.rejection_response(ABANDONED, submission.job_id)
        except Exception:
            LOGGER.exception(
                "internal error while processing a request",
                extra=_log_fields(submission),
            )
            response = self.rejection_response(INTERNAL_ERROR, submission.job_id)
        self._deps.admission.release(submission)
        self._deps.registry.set_response(record, response)

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
        rejection = ID_MAY_BE_USED if decision.may_have_run else NO_QUORUM
        return await self._reject_unless_known(submission, rejection, submission.job_id)

    async def _reject_unless_known(
        self, submission: Submission, rejection: Rejection, given_id: str
    ) -> HttpResponse:
        """Attach to another entry that knows the request; reject it if there is none.

        Parameters
        ----------
        given_id
            The id that the caller chose; empty if this entry chose it.
        """
        if submission.claimed:
            known = await self._deps.peers.attach_to_any(
                submission.job_id, submission.digest, submission.deadline_s
            )
            if known is not None:
                return known
        return await self._reject(rejection, given_id, claimed=submission.claimed)

    async def _reject(
        self, rejection: Rejection, given_id: str, *, claimed: bool
    ) -> HttpResponse:
        """Return the response for a request that is refused before it is run here.

        An earlier submission of an id may have run, at an entry that has ended or
        forgotten it.  Only the registrars know that an id was never used, and only of
        requests whose ids are claimed.
        """
        if given_id:
            knows_id = await self._is_unused(given_id, claimed=claimed)
            rejection = attrs.evolve(rejection, knows_id=knows_id)
        return self.rejection_response(rejection, given_id)

    async def _is_unused(self, given_id: str, *, claimed: bool) -> bool:
        try:
            job_id = parse_job_id(given_id)
        except InvalidJobIdError:
            return True
        claims = self._deps.claims
        return claimed and await claims.is_unused(job_id, LOOKUP_TIMEOUT_S)

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
