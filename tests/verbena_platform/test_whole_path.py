"""The platform's three programs together, with a stand-in for its executor."""

from __future__ import annotations

import asyncio
import logging
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import httpx
import pytest
from standin_executor import StandInExecutor
from whole_path import AGENT_HOST
from whole_path import CONTROL_HOSTS
from whole_path import ENTRY_HOST
from whole_path import HOST
from whole_path import JOB
from whole_path import SECOND_ENTRY_HOST
from whole_path import Platform
from whole_path import choose_first_port
from whole_path import document
from whole_path import succeeded

from verbena_platform.entry import entry_program
from verbenaplank.agent import decision_log
from verbenaplank.consensus.local_client import MAX_COMMAND_BYTES
from verbenaplank.rpc.address import Address
from verbenaplank.settings.clients import ClientSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

REPORT_DECISIONS = {
    "status report rejected",
    "another backend server incarnation reported",
}
"""Log messages of an agent that has decided about a report of another writer."""


MAX_CONNECTIONS = 20


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    port = choose_first_port()
    executor = StandInExecutor(Address(AGENT_HOST, port + 13), "s")
    async with AsyncExitStack() as stack:
        clients = ClientSettings(max_connections=MAX_CONNECTIONS)
        site = Platform(stack, tmp_path, port, executor, clients)
        await site.start()
        yield site


async def test_job_runs_from_the_caller_to_the_executor(platform: Platform) -> None:
    early = await platform.call("POST", "/draw/00000000000000aa", JOB)
    assert (early.status_code, early.headers["Retry-After"]) == (503, "1")
    assert await platform.put(document()) == 200

    await platform.post_until("/draw/", succeeded)

    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        for host in (ENTRY_HOST, CONTROL_HOSTS[0]):
            url = f"http://{host}:{platform.port + 14}/metrics"
            metrics = (await client.get(url)).text
            assert "verbenaplank_" in metrics
            if host == ENTRY_HOST:
                assert 'duration_seconds_count{outcome="succeeded"' in metrics

    names = {start["task"].split(".", 1)[1] for start in platform.executor.starts}
    assert names == {"0.0.0", "0.0.1", "0.0.2"}
    assert {start["spec"] for start in platform.executor.starts} == {"text"}
    assert (await platform.call("GET", "/draw/")).json() == {"pending": 0}
    assert (await platform.call("GET", "/none/1")).status_code == 404
    assert (await platform.call("GET", "/draw/00000000000000bb")).status_code == 410


async def test_every_control_instance_keeps_the_newest_valid_document(
    platform: Platform,
) -> None:
    assert await platform.put(document(7), 0) == 200
    assert await platform.put(document(5, host="other.example"), 1) == 200
    assert await platform.put(document(7), 2) == 200
    assert await platform.put(document(7, host="other.example"), 1) == 409
    assert await platform.put(document(9, service="none"), 1) == 400
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        for number in range(len(CONTROL_HOSTS)):
            answer = await client.get(platform.control_url(number))
            assert answer.json() == document(7)


async def test_document_too_large_for_the_log_is_refused_with_the_limit(
    platform: Platform,
) -> None:
    """It was answered 503 for good, which asks the operator to send it again."""
    large = document()
    large["routes"] = [
        large["routes"][0] | {"name": f"r{number}", "path-prefix": f"/{number:0100}/"}
        for number in range(4_000)
    ]
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        refused = await client.put(platform.control_url(0), json=large)
    assert refused.status_code == 413
    assert str(MAX_COMMAND_BYTES) in refused.json()["findings"][0]["message"]
    assert await platform.put(document()) == 200


async def test_route_missing_from_a_newer_document_is_no_longer_found(
    platform: Platform,
) -> None:
    await platform.put(document(3))
    await platform.post_until("/draw/", succeeded)
    await platform.put(document(4, **{"path-prefix": "/other/"}))
    await platform.post_until("/draw/", lambda answer: answer.status_code == 404)
    await platform.post_until("/other/", succeeded)


async def test_draining_executor_gets_no_further_starts(platform: Platform) -> None:
    await platform.put(document())
    await platform.post_until("/draw/", succeeded)
    agent = Address(AGENT_HOST, platform.port + 10)
    await platform.executor.report(agent, "draining")
    await platform.post_until("/draw/", lambda answer: answer.status_code == 503)
    count = len(platform.executor.starts)
    await platform.call("POST", "/draw/00000000000000cc", JOB)
    assert len(platform.executor.starts) == count


