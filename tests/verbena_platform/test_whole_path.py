"""The platform's three programs together, with a stand-in for its executor."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import attrs
import httpx
import pytest
from standin_executor import StandInExecutor

from verbena_platform.agent import agent_program
from verbena_platform.control import control_program
from verbena_platform.entry import entry_program
from verbena_platform.node_settings import NodeSettings
from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

CONTROL_HOSTS = ("127.0.8.1", "127.0.8.2", "127.0.8.3")
AGENT_HOST = "127.0.8.4"
ENTRY_HOST = "127.0.8.5"
HOST = "desk.example"
JOB = {
    "spec": "text",
    "best-effort": True,
    "steps": [{"count": 3, "cpu": 1_000, "mem-mb": 64, "estimate-ms": 50}],
}


def document(version: int = 3, **route: Any) -> dict[str, Any]:
    fields = {
        "name": "r",
        "host": HOST,
        "path-prefix": "/draw/",
        "service": "s",
        "timeout-ms": 1_500,
        "target-latency-ms": 60,
        "stretch": 1.6,
        "max-attempts": 3,
    }
    return {
        "version": version,
        "routes": [fields | route],
        "services": [{"name": "s"}],
        "limits": {},
    }


def choose_first_port() -> int:
    """Return the first port of a range that is probably free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return min(int(probe.getsockname()[1]), 60_000)


@attrs.define
class Platform:
    """Runs three control instances, an agent with its executor, and an entry."""

    stack: AsyncExitStack
    folder: Path
    port: int
    executor: StandInExecutor

    def node(self, host: str, **changes: Any) -> NodeSettings:
        node = NodeSettings(
            name=f"node-{host}",
            host=host,
            data_centre="kochi",
            rpc_ports=(self.port, self.port + 9),
            control_apis=tuple(Address(h, self.port + 10) for h in CONTROL_HOSTS),
            is_first_start=True,
            tolerated_losses=1,
            data_folder=str(self.folder / host),
            own_api=Address(host, self.port + 10),
            ingress=Address(host, self.port + 11),
            readiness=Address(host, self.port + 12),
            lease_s=1.0,
            grace_s=3.0,
            metrics_port=self.port + 14,
        )
        return attrs.evolve(node, **changes)

    async def start(self) -> None:
        enter = self.stack.enter_async_context
        for host in CONTROL_HOSTS:
            await enter(control_program(self.node(host)))
        await enter(self.executor.server())
        await enter(agent_program(self.node(AGENT_HOST)))
        await enter(entry_program(self.node(ENTRY_HOST)))
        await self.executor.report(Address(AGENT_HOST, self.port + 10))

    def url(self, path: str) -> str:
        return f"http://{ENTRY_HOST}:{self.port + 11}{path}"

    def control_url(self, number: int) -> str:
        return f"http://{CONTROL_HOSTS[number]}:{self.port + 10}/v1/config"

    async def put(self, body: dict[str, Any], number: int = 0) -> int:
        """Send a routing document until the status is below 500; return that status."""
        async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
            async with asyncio.timeout(20):
                while True:
                    answer = await client.put(self.control_url(number), json=body)
                    if answer.status_code < 500:
                        return answer.status_code
                    await asyncio.sleep(0.05)

    async def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> httpx.Response:
        headers = {"Host": HOST, "Verbenaplank-Deadline-Ms": "5000"}
        async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
            url = self.url(path)
            return await client.request(method, url, headers=headers, json=body)

    async def post_until(
        self, path: str, accepts: Callable[[httpx.Response], bool]
    ) -> httpx.Response:
        """Send jobs with new ids until ``accepts`` returns true for an answer."""
        async with asyncio.timeout(20):
            number = 0
            while True:
                number += 1
                answer = await self.call("POST", f"{path}{number:016x}", JOB)
                if accepts(answer):
                    return answer
                await asyncio.sleep(0.05)


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    port = choose_first_port()
    executor = StandInExecutor(Address(AGENT_HOST, port + 13), "s")
    async with AsyncExitStack() as stack:
        site = Platform(stack, tmp_path, port, executor)
        await site.start()
        yield site


def succeeded(answer: httpx.Response) -> bool:
    return answer.status_code == 200 and answer.json() == {"state": "succeeded"}


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
