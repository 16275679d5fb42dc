"""A decoded request body, before validation."""

from __future__ import annotations

import attrs

from verbenaplank.outcome.finding import Finding
from verbenaplank.placement.task import Resources


@attrs.frozen(kw_only=True)
class ParsedRequest:
    """The fields of a request body that could be decoded, and all errors found.

    Attributes
    ----------
    single
        Whether the body is a single request instead of a job of tasks.
    job_id
        The caller's id; empty if there is none.
    deadline_ms
        Milliseconds from arrival to the deadline, or ``None`` for the default.
    payloads
        JSON text of each task's payload, in order.
    idempotent
        Whether the caller allows the request to run more than once.
    max_runs
        Maximum number of runs of an idempotent request, or ``None``.
    preferred_rack
        Rack on which the tasks run fastest; empty if there is none.
    findings
        The errors found while decoding.
    """

    single: bool
    job_id: str = ""
    service: str = ""
    team: str = ""
    urgent: bool = False
    deadline_ms: int | None = None
    needs: Resources = attrs.field(factory=Resources)
    payloads: tuple[bytes, ...] = ()
    idempotent: bool = False
    max_runs: int | None = None
    preferred_rack: str = ""
    findings: tuple[Finding, ...] = ()
