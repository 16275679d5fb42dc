"""Failures that callers receive, which say whether any task has run."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.outcome.finding import Finding
from verbenaplank.overload.refusal import RefusalCause


class RunState(StrEnum):
    """Whether any task of a failed request was started, as far as is known."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class FailureKind(StrEnum):
    """Why a request failed."""

    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_TEAM = "unknown_team"
    UNKNOWN_JOB = "unknown_job"
    IMPOSSIBLE_NEEDS = "impossible_needs"
    ID_REUSED = "id_reused"
    TOO_LARGE = "too_large"
    OVER_QUOTA = "over_quota"
    OVERLOADED = "overloaded"
    NO_QUORUM = "no_quorum"
    NOT_READY = "not_ready"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"


@attrs.frozen(kw_only=True)
class Failure:
    """A request that failed as a whole.

    Attributes
    ----------
    kind
        Why it failed.
    detail
        The reason in one sentence, for a human reader.
    run
        Whether any of its tasks was started, as far as is known.
    findings
        The faults in the input, if any.
    retry_after_s
        Time in seconds after which the caller may retry; ``None`` if a retry is
        of no use.
    cause
        Why the entry refused it; ``None`` if it is not a refusal.
    """

    kind: FailureKind
    detail: str
    run: RunState
    findings: tuple[Finding, ...] = ()
    retry_after_s: float | None = None
    cause: RefusalCause | None = None
