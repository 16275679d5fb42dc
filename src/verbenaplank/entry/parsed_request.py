"""A request body as it was read, before it is checked."""

from __future__ import annotations

import attrs

from verbenaplank.outcome.finding import Finding
from verbenaplank.placement.task import Needs


@attrs.frozen(kw_only=True)
class ParsedRequest:
    """What could be read of a request body, and every fault found so far.

    Attributes
    ----------
    job_id
        The caller's identifier; empty if there is none.
    single
        Whether the body is one call instead of a job of tasks.
    deadline_ms
        Time that the caller gives, or ``None`` for the default.
    payloads
        JSON text of each task, in order.
    max_runs
        How often the caller lets an idempotent call run, or ``None``.
    """

    single: bool
    job_id: str = ""
    service: str = ""
    team: str = ""
    urgent: bool = False
    deadline_ms: int | None = None
    needs: Needs = attrs.field(factory=Needs)
    payloads: tuple[bytes, ...] = ()
    idempotent: bool = False
    max_runs: int | None = None
    findings: tuple[Finding, ...] = ()
