"""The check stage: from a draft to a submission, or every fault at once."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs
import msgspec
from expression import Error
from expression import Ok
from expression import Result

from verbenaplank.configuration.effective import EffectiveConfiguration
from verbenaplank.configuration.effective import ServiceRules
from verbenaplank.entry.submission import Submission
from verbenaplank.identifiers.job_id import InvalidJobIdError
from verbenaplank.identifiers.job_id import job_timestamp_ms
from verbenaplank.identifiers.job_id import new_job_id
from verbenaplank.identifiers.job_id import parse_job_id
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.finding import Finding
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.settings.entry import EntryLimits

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.entry.parsed_request import Draft

PRECEDENCE = (
    FailureKind.UNAUTHORIZED,
    FailureKind.INVALID,
    FailureKind.UNKNOWN_TEAM,
    FailureKind.UNKNOWN_SERVICE,
)
"""Of several faults, the first kind in this order names the failure."""


@attrs.frozen(kw_only=True)
class CheckContext:
    """What a draft is checked against.

    Attributes
    ----------
    token
        The caller's bearer token; empty if there is none.
    wall_ms
        Milliseconds since the Unix epoch.
    now_s
        Monotonic time.
    """

    configuration: EffectiveConfiguration
    limits: EntryLimits
    token: str
    wall_ms: int
    now_s: float


@attrs.frozen
class _Fault:
    kind: FailureKind
    finding: Finding


def check(draft: Draft, context: CheckContext) -> Result[Submission, Rejection]:
    """Return the submission, or a rejection with all findings."""
    faults = list(_faults(draft, context))
    if not faults:
        return Ok(_submission(draft, context))
    kinds = {fault.kind for fault in faults}
    kind = next(kind for kind in PRECEDENCE if kind in kinds)
    findings = tuple(fault.finding for fault in faults)
    detail = f"the request has {len(findings)} fault(s); see findings"
    return Error(Rejection(kind=kind, detail=detail, findings=findings))


def _faults(draft: Draft, context: CheckContext) -> Iterator[_Fault]:
    for finding in draft.findings:
        yield _Fault(FailureKind.INVALID, finding)
    yield from _id_faults(draft, context)
    yield from _team_faults(draft, context)
    yield from _service_faults(draft, context)
    yield from _task_faults(draft, context)


def _id_faults(draft: Draft, context: CheckContext) -> Iterator[_Fault]:
    if not draft.job_id:
        return
    try:
        job_id = parse_job_id(draft.job_id)
    except InvalidJobIdError as error:
        yield _invalid("id", str(error))
        return
    limits = context.limits
    age_s = (context.wall_ms - job_timestamp_ms(job_id)) / 1000
    if age_s > limits.retention_s:
        yield _invalid("id", f"too old: stamped {age_s:.0f} s ago")
    if age_s < -limits.max_clock_skew_s:
        yield _invalid("id", f"too far ahead: stamped {-age_s:.0f} s in the future")


def _team_faults(draft: Draft, context: CheckContext) -> Iterator[_Fault]:
    if not draft.team:
        return
    rules = context.configuration.teams.get(draft.team)
    if rules is None:
        finding = Finding("team", f"unknown team {draft.team!r}")
        yield _Fault(FailureKind.UNKNOWN_TEAM, finding)
        return
    if not token_matches(context.token, rules.token_sha256):
        finding = Finding("Authorization", f"not the token of team {draft.team!r}")
        yield _Fault(FailureKind.UNAUTHORIZED, finding)


def _service_faults(draft: Draft, context: CheckContext) -> Iterator[_Fault]:
    if not draft.service or draft.service in context.configuration.services:
        return
    finding = Finding("service", f"unknown service {draft.service!r}")
    yield _Fault(FailureKind.UNKNOWN_SERVICE, finding)


def _task_faults(draft: Draft, context: CheckContext) -> Iterator[_Fault]:
    count = len(draft.payloads)
    high = context.limits.max_tasks_per_job
    if count > high:
        yield _invalid("tasks", f"at most {high} tasks, got {count}")
    if count == 0 and not draft.findings:
        yield _invalid("tasks", "at least one task is needed")
    if draft.max_runs is not None and draft.max_runs > 1 and not draft.idempotent:
        yield _invalid("max_runs", "above 1 only for an idempotent request")


def token_matches(token: str, token_sha256: str) -> bool:
    """Compare a token with its SHA-256 in constant time; an empty one asks none."""
    if not token_sha256:
        return True
    digest = hashlib.sha256(token.encode()).hexdigest()
    return hmac.compare_digest(digest, token_sha256)


def _submission(draft: Draft, context: CheckContext) -> Submission:
    rules = context.configuration.services.get(
        draft.service, ServiceRules(name=draft.service, team=draft.team)
    )
    max_runs = draft.max_runs or rules.max_runs
    deadline_ms = draft.deadline_ms or context.limits.default_deadline_ms
    return Submission(
        job_id=parse_job_id(draft.job_id) if draft.job_id else new_job_id(),
        service=draft.service,
        team=draft.team,
        digest=content_digest(draft),
        payloads=draft.payloads,
        received_s=context.now_s,
        deadline_s=context.now_s + deadline_ms / 1000,
        single=draft.single,
        urgent=draft.urgent,
        claimed=bool(draft.job_id) and not draft.idempotent,
        max_runs=max_runs if draft.idempotent else 1,
        needs=draft.needs,
        declared_run_time_s=rules.run_time_ms / 1000,
        run_timeout_ms=rules.run_timeout_ms,
    )


def content_digest(draft: Draft) -> bytes:
    """Return the digest of everything that a resubmission must repeat."""
    needs = (draft.needs.cores, draft.needs.memory_mb, draft.needs.accelerators)
    head = (draft.single, draft.service, draft.team, needs, draft.idempotent)
    digest = hashlib.sha256(msgspec.json.encode(head))
    for payload in draft.payloads:
        digest.update(len(payload).to_bytes(8, "big"))
        digest.update(payload)
    return digest.digest()


def _invalid(place: str, message: str) -> _Fault:
    return _Fault(FailureKind.INVALID, Finding(place, message))
