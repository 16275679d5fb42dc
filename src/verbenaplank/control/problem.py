"""Problem details (RFC 9457) of the operators' HTTP interface."""

from __future__ import annotations

from http import HTTPStatus

import attrs

from verbenaplank.configuration.commands import CommandOutcome
from verbenaplank.configuration.commands import Verdict
from verbenaplank.outcome.failure import RunState
from verbenaplank.outcome.finding import Finding

STATUS_BY_VERDICT = {
    Verdict.CONFLICT: HTTPStatus.CONFLICT,
    Verdict.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    Verdict.FORBIDDEN: HTTPStatus.FORBIDDEN,
    Verdict.UNKNOWN_SECTION: HTTPStatus.NOT_FOUND,
    Verdict.UNKNOWN_MEMBER: HTTPStatus.NOT_FOUND,
    Verdict.COMMAND_ID_REUSED: HTTPStatus.CONFLICT,
}


@attrs.frozen(kw_only=True)
class Problem:
    """Body of a response to a request that failed.

    Attributes
    ----------
    run
        ``not_run`` if the command is certain to have no effect, ``may_have_run``
        if its outcome is unknown.
    section_version
        The section's current version, if the problem is about a section.
    """

    type: str = "about:blank"
    title: str
    status: int
    detail: str
    run: RunState = RunState.NOT_RUN
    findings: tuple[Finding, ...] = ()
    verdict: Verdict | None = None
    section_version: int | None = None
    document_version: int | None = None


class ProblemError(Exception):
    """An error whose problem is sent as the response to the request."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def problem_error(
    status: HTTPStatus,
    detail: str,
    *,
    run: RunState = RunState.NOT_RUN,
    findings: tuple[Finding, ...] = (),
) -> ProblemError:
    """Build the error for a request that failed with an HTTP status."""
    return ProblemError(
        Problem(
            title=status.phrase,
            status=status,
            detail=detail,
            run=run,
            findings=findings,
        )
    )


def command_refusal(outcome: CommandOutcome) -> ProblemError:
    """Build the error for a command that the state machine refused."""
    status = STATUS_BY_VERDICT[outcome.verdict]
    return ProblemError(
        Problem(
            title=status.phrase,
            status=status,
            detail=outcome.detail,
            findings=outcome.findings,
            verdict=outcome.verdict,
            section_version=outcome.section_version,
            document_version=outcome.document_version,
        )
    )
