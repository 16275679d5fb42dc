"""Builds the HTTP responses of jobs, single requests and failures."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
import msgspec

from verbenaplank.outcome.failure import FailureKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.outcome.failure import Failure

JSON_MEDIA_TYPE = "application/json"
PROBLEM_MEDIA_TYPE = "application/problem+json"
PROBLEM_TYPE_PREFIX = "urn:verbenaplank:problem:"

STATUS_BY_KIND = {
    FailureKind.INVALID: HTTPStatus.BAD_REQUEST,
    FailureKind.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    FailureKind.UNKNOWN_SERVICE: HTTPStatus.UNPROCESSABLE_ENTITY,
    FailureKind.UNKNOWN_TEAM: HTTPStatus.UNPROCESSABLE_ENTITY,
    FailureKind.UNKNOWN_JOB: HTTPStatus.NOT_FOUND,
    FailureKind.IMPOSSIBLE_NEEDS: HTTPStatus.UNPROCESSABLE_ENTITY,
    FailureKind.ID_REUSED: HTTPStatus.CONFLICT,
    FailureKind.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    FailureKind.OVER_QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    FailureKind.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    FailureKind.NO_QUORUM: HTTPStatus.SERVICE_UNAVAILABLE,
    FailureKind.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    FailureKind.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    FailureKind.CANCELLED: HTTPStatus.CONFLICT,
    FailureKind.TASK_FAILED: HTTPStatus.BAD_GATEWAY,
    FailureKind.OUTCOME_UNKNOWN: HTTPStatus.INTERNAL_SERVER_ERROR,
}


@attrs.frozen(kw_only=True)
class HttpResponse:
    """Status and body of an HTTP response.

    Attributes
    ----------
    retry_after_s
        Seconds for the ``Retry-After`` header, or ``None`` for no such header.
    """

    status: int
    body: bytes
    retry_after_s: float | None = None

    @property
    def media_type(self) -> str:
        """Return the media type of the body."""
        if self.status == HTTPStatus.OK:
            return JSON_MEDIA_TYPE
        return PROBLEM_MEDIA_TYPE


def job_response(job_id: str, results: Sequence[bytes]) -> HttpResponse:
    """Return the response of a job whose tasks have all succeeded."""
    document = {
        "id": job_id,
        "state": "complete",
        "results": [msgspec.Raw(result) for result in results],
    }
    return HttpResponse(status=HTTPStatus.OK, body=msgspec.json.encode(document))


def single_request_response(job_id: str, result: bytes) -> HttpResponse:
    """Return the response of a single request that has succeeded."""
    document = {"id": job_id, "state": "complete", "result": msgspec.Raw(result)}
    return HttpResponse(status=HTTPStatus.OK, body=msgspec.json.encode(document))


def failure_response(
    failure: Failure, job_id: str = "", status: int | None = None
) -> HttpResponse:
    """Return the problem document (RFC 9457) of a failure.

    Parameters
    ----------
    status
        HTTP status; ``None`` for the default status of the failure's kind.
    """
    status = status or int(STATUS_BY_KIND[failure.kind])
    document: dict[str, object] = {
        "type": PROBLEM_TYPE_PREFIX + failure.kind,
        "title": failure.kind.replace("_", " ").capitalize(),
        "status": status,
        "detail": failure.detail,
        "kind": failure.kind,
        "run": failure.run,
    }
    if job_id:
        document["id"] = job_id
    if failure.findings:
        document["findings"] = failure.findings
    if failure.retry_after_s is not None:
        document["retry_after_s"] = failure.retry_after_s
    return HttpResponse(
        status=status,
        body=msgspec.json.encode(document),
        retry_after_s=failure.retry_after_s,
    )
