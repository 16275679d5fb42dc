"""Why a request fails, before it is known what of it has run."""

from __future__ import annotations

import attrs

from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.finding import Finding


@attrs.frozen(kw_only=True)
class Rejection:
    """A reason to fail a request.

    A stage that finds a fault returns a rejection.  Only the dispatch book
    turns it into a :class:`Failure`, which also says what may have run.

    Attributes
    ----------
    kind
        Why the request fails.
    detail
        One sentence for a person.
    findings
        The places of the input at fault, if any.
    retry_after_s
        After how many seconds a retry makes sense; ``None`` if it does not.
    knows_id
        Whether the process could know if the request's id was used before; if
        not, an earlier submission of it may have run.
    """

    kind: FailureKind
    detail: str
    findings: tuple[Finding, ...] = ()
    retry_after_s: float | None = None
    knows_id: bool = True
