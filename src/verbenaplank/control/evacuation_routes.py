"""HTTP interface for operators who evacuate data centres and end that."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from litestar import MediaType
from litestar import Request
from litestar import Response
from litestar import delete
from litestar import get
from litestar import post
from litestar.params import FromPath

from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.control.bodies import CommandBody
from verbenaplank.control.bodies import EvacuationBody
from verbenaplank.control.bodies import parse_body
from verbenaplank.control.credentials import bearer_token
from verbenaplank.control.problem import problem_error
from verbenaplank.evacuation.commands import EvacuationVerdict
from verbenaplank.outcome.failure import RunState

if TYPE_CHECKING:
    from verbenaplank.control.administration import Administration
    from verbenaplank.control.evacuation import EvacuationAdministration

AnyRequest = Request[Any, Any, Any]
PathText = FromPath[str]

MAX_NAME_CHARACTERS = 100

STATUS_BY_VERDICT = {
    EvacuationVerdict.FORBIDDEN: HTTPStatus.FORBIDDEN,
    EvacuationVerdict.COMMAND_ID_REUSED: HTTPStatus.CONFLICT,
}


def evacuation_routes(
    administration: Administration, evacuations: EvacuationAdministration
) -> list[Any]:
    """Return the handlers that order, withdraw and list evacuations."""

    @post("/v1/evacuations/{data_centre:str}", status_code=HTTPStatus.OK)
    async def start(data_centre: PathText, request: AnyRequest) -> Response[bytes]:
        return await order(data_centre, request, evacuated=True)

    @delete("/v1/evacuations/{data_centre:str}", status_code=HTTPStatus.OK)
    async def end(data_centre: PathText, request: AnyRequest) -> Response[bytes]:
        return await order(data_centre, request, evacuated=False)

    @get("/v1/evacuations")
    async def current() -> Response[bytes]:
        await administration.wait_for_read_barrier()
        return _json_response(evacuations.applied_list)

    async def order(
        data_centre: str, request: AnyRequest, *, evacuated: bool
    ) -> Response[bytes]:
        body = parse_body(await request.body(), CommandBody)
        _check_name(data_centre)
        token = bearer_token(request.headers.get("authorization", ""))
        origin = await administration.authenticate(token, body.command_id)
        _check_known(data_centre, evacuations.known_data_centres())
        try:
            outcome = await evacuations.order(
                data_centre, evacuated=evacuated, origin=origin
            )
        except ProposalRejectedError as error:
            detail = f"the order was rejected and has no effect: {error}"
            raise problem_error(HTTPStatus.SERVICE_UNAVAILABLE, detail) from error
        except OutcomeUnknownError as error:
            detail = (
                "the outcome is unknown; send the order again with the same command id"
            )
            run = RunState.MAY_HAVE_RUN
            status = HTTPStatus.SERVICE_UNAVAILABLE
            raise problem_error(status, detail, run=run) from error
        if not outcome.accepted:
            raise problem_error(STATUS_BY_VERDICT[outcome.verdict], outcome.detail)
        return _json_response(
            EvacuationBody(
                verdict=outcome.verdict,
                data_centre=data_centre,
                revision=outcome.revision,
            )
        )

    return [start, end, current]


def _check_name(name: str) -> None:
    if len(name) <= MAX_NAME_CHARACTERS and name.isprintable() and name == name.strip():
        return
    detail = (
        f"the name of a data centre has 1 to {MAX_NAME_CHARACTERS} printable "
        "characters and no space around it"
    )
    raise problem_error(HTTPStatus.BAD_REQUEST, detail)


def _check_known(name: str, known: frozenset[str]) -> None:
    if name in known:
        return
    detail = (
        f"no member, control instance or setting names the data centre {name}; "
        f"known ones are {', '.join(sorted(known))}"
    )
    raise problem_error(HTTPStatus.NOT_FOUND, detail)


def _json_response(content: object) -> Response[bytes]:
    return Response(msgspec.json.encode(content), media_type=MediaType.JSON)
