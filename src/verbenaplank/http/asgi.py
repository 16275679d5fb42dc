"""Answers HTTP requests with an ASGI application."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import attrs

from verbenaplank.http.messages import Handler
from verbenaplank.http.messages import Request
from verbenaplank.http.messages import Response

Application = Callable[[Any, Any, Any], Awaitable[None]]

PASSED_FIELDS = (
    "accept",
    "authorization",
    "content-length",
    "content-type",
    "host",
)
"""Header fields that applications use.

The others are left out: an application makes objects of each, which live as long as
its request.
"""


def asgi_handler(application: Application, tasks: set[asyncio.Task[Any]]) -> Handler:
    """Return a handler that answers requests with an application.

    The application goes on if the client disconnects, as a job may have begun.

    Parameters
    ----------
    tasks
        Holds the tasks of the application until they end.
    """

    async def handle(request: Request) -> Response:
        exchange = _Exchange(request)
        task = asyncio.ensure_future(exchange.run(application))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return await asyncio.shield(task)

    return handle


@attrs.define
class _Exchange:
    """One request to an application, and what it has answered so far."""

    _request: Request
    _is_body_taken: bool = False
    _status: int = 500
    _headers: dict[str, str] = attrs.field(factory=dict)
    _body: bytearray = attrs.field(factory=bytearray)

    async def run(self, application: Application) -> Response:
        """Call the application and return its response."""
        await application(_scope(self._request), self._receive, self._send)
        return Response(
            status=self._status, headers=self._headers, body=bytes(self._body)
        )

    async def _receive(self) -> dict[str, Any]:
        """Return the body, then wait for good: a disconnection is not reported."""
        if self._is_body_taken:
            await asyncio.Event().wait()
        self._is_body_taken = True
        return {"type": "http.request", "body": self._request.body, "more_body": False}

    async def _send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            self._status = message["status"]
            self._headers = dict(_response_headers(message))
        elif message["type"] == "http.response.body":
            self._body += message.get("body", b"")


def _scope(request: Request) -> dict[str, Any]:
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": request.method,
        "scheme": "http",
        "path": request.path,
        "raw_path": request.path.encode(),
        "query_string": request.query,
        "root_path": "",
        "headers": list(_request_headers(request)),
        "client": None,
        "server": None,
        "state": {},
    }


def _request_headers(request: Request) -> Iterator[tuple[bytes, bytes]]:
    for name in PASSED_FIELDS:
        value = request.headers.get(name)
        if value is not None:
            yield name.encode(), value.encode("latin-1")


def _response_headers(message: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """Return the header fields, but for the length, which the connection sets."""
    for name, value in message["headers"]:
        if name.lower() != b"content-length":
            yield name.decode("latin-1"), value.decode("latin-1")
