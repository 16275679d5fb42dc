"""Problem details (RFC 9457) of the administration's HTTP."""

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
    """Why a request failed.

    Attributes
    ----------
    run
        ``not_run`` if the command surely has no effect, ``may_have_run`` if
        its outcome is not known.
    section_version
        The section's current version, where the problem is about one.
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
    """Ends a request with a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def problem(
    status: HTTPStatus,
    detail: str,
    *,
    run: RunState = RunState.NOT_RUN,
    findings: tuple[Finding, ...] = (),
) -> ProblemError:
    """Return an error that ends a request."""
    return ProblemError(
        Problem(
            title=status.phrase,
            status=status,
            detail=detail,
            run=run,
            findings=findings,
        )
    )


def refusal(outcome: CommandOutcome) -> ProblemError:
    """Return the error for a command that was refused."""
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
