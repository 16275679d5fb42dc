"""The admit stage: what this entry takes on now."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.finding import Finding
from verbenaplank.outcome.rejection import Rejection

if TYPE_CHECKING:
    from verbenaplank.entry.submission import Submission

RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class EntryCondition:
    """What the entry can take on.

    Attributes
    ----------
    ready
        Whether what the entry knows is backed by a quorum and its lease runs.
    possible
        Whether a known worker could ever hold the request's needs.
    offered
        Whether a known backend server offers the request's service.
    """

    ready: bool
    draining: bool
    registry_full: bool
    queued_tasks: int
    max_queued_tasks: int
    possible: bool
    offered: bool


def admit(submission: Submission, condition: EntryCondition) -> Rejection | None:
    """Return why a request is not taken on, or ``None`` if it is."""
    if condition.draining:
        return _later(FailureKind.NOT_READY, "the entry is stopping")
    if not condition.ready:
        return _later(FailureKind.NOT_READY, "the entry is not ready")
    if not condition.offered:
        detail = f"no backend server offers {submission.service!r} now"
        return _later(FailureKind.NOT_READY, detail)
    if not condition.possible:
        return impossible_needs(submission)
    count = len(submission.payloads)
    if condition.queued_tasks + count > condition.max_queued_tasks:
        return _later(FailureKind.OVERLOADED, "too many tasks wait at the entry")
    if condition.registry_full:
        return _later(FailureKind.OVERLOADED, "the entry holds too many requests")
    return None


def impossible_needs(submission: Submission) -> Rejection:
    """Return the rejection of needs that no known worker could ever hold."""
    needs = submission.needs
    message = (
        f"no worker that offers {submission.service!r} holds {needs.cores} cores, "
        f"{needs.memory_mb} MB of memory and {needs.accelerators} accelerators"
    )
    return Rejection(
        kind=FailureKind.IMPOSSIBLE_NEEDS,
        detail="the needs of a task can never be met",
        findings=(Finding("needs", message),),
    )


def _later(kind: FailureKind, detail: str) -> Rejection:
    return Rejection(kind=kind, detail=detail, retry_after_s=RETRY_AFTER_S)
