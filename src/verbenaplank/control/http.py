"""HTTP interface for operators: configuration, members, evacuations, health."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from litestar import Litestar
from litestar import MediaType
from litestar import Request
from litestar import Response
from litestar import delete
from litestar import get
from litestar import post
from litestar import put
from litestar.exceptions import HTTPException
from litestar.openapi import OpenAPIConfig
from litestar.params import FromPath
from litestar.params import FromQuery

from verbenaplank.configuration.commands import ApplySection
from verbenaplank.configuration.commands import AssignOwner
from verbenaplank.configuration.commands import RemoveSection
from verbenaplank.configuration.schema import MAX_TEXT_BYTES
from verbenaplank.control.bodies import ApplyBody
from verbenaplank.control.bodies import CommandBody
from verbenaplank.control.bodies import OwnerBody
from verbenaplank.control.bodies import RegistrarsBody
from verbenaplank.control.bodies import RemoveBody
from verbenaplank.control.bodies import parse_body
from verbenaplank.control.commands import OperatorCommand
from verbenaplank.control.credentials import bearer_token
from verbenaplank.control.evacuation_routes import evacuation_routes
from verbenaplank.control.problem import ProblemError
from verbenaplank.control.problem import problem_error
from verbenaplank.http import messages
from verbenaplank.membership.commands import OrderDrain
from verbenaplank.membership.commands import SetRegistrars
from verbenaplank.outcome.failure import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.control.administration import Administration
    from verbenaplank.control.evacuation import EvacuationAdministration
    from verbenaplank.http.incoming import IncomingRequest
    from verbenaplank.http.refusals import Refusal
    from verbenaplank.observability.rendering import RenderMetrics

AnyRequest = Request[Any, Any, Any]
PathText = FromPath[str]
QueryNumber = FromQuery[int]
MAX_BODY_BYTES = 4 * MAX_TEXT_BYTES
MAX_AUDIT_RECORDS = 1_000
PROBLEM_MEDIA_TYPE = "application/problem+json"


def http_application(
    administration: Administration,
    evacuations: EvacuationAdministration,
    is_ready: Callable[[], bool],
    metrics: RenderMetrics,
) -> Litestar:
    """Return the ASGI application that serves operators."""
    return Litestar(
        route_handlers=[
            *_configuration_routes(administration),
            *_section_routes(administration),
            *_member_routes(administration),
            *evacuation_routes(administration, evacuations),
            *_operations_routes(is_ready, metrics),
        ],
        request_max_body_size=MAX_BODY_BYTES,
        exception_handlers={
            ProblemError: _problem_response,
            HTTPException: _http_error_response,
        },
        openapi_config=OpenAPIConfig(title="verbenaplank control", version="1"),
        logging_config=None,
    )


def _configuration_routes(administration: Administration) -> list[Any]:
    @get("/v1/configuration")
    async def document() -> Response[bytes]:
        return _json_response(await administration.document())

    @get("/v1/configuration/status")
    async def status() -> Response[bytes]:
        return _json_response(await administration.status())

    @get("/v1/configuration/sections/{name:str}")
    async def section(name: PathText) -> Response[bytes]:
        return _json_response(await administration.section(name))

    @get("/v1/configuration/sections/{name:str}/history")
    async def history(name: PathText) -> Response[bytes]:
        return _json_response(await administration.history(name))

    @get("/v1/audit")
    async def audit(
        after: QueryNumber = 0, limit: QueryNumber = MAX_AUDIT_RECORDS
    ) -> Response[bytes]:
        return _json_response(
            await administration.audit(after, min(limit, MAX_AUDIT_RECORDS))
        )

    return [document, status, section, history, audit]


def _section_routes(administration: Administration) -> list[Any]:
    @put("/v1/configuration/sections/{name:str}")
    async def apply(name: PathText, request: AnyRequest) -> Response[bytes]:
        body = parse_body(await request.body(), ApplyBody)
        change = ApplySection(
            section=name, expected_version=body.expected_version, text=body.text
        )
        origin = await administration.authenticate(_token(request), body.command_id)
        command = OperatorCommand(origin=origin, apply=change)
        return _json_response(await administration.propose(command))

    @delete("/v1/configuration/sections/{name:str}", status_code=HTTPStatus.OK)
    async def remove(name: PathText, request: AnyRequest) -> Response[bytes]:
        body = parse_body(await request.body(), RemoveBody)
        change = RemoveSection(section=name, expected_version=body.expected_version)
        origin = await administration.authenticate(_token(request), body.command_id)
        command = OperatorCommand(origin=origin, remove=change)
        return _json_response(await administration.propose(command))

    @put("/v1/configuration/owners/{name:str}")
    async def assign(name: PathText, request: AnyRequest) -> Response[bytes]:
        body = parse_body(await request.body(), OwnerBody)
        change = AssignOwner(
            section=name,
            team=body.team,
            token_sha256=body.token_sha256,
            grants=body.grants,
        )
        origin = await administration.authenticate(_token(request), body.command_id)
        command = OperatorCommand(origin=origin, assign=change)
        return _json_response(await administration.propose(command))

    return [apply, remove, assign]


def _member_routes(administration: Administration) -> list[Any]:
    @get("/v1/members")
    async def members() -> Response[bytes]:
        return _json_response(await administration.members())

    @post("/v1/members/{member_id:str}/drain", status_code=HTTPStatus.OK)
    async def drain(member_id: PathText, request: AnyRequest) -> Response[bytes]:
        return await order_drain(OrderDrain(member_id=member_id, drain=True), request)

    @post("/v1/members/{member_id:str}/undrain", status_code=HTTPStatus.OK)
    async def undrain(member_id: PathText, request: AnyRequest) -> Response[bytes]:
        return await order_drain(OrderDrain(member_id=member_id, drain=False), request)

    async def order_drain(change: OrderDrain, request: AnyRequest) -> Response[bytes]:
        body = parse_body(await request.body(), CommandBody)
        origin = await administration.authenticate(_token(request), body.command_id)
        command = OperatorCommand(origin=origin, drain=change)
        return _json_response(await administration.propose(command))

    @get("/v1/registrars")
    async def registrars() -> Response[bytes]:
        return _json_response(await administration.registrars())

    @put("/v1/registrars")
    async def set_registrars(request: AnyRequest) -> Response[bytes]:
        body = parse_body(await request.body(), RegistrarsBody)
        origin = await administration.authenticate(_token(request), body.command_id)
        change = SetRegistrars(
            expected_epoch=body.expected_epoch,
            registrars=administration.resolve_registrars(body.instance_ids),
        )
        command = OperatorCommand(origin=origin, registrars=change)
        return _json_response(await administration.propose(command))

    return [members, drain, undrain, registrars, set_registrars]


def _operations_routes(
    is_ready: Callable[[], bool], metrics: RenderMetrics
) -> list[Any]:
    @get("/healthz", media_type=MediaType.TEXT)
    async def health() -> str:
        return "ok\n"

    @get("/readyz", media_type=MediaType.TEXT)
    async def readiness() -> Response[str]:
        if is_ready():
            return Response("ready\n")
        return Response("not ready\n", status_code=HTTPStatus.SERVICE_UNAVAILABLE)

    @get("/metrics")
    async def metrics_text() -> Response[bytes]:
        text, media_type = metrics()
        return Response(text, media_type=media_type)

    return [health, readiness, metrics_text]


def _token(request: AnyRequest) -> str:
    return bearer_token(request.headers.get("authorization", ""))


def _json_response(content: object) -> Response[bytes]:
    return Response(msgspec.json.encode(content), media_type=MediaType.JSON)


def _problem_response(request: AnyRequest, error: ProblemError) -> Response[bytes]:
    del request
    return Response(
        msgspec.json.encode(error.problem),
        status_code=error.problem.status,
        media_type=PROBLEM_MEDIA_TYPE,
    )


def refusal_response(
    refusal: Refusal, incoming: IncomingRequest | None
) -> messages.Response:
    """Return the response of a request that was refused without being read.

    Its command may be that of an earlier request, whose outcome is not known here.
    """
    del incoming
    error = problem_error(refusal.status, refusal.detail, run=RunState.MAY_HAVE_RUN)
    headers = {"content-type": PROBLEM_MEDIA_TYPE}
    if refusal.retry_after_s is not None:
        headers["retry-after"] = str(refusal.retry_after_s)
    return messages.Response(
        status=refusal.status, body=msgspec.json.encode(error.problem), headers=headers
    )


def _http_error_response(request: AnyRequest, error: HTTPException) -> Response[bytes]:
    return _problem_response(
        request, problem_error(HTTPStatus(error.status_code), error.detail)
    )
