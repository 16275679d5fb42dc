"""Validates a parsed request and turns it into a submission.

All violations are reported at once.
"""

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

    from verbenaplank.entry.parsed_request import ParsedRequest

KIND_PRECEDENCE = (
    FailureKind.UNAUTHORIZED,
    FailureKind.INVALID,
    FailureKind.UNKNOWN_TEAM,
    FailureKind.UNKNOWN_SERVICE,
)
"""If several kinds of violation are found, the first one in this order is reported."""


@attrs.frozen(kw_only=True)
class ValidationContext:
    """The configuration, credentials and time that a request is validated against.

    Attributes
    ----------
    configuration
        The services and teams in effect.
    limits
        The entry's limits on requests.
    token
        The caller's bearer token; empty if there is none.
    wall_ms
        Wall clock time in milliseconds since the Unix epoch.
    now_s
        Monotonic time in seconds.
    remote_factor
        How many times longer a task takes outside the rack that it prefers.
    """

    configuration: EffectiveConfiguration
    limits: EntryLimits
    token: str
    wall_ms: int
    now_s: float
    remote_factor: float = 1.0


@attrs.frozen
class _Violation:
    kind: FailureKind
    finding: Finding


def validate(
    parsed: ParsedRequest, context: ValidationContext
) -> Result[Submission, Rejection]:
    """Return the submission, or a rejection that lists all findings."""
    violations = list(_violations(parsed, context))
    if not violations:
        return Ok(_submission(parsed, context))
    kinds = {violation.kind for violation in violations}
    kind = next(kind for kind in KIND_PRECEDENCE if kind in kinds)
    findings = tuple(violation.finding for violation in violations)
    detail = f"the request has {len(findings)} error(s); see findings"
    return Error(Rejection(kind=kind, detail=detail, findings=findings))


def _violations(
    parsed: ParsedRequest, context: ValidationContext
) -> Iterator[_Violation]:
    for finding in parsed.findings:
        yield _Violation(FailureKind.INVALID, finding)
    yield from _id_violations(parsed, context)
    yield from _team_violations(parsed, context)
    yield from _service_violations(parsed, context)
    yield from _task_violations(parsed, context)


def _id_violations(
    parsed: ParsedRequest, context: ValidationContext
) -> Iterator[_Violation]:
    if not parsed.job_id:
        return
    try:
        job_id = parse_job_id(parsed.job_id)
    except InvalidJobIdError as error:
        yield _invalid("id", str(error))
        return
    limits = context.limits
    age_s = (context.wall_ms - job_timestamp_ms(job_id)) / 1000
    if age_s > limits.retention_s:
        yield _invalid("id", f"too old: its timestamp is {age_s:.0f} s ago")
    if age_s < -limits.max_clock_skew_s:
        yield _invalid("id", f"its timestamp is {-age_s:.0f} s in the future")


def _team_violations(
    parsed: ParsedRequest, context: ValidationContext
) -> Iterator[_Violation]:
    if not parsed.team:
        return
    rules = context.configuration.teams.get(parsed.team)
    if rules is None:
        finding = Finding("team", f"unknown team {parsed.team!r}")
        yield _Violation(FailureKind.UNKNOWN_TEAM, finding)
        return
    if not token_matches(context.token, rules.token_sha256):
        finding = Finding("Authorization", f"invalid token for team {parsed.team!r}")
        yield _Violation(FailureKind.UNAUTHORIZED, finding)


def _service_violations(
    parsed: ParsedRequest, context: ValidationContext
) -> Iterator[_Violation]:
    if not parsed.service or parsed.service in context.configuration.services:
        return
    finding = Finding("service", f"unknown service {parsed.service!r}")
    yield _Violation(FailureKind.UNKNOWN_SERVICE, finding)


def _task_violations(
    parsed: ParsedRequest, context: ValidationContext
) -> Iterator[_Violation]:
    count = len(parsed.payloads)
    high = context.limits.max_tasks_per_job
    if count > high:
        yield _invalid("tasks", f"must have at most {high} tasks, got {count}")
    if count == 0 and not parsed.findings:
        yield _invalid("tasks", "must have at least one task")
    if parsed.max_runs is not None and parsed.max_runs > 1 and not parsed.idempotent:
        yield _invalid("max_runs", "must be 1 unless the request is idempotent")


def token_matches(token: str, token_sha256: str) -> bool:
    """Return whether a token has the given SHA-256 digest.

    The comparison takes constant time.  An empty digest accepts any token.
    """
    if not token_sha256:
        return True
    digest = hashlib.sha256(token.encode()).hexdigest()
    return hmac.compare_digest(digest, token_sha256)


def _submission(parsed: ParsedRequest, context: ValidationContext) -> Submission:
    rules = context.configuration.services.get(
        parsed.service, ServiceRules(name=parsed.service, team=parsed.team)
    )
    max_runs = parsed.max_runs or rules.max_runs
    deadline_ms = parsed.deadline_ms or context.limits.default_deadline_ms
    return Submission(
        job_id=parse_job_id(parsed.job_id) if parsed.job_id else new_job_id(),
        service=parsed.service,
        team=parsed.team,
        digest=content_digest(parsed),
        payloads=parsed.payloads,
        received_s=context.now_s,
        deadline_s=context.now_s + deadline_ms / 1000,
        single=parsed.single,
        urgent=parsed.urgent,
        claimed=bool(parsed.job_id) and not parsed.idempotent,
        max_runs=max_runs if parsed.idempotent else 1,
        needs=parsed.needs,
        declared_run_time_s=rules.run_time_ms / 1000,
        run_timeout_ms=rules.run_timeout_ms,
        preferred_rack=parsed.preferred_rack,
        remote_factor=context.remote_factor if parsed.preferred_rack else 1.0,
        weighs_waits=bool(parsed.preferred_rack) and context.remote_factor > 1.0,
    )


def content_digest(parsed: ParsedRequest) -> bytes:
    """Return the SHA-256 digest of the fields that must be equal in a resubmission."""
    needs = (parsed.needs.cores, parsed.needs.memory_mb, parsed.needs.accelerators)
    head = (parsed.single, parsed.service, parsed.team, needs, parsed.idempotent)
    digest = hashlib.sha256(msgspec.json.encode(head))
    for payload in parsed.payloads:
        digest.update(len(payload).to_bytes(8, "big"))
        digest.update(payload)
    return digest.digest()


def _invalid(place: str, message: str) -> _Violation:
    return _Violation(FailureKind.INVALID, Finding(place, message))
