from __future__ import annotations

import asyncio
from typing import Any

import pytest

from verbenaplank.http.asgi import asgi_handler
from verbenaplank.http.headers import HeaderFields
from verbenaplank.http.messages import Request


class Application:
    """Answers with what it was asked, once it may."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.has_begun = asyncio.Event()
        self.scopes: list[dict[str, Any]] = []

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        self.scopes.append(scope)
        self.has_begun.set()
        body = (await receive())["body"]
        await self.may_answer.wait()
        headers = [(b"Content-Length", b"9"), (b"Key", b"v")]
        await send({"type": "http.response.start", "status": 201, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": True})
        await send({"type": "http.response.body", "body": b"!"})


def _request() -> Request:
    headers = HeaderFields()
    headers.add(b"Authorization", b"Bearer t")
    headers.add(b"X-Other", b"1")
    return Request(
        method="POST", path="/a b", query=b"c=d", headers=headers, body=b"text"
    )


async def test_application_is_asked_and_its_answer_returned() -> None:
    application = Application()
    application.may_answer.set()
    response = await asgi_handler(application, set())(_request())
    assert (response.status, response.body) == (201, b"text!")
    assert response.headers == {"Key": "v"}
    (scope,) = application.scopes
    assert (scope["method"], scope["path"]) == ("POST", "/a b")
    assert scope["query_string"] == b"c=d"
    assert scope["headers"] == [(b"authorization", b"Bearer t")]


async def test_application_goes_on_when_its_client_disconnects() -> None:
    """Guards against a job that is lost because its caller went away."""
    application = Application()
    tasks: set[asyncio.Task[Any]] = set()
    handling = asyncio.ensure_future(asgi_handler(application, tasks)(_request()))
    await application.has_begun.wait()
    handling.cancel()
    with pytest.raises(asyncio.CancelledError):
        await handling
    (task,) = tasks
    application.may_answer.set()
    assert (await task).status == 201
    assert not tasks
