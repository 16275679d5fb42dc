from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from verbenaplank.agent.backend import BackendClient
from verbenaplank.agent.backend import BackendServerDownError
from verbenaplank.agent.backend import RunReport
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.settings.agent import BackendServerSettings
from verbenaplank.standin.backend_server import StandInBackendServer
from verbenaplank.standin.behaviour import Behaviour
from verbenaplank.standin.behaviour import FailureMode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
TIMEOUT_S = 5.0


def _client(port: int) -> BackendClient:
    settings = BackendServerSettings(
        host="127.0.0.1", port=port, services=("draw",), connections=2
    )
    return BackendClient(settings)


async def _run(client: BackendClient, timeout_s: float = TIMEOUT_S) -> RunReport:
    connection = await client.connect()
    try:
        return await client.run(connection, "job/0/1", "draw", b"{}", timeout_s)
    finally:
        client.release(connection)


@asynccontextmanager
async def _raw_server(
    response: bytes, received: list[bytes], closed: asyncio.Event | None = None
) -> AsyncIterator[int]:
    """Serve one request on each connection with fixed bytes, then close it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.append(await reader.readuntil(b"{}"))
        writer.write(response)
        writer.close()
        await writer.wait_closed()
        if closed is not None:
            closed.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield server.sockets[0].getsockname()[1]


async def test_run_posts_the_payload_with_its_task_id() -> None:
    received: list[bytes] = []
    async with _raw_server(RESPONSE, received) as port, _client(port) as client:
        report = await _run(client)

    assert report == RunReport(TaskOutcome.SUCCEEDED, output=b"1")
    assert received[0].startswith(b"POST /run/draw HTTP/1.1\r\n")
    assert b"Task-Id: job/0/1\r\n" in received[0]


async def test_connection_closed_while_idle_is_replaced() -> None:
    """A run must not be lost because the server closed a pooled connection."""
    received: list[bytes] = []
    closed = asyncio.Event()
    async with _raw_server(RESPONSE, received, closed) as port, _client(port) as client:
        first = await _run(client)
        await closed.wait()
        second = await _run(client)

    assert [first.outcome, second.outcome] == [TaskOutcome.SUCCEEDED] * 2
    assert len(received) == 2


async def test_request_that_may_have_been_received_is_not_sent_again() -> None:
    """The server closes the connection without a response, so the task may have run."""
    received: list[bytes] = []
    async with _raw_server(b"", received) as port, _client(port) as client:
        report = await _run(client)

    assert report.outcome is TaskOutcome.CONNECTION_LOST
    assert len(received) == 1


async def test_idle_connections_are_reused() -> None:
    async with StandInBackendServer("b") as server, _client(server.port) as client:
        first = await client.connect()
        client.release(first)
        await _run(client)
        again = await client.connect()

    assert again is first


async def test_error_status_and_invalid_json_are_reported_as_failures() -> None:
    failing = Behaviour(failure=FailureMode.FAIL)
    async with (
        StandInBackendServer("b", behaviour=failing) as server,
        _client(server.port) as client,
    ):
        failed = await _run(client)
    async with (
        _raw_server(RESPONSE.replace(b"\n1", b"\n{"), []) as port,
        _client(port) as client,
    ):
        invalid = await _run(client)

    assert failed.outcome is TaskOutcome.FAILED
    assert failed.error.startswith("500: ")
    assert invalid == RunReport(TaskOutcome.FAILED, error="the response is not JSON")


async def test_run_that_exceeds_its_budget_times_out() -> None:
    stalling = Behaviour(failure=FailureMode.STALL)
    async with (
        StandInBackendServer("b", behaviour=stalling) as server,
        _client(server.port) as client,
    ):
        report = await _run(client, timeout_s=0.05)

    assert report.outcome is TaskOutcome.TIMED_OUT


async def test_connecting_to_an_unreachable_backend_server_raises() -> None:
    async with StandInBackendServer("b") as server:
        port = server.port
    async with _client(port) as client:
        with pytest.raises(BackendServerDownError):
            await client.connect()
