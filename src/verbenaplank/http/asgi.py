"""Wraps HTTP handlers as ASGI applications, without a web framework."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from verbenaplank.http.messages import Handler
from verbenaplank.http.messages import Request
from verbenaplank.http.messages import Response
from verbenaplank.http.messages import call_handler

Application = Callable[[Any, Any, Any], Awaitable[None]]


def asgi_application(
    handler: Handler, max_body_bytes: Callable[[], int]
) -> Application:
    """Return an ASGI application that answers requests with a handler.

    The handler is cancelled if its client disconnects.  If it raises an
    exception, the client gets status 502.

    Parameters
    ----------
    max_body_bytes
        Function that returns the size of the largest permitted body, in bytes; a
        request with a larger one gets status 413.
    """

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        body = await _read_body(receive, max_body_bytes())
        if body is None:
            response = Response(status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            await _send(send, response)
            return
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        request = Request(
            method=scope["method"], path=scope["path"], headers=headers, body=body
        )
        answer = await _answer_or_disconnect(handler, request, receive)
        if answer is not None:
            await _send(send, answer)

    return serve


async def _answer_or_disconnect(
    handler: Handler, request: Request, receive: Any
) -> Response | None:
    """Return the handler's response, or ``None`` if the client disconnected."""
    handling = asyncio.ensure_future(call_handler(handler, request))
    disconnection = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait(
            (handling, disconnection), return_when=asyncio.FIRST_COMPLETED
        )
        if not handling.done():
            return None
        return handling.result()
    finally:
        handling.cancel()
        disconnection.cancel()
        await asyncio.gather(handling, disconnection, return_exceptions=True)


async def _wait_for_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue


async def _read_body(receive: Any, limit_bytes: int) -> bytes | None:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return bytes(body)
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            return None
        if not message.get("more_body", False):
            return bytes(body)


async def _send(send: Any, response: Response) -> None:
    headers = [(b"content-length", str(len(response.body)).encode())]
    headers += [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers.items()
    ]
    start = {
        "type": "http.response.start",
        "status": int(response.status),
        "headers": headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": response.body})
