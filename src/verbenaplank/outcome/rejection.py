"""The reason why a request fails, without whether its tasks have run."""

from __future__ import annotations

import attrs

from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.finding import Finding


@attrs.frozen(kw_only=True)
class Rejection:
    """The reason why a stage of the processing rejects a request.

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
        Whether the process can know if the request's id was submitted before; if
        not, tasks of an earlier submission may have run.
    """

    kind: FailureKind
    detail: str
    findings: tuple[Finding, ...] = ()
    retry_after_s: float | None = None
    knows_id: bool = True
