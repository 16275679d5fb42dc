"""HTTP interface for callers: jobs, health, readiness and metrics."""

from __future__ import annotations

import math
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import attrs
from litestar import Litestar
from litestar import MediaType
from litestar import Request
from litestar import Response
from litestar import delete
from litestar import get
from litestar import post
from litestar.exceptions import HTTPException
from litestar.openapi import OpenAPIConfig

from verbenaplank.entry.pipeline import Pipeline
from verbenaplank.http import messages
from verbenaplank.http.refusals import Refusal
from verbenaplank.http.refusals import RefusalResponse
from verbenaplank.identifiers.job_id import InvalidJobIdError
from verbenaplank.identifiers.job_id import parse_job_id
from verbenaplank.observability.rendering import RenderMetrics
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.finding import Finding
from verbenaplank.outcome.rejection import Rejection

if TYPE_CHECKING:
    from litestar.params import FromPath

    from verbenaplank.entry.response import HttpResponse
    from verbenaplank.http.incoming import IncomingRequest

BEARER_PREFIX = "bearer "
UTF_8_SUFFIX = "; charset=utf-8"


@attrs.frozen(kw_only=True)
class HttpDependencies:
    """The objects that the HTTP handlers use.

    Attributes
    ----------
    pipeline
        Processes requests.
    ready
        Returns whether the entry accepts requests.
    metrics
        Returns the metrics as bytes with their media type.
    max_body_bytes
        Maximum size of a request body.
    """

    pipeline: Pipeline
    ready: Callable[[], bool]
    metrics: RenderMetrics
    max_body_bytes: int


def http_application(dependencies: HttpDependencies) -> Litestar:
    """Return the ASGI application of an entry."""
    return Litestar(
        route_handlers=[*_job_routes(dependencies), *_operations_routes(dependencies)],
        request_max_body_size=dependencies.max_body_bytes,
        exception_handlers={HTTPException: _http_exception_handler(dependencies)},
        openapi_config=OpenAPIConfig(title="verbenaplank entry", version="1"),
        logging_config=None,
    )


def _job_routes(dependencies: HttpDependencies) -> list[Any]:
    pipeline = dependencies.pipeline

    @post("/v1/jobs", status_code=HTTPStatus.OK)
    async def submit_job(request: Request[Any, Any, Any]) -> Response[bytes]:
        body = await request.body()
        return _response(await pipeline.submit(body, _token(request), single=False))

    @post("/v1/requests", status_code=HTTPStatus.OK)
    async def submit_request(request: Request[Any, Any, Any]) -> Response[bytes]:
        body = await request.body()
        return _response(await pipeline.submit(body, _token(request), single=True))

    @post("/v1/where", status_code=HTTPStatus.OK)
    async def where(request: Request[Any, Any, Any]) -> Response[bytes]:
        return _response(pipeline.where(await request.body(), _token(request)))

    @get("/v1/jobs/{job_id:str}")
    async def attach(job_id: FromPath[str]) -> Response[bytes]:
        try:
            return _response(await pipeline.attach(parse_job_id(job_id)))
        except InvalidJobIdError as error:
            return _response(pipeline.rejection_response(_invalid_id_rejection(error)))

    @delete("/v1/jobs/{job_id:str}", status_code=HTTPStatus.OK)
    async def cancel(job_id: FromPath[str]) -> Response[bytes]:
        try:
            return _response(await pipeline.cancel(parse_job_id(job_id)))
        except InvalidJobIdError as error:
            return _response(pipeline.rejection_response(_invalid_id_rejection(error)))

    return [submit_job, submit_request, where, attach, cancel]


def _operations_routes(dependencies: HttpDependencies) -> list[Any]:
    @get("/healthz", media_type=MediaType.TEXT)
    async def health() -> str:
        return "ok\n"

    @get("/readyz", media_type=MediaType.TEXT)
    async def readiness() -> Response[str]:
        if dependencies.ready():
            return Response("ready\n")
        return Response("not ready\n", status_code=HTTPStatus.SERVICE_UNAVAILABLE)

    @get("/metrics")
    async def metrics() -> Response[bytes]:
        text, media_type = dependencies.metrics()
        # Litestar adds the charset to text media types itself.
        return Response(text, media_type=media_type.removesuffix(UTF_8_SUFFIX))

    return [health, readiness, metrics]


def _http_exception_handler(
    dependencies: HttpDependencies,
) -> Callable[[Request[Any, Any, Any], HTTPException], Response[bytes]]:
    def handle_http_exception(
        request: Request[Any, Any, Any], error: HTTPException
    ) -> Response[bytes]:
        rejection = _rejection(error, dependencies.max_body_bytes)
        return _response(
            dependencies.pipeline.rejection_response(
                rejection, status=error.status_code
            )
        )

    return handle_http_exception


def refusal_responses(pipeline: Pipeline, max_body_bytes: int) -> RefusalResponse:
    """Return the function that builds the responses of refused requests.

    A refused request was not read, so that its id may be that of an earlier one.
    """

    def respond(
        refusal: Refusal, incoming: IncomingRequest | None
    ) -> messages.Response:
        del incoming
        response = pipeline.rejection_response(
            _refusal_rejection(refusal, max_body_bytes), status=refusal.status
        )
        headers = {"content-type": response.media_type}
        if response.retry_after_s is not None:
            headers["retry-after"] = str(math.ceil(response.retry_after_s))
        return messages.Response(
            status=response.status, body=response.body, headers=headers
        )

    return respond


def _refusal_rejection(refusal: Refusal, max_body_bytes: int) -> Rejection:
    if refusal is Refusal.BODY_TOO_LARGE:
        return _too_large_rejection(max_body_bytes)
    is_overload = refusal is Refusal.OVERLOADED
    return Rejection(
        kind=FailureKind.OVERLOADED if is_overload else FailureKind.INVALID,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        knows_id=False,
    )


def _rejection(error: HTTPException, max_body_bytes: int) -> Rejection:
    if error.status_code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        return _too_large_rejection(max_body_bytes)
    return Rejection(kind=FailureKind.INVALID, detail=error.detail)


def _too_large_rejection(max_body_bytes: int) -> Rejection:
    message = f"exceeds the limit of {max_body_bytes} bytes"
    return Rejection(
        kind=FailureKind.TOO_LARGE,
        detail="the request body is too large",
        findings=(Finding("body", message),),
    )


def _invalid_id_rejection(error: InvalidJobIdError) -> Rejection:
    return Rejection(
        kind=FailureKind.INVALID,
        detail="the path does not contain a valid job id",
        findings=(Finding("id", str(error)),),
    )


def _token(request: Request[Any, Any, Any]) -> str:
    value = request.headers.get("authorization", "")
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return value[len(BEARER_PREFIX) :].strip()


def _response(response: HttpResponse) -> Response[bytes]:
    headers = {}
    if response.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(response.retry_after_s)))
    return Response(
        response.body,
        status_code=response.status,
        media_type=response.media_type,
        headers=headers,
    )
