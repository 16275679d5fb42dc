"""Reason why a request fails, before it is known whether its tasks have run."""

from __future__ import annotations

import attrs

from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.finding import Finding
from verbenaplank.overload.refusal import RefusalCause


@attrs.frozen(kw_only=True)
class Rejection:
    """Reason why a processing stage rejects a request.

    Only the dispatch table turns a rejection into a :class:`Failure`, since it
    knows whether tasks of the request may have run.

    Attributes
    ----------
    kind
        Why the request fails.
    detail
        The reason in one sentence, for a human reader.
    findings
        The faults in the input, if any.
    retry_after_s
        Time in seconds after which the caller may retry; ``None`` if a retry is
        of no use.
    knows_id
        Whether the process knows if the request's id was submitted before; if it
        does not, tasks of an earlier submission may have run.
    cause
        Why the entry refuses the request; ``None`` if it is not a refusal.
    """

    kind: FailureKind
    detail: str
    findings: tuple[Finding, ...] = ()
    retry_after_s: float | None = None
    knows_id: bool = True
    cause: RefusalCause | None = None