async def test_restarted_executor_gets_starts_again(platform: Platform) -> None:
    await platform.put(document())
    await platform.post_until("/draw/", succeeded)
    executor = platform.executor
    executor.born, executor.sequence, executor.fence = 1_800, 0, 0
    executor.active.clear()
    executor.ends.clear()
    count = len(executor.starts)
    await executor.report(Address(AGENT_HOST, platform.port + 10))
    await platform.post_until("/draw/", succeeded)
    assert len(executor.starts) > count


async def test_executor_that_saw_the_fence_of_its_former_life_gets_starts_again(
    platform: Platform,
) -> None:
    """Executors that crashed were lost: a poll of the former life came first.

    It brought the fencing token of that life, and the agent's next one was lower, as
    it was the executor's clock, which had started anew.
    """
    await platform.put(document())
    await platform.post_until("/draw/", succeeded)
    executor = platform.executor
    former_fence = executor.fence
    executor.restart()
    executor.fence = former_fence
    count = len(executor.starts)
    await executor.report(Address(AGENT_HOST, platform.port + 10))
    await platform.post_until("/draw/", succeeded)
    assert len(executor.starts) > count


@pytest.mark.parametrize("port", [808080, 1])
async def test_executor_stays_in_use_after_a_report_of_another_writer(
    platform: Platform, port: int, caplog: pytest.LogCaptureFixture
) -> None:
    """One such report ended the agent's only task that serves executors."""
    caplog.set_level(logging.INFO, decision_log.__name__)
    await platform.put(document())
    await platform.post_until("/draw/", succeeded)
    agent = Address(AGENT_HOST, platform.port + 10)
    address = f"{AGENT_HOST}:{port}"
    await platform.executor.report(agent, server_id="i-9", address=address, service="x")
    async with asyncio.timeout(10):
        while REPORT_DECISIONS.isdisjoint(caplog.messages):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    count = len(platform.executor.starts)
    assert succeeded(await platform.call("POST", "/draw/00000000000000ee", JOB))
    assert len(platform.executor.starts) > count


async def test_job_is_stopped_when_its_caller_disconnects(platform: Platform) -> None:
    await platform.put(document())
    await platform.post_until("/draw/", succeeded)
    platform.executor.task_s = 30.0
    waiting = asyncio.create_task(platform.call("POST", "/draw/00000000000000dd", JOB))
    async with asyncio.timeout(10):
        while not platform.executor.active:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        waiting.cancel()
        while platform.executor.active:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    await asyncio.gather(waiting, return_exceptions=True)


async def test_cancel_at_another_entry_stops_the_job(platform: Platform) -> None:
    """It was answered 410, and the tasks of the job ran on for seconds."""
    second = platform.node(SECOND_ENTRY_HOST)
    async with entry_program(second):
        await platform.put(document())
        await platform.post_until("/draw/", succeeded)
        platform.executor.task_s = 30.0
        path = "/draw/00000000000000dd"
        waiting = asyncio.create_task(platform.call("POST", path, JOB))
        async with asyncio.timeout(10):
            while not platform.executor.active:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            cancelled = await platform.call("DELETE", path, host=SECOND_ENTRY_HOST)
            assert cancelled.status_code == 200
            while platform.executor.active:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            await waiting
        gone = await platform.call("DELETE", path, host=SECOND_ENTRY_HOST)
        assert gone.status_code == 410


async def test_refusal_promises_nothing_of_a_job_that_runs(platform: Platform) -> None:
    """Status 503 says that the job never runs, and an earlier request may run it."""
    await platform.put(document())
    await platform.post_until("/draw/", succeeded)
    platform.executor.task_s = 30.0
    path = "/draw/00000000000000dd"
    running = asyncio.create_task(platform.call("POST", path, JOB))
    async with asyncio.timeout(10):
        while not platform.executor.active:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    other = "/draw/00000000000000ee"
    statuses = [await _status_of_shed_request(platform, each) for each in (path, other)]
    assert statuses == [504, 503]
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


async def _status_of_shed_request(platform: Platform, path: str) -> int:
    """Stop within a request, until later ones have used up the connections."""
    host, port = ENTRY_HOST, platform.port + 11
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 9\r\n\r\n"
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(head.encode())
    others = []
    async with asyncio.timeout(20):
        answering = asyncio.create_task(reader.readline())
        while not answering.done():
            others.append((await asyncio.open_connection(host, port))[1])
            await asyncio.sleep(0)
    for each in (writer, *others):
        each.transport.abort()
    return int((await answering).split()[1])
