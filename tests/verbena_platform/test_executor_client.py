from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
import msgspec
import pytest

from verbena_platform.executor import ExecutorClient
from verbenaplank.agent.call_timeouts import CALL_TIMEOUTS_S
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import PollRequest
from verbenaplank.agent.lease_protocol import RestartFoundError
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.agent.lease_protocol import StartRequest
from verbenaplank.agent.report import BackendServerReport
from verbenaplank.http.handler_server import HandlerServer
from verbenaplank.http.limits import HttpLimits
from verbenaplank.http.messages import Request
from verbenaplank.http.messages import Response
from verbenaplank.placement.task import Resources
from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Coroutine

LIMITS = HttpLimits(max_body_bytes=1024 * 1024)
BORN = 1_700
TIMEOUT_S = 0.5
"""Long enough that a call on a busy machine fails only if it gets no answer."""


def make_client(port: int) -> ExecutorClient:
    report = BackendServerReport(
        server_id="i-1",
        incarnation=str(BORN),
        service="draw",
        address=f"127.0.0.1:{port}",
        sequence=1,
        slots=8,
        draining=False,
        size=Resources(cores=8.0, memory_mb=1_000),
    )
    return ExecutorClient(report)


@attrs.define
class LossyExecutor:
    """Leaves the first orders unanswered, and answers all others at once."""

    port: int
    orders_to_lose: int = 0
    orders: int = 0
    polls: int = 0
    poll_delay_s: float = 0.0
    lease_until_ms: int = 0
    born: int = BORN

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[ExecutorClient]:
        address = Address("127.0.0.1", self.port)
        async with HandlerServer(self.handle, lambda: LIMITS, address, 0.1):
            client = make_client(self.port)
            yield client
            client.close()

    async def handle(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body)
        self.lease_until_ms = call.get("deadline-ms", self.lease_until_ms)
        if request.path == "/v1/hold":
            self.polls += 1
            await asyncio.sleep(self.poll_delay_s)
        else:
            self.orders += 1
            if self.orders <= self.orders_to_lose:
                await asyncio.Event().wait()
        body = {"clock-ms": 1_000, "born": self.born, "active": [], "finished": []}
        return Response(status=200, body=msgspec.json.encode(body))


async def stop(client: ExecutorClient, number: int) -> None:
    await client.stop(RunId(f"task-{number}", 1), 1, TIMEOUT_S)


async def test_stops_do_not_wait_behind_those_without_an_answer(
    unused_tcp_port: int,
) -> None:
    """They timed out behind unanswered ones, without having been sent.

    So most of the attempts to stop the runs of a killed entry reached nobody.
    """
    executor = LossyExecutor(unused_tcp_port, orders_to_lose=8)
    async with executor.serving() as client:
        stops = [stop(client, number) for number in range(32)]
        results = await asyncio.gather(*stops, return_exceptions=True)
        assert executor.orders == 32
        assert sum(isinstance(result, CallFailedError) for result in results) == 8


async def test_calls_without_an_answer_have_a_limit(unused_tcp_port: int) -> None:
    """An executor accepts few connections, and a call costs memory."""
    executor = LossyExecutor(unused_tcp_port, orders_to_lose=100)
    async with executor.serving() as client:
        stops = [asyncio.create_task(stop(client, number)) for number in range(40)]
        await asyncio.sleep(0.8 * TIMEOUT_S)
        assert executor.orders <= 16
        await asyncio.gather(*stops, return_exceptions=True)
        assert executor.orders == 40


async def test_call_that_is_not_sent_is_told_apart(unused_tcp_port: int) -> None:
    """The run of a start that was not sent has certainly not started."""
    client = make_client(unused_tcp_port)
    with pytest.raises(NotSentError):
        await stop(client, 1)


@pytest.mark.parametrize("call", ["start", "poll"])
async def test_call_on_a_new_connection_reaches_no_next_incarnation(
    unused_tcp_port: int, call: str
) -> None:
    """A connection opened during a restart led to the next life of the executor.

    It took over the end of the lease, which was a time on the clock of the former life
    and far ahead of its own; some executors keep such a lease as it is given.
    """
    executor = LossyExecutor(unused_tcp_port, born=BORN + 1)
    async with executor.serving() as client:
        poll_request = PollRequest(fence=7, deadline_ms=9_000, acknowledged=0)
        start_request = StartRequest(
            run=RunId("task", 1), content="", deadline_ms=9_000, fence=7
        )
        sending: Coroutine[None, None, object] = (
            client.poll(poll_request, TIMEOUT_S)
            if call == "poll"
            else client.start(start_request, TIMEOUT_S)
        )
        with pytest.raises(RestartFoundError):
            await sending
        assert executor.orders == 0
        assert executor.lease_until_ms == 0


async def test_connection_is_introduced_once(unused_tcp_port: int) -> None:
    """The introduction costs a call, so it must not come with each request."""
    executor = LossyExecutor(unused_tcp_port)
    async with executor.serving() as client:
        for number in range(5):
            await stop(client, number)
        assert (executor.orders, executor.polls) == (5, 1)


async def test_introduction_takes_no_time_of_the_call(unused_tcp_port: int) -> None:
    """Calls of a busy agent were given up before they were sent."""
    executor = LossyExecutor(unused_tcp_port, poll_delay_s=0.1)
    async with executor.serving() as client:
        await client.stop(RunId("task", 1), 1, CALL_TIMEOUTS_S[0])
        assert executor.orders == 1
