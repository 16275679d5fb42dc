"""HTTP requests and responses with whole bodies, and the handlers between them."""

from __future__ import annotations

import logging
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from http import HTTPStatus

import attrs

logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Request:
    """An HTTP request with its whole body; header names are in lower case.

    Attributes
    ----------
    query
        The part of the target after ``?``, as it was sent.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    query: bytes = b""


@attrs.frozen(kw_only=True)
class Response:
    """An HTTP response with its whole body."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)


Handler = Callable[[Request], Awaitable[Response]]


async def call_handler(handler: Handler, request: Request) -> Response:
    """Return the handler's response, or one with status 502 if it raises."""
    try:
        return await handler(request)
    except Exception:
        logger.exception("request handler failed", extra={"path": request.path})
        return Response(status=HTTPStatus.BAD_GATEWAY)
