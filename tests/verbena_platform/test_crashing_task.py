"""A task that crashes executors, with real processes, while programs are replaced."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from collections import Counter
from contextlib import AsyncExitStack
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import attrs
import httpx
import pytest
from executor_process import DEADLY
from standin_executor import StandInExecutor
from whole_path import CONTROL_HOSTS
from whole_path import HOST
from whole_path import SUBNET
from whole_path import Platform
from whole_path import choose_first_port
from whole_path import document
from whole_path import succeeded

from verbena_platform.agent import agent_program
from verbena_platform.control import control_program
from verbena_platform.entry import entry_program
from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

AGENT_HOSTS = (f"{SUBNET}.11", f"{SUBNET}.12", f"{SUBNET}.13")
ENTRY_HOSTS = (f"{SUBNET}.21", f"{SUBNET}.22")
RESTART_S = 0.3
RESEND_S = 0.3
MAX_STARTS = 5
"""The users count a third start after three crashes as a broken rule."""

DEADLY_JOB = "00000000000000dd"
GIVEN_UP = "several backend servers crashed"
ONE_TASK = {
    "spec": "text",
    "best-effort": True,
    "steps": [{"count": 1, "cpu": 1_000, "mem-mb": 64, "estimate-ms": 600}],
}


@attrs.define
class CrashSite:
    """Programs in this process, and executors that are started again after a crash."""

    platform: Platform
    random: random.Random
    starts: Counter[str] = attrs.field(factory=Counter)
    programs: dict[str, AsyncExitStack] = attrs.field(factory=dict)
    births: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))

    async def start(self) -> None:
        for host in CONTROL_HOSTS:
            node = self.platform.node(host)
            await self.platform.stack.enter_async_context(control_program(node))
        for host in (*AGENT_HOSTS, *ENTRY_HOSTS):
            await self.start_program(host)

    async def start_program(self, host: str) -> None:
        node = self.platform.node(host, is_first_start=False)
        stack = self.programs[host] = AsyncExitStack()
        program = agent_program if host in AGENT_HOSTS else entry_program
        await stack.enter_async_context(program(node))

    async def replace(self, host: str) -> None:
        """End a program without a drain, and start its successor."""
        await self.programs[host].aclose()
        await self.start_program(host)

    async def run_executor(self, host: str) -> None:
        """Start an executor again and again; note the starts that it prints."""
        port = self.platform.port
        script = Path(__file__).with_name("executor_process.py")
        while True:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(script),
                f"{host}:{port + 13}",
                f"{host}:{port + 10}",
                "s",
                str(next(self.births)),
                stdout=asyncio.subprocess.PIPE,
            )
            assert process.stdout is not None
            try:
                async for line in process.stdout:
                    self.starts[line.decode().split()[0]] += 1
                await process.wait()
            finally:
                with suppress(ProcessLookupError):
                    process.kill()
            await asyncio.sleep(RESTART_S)

    async def submit(self, key: str, job: dict[str, Any]) -> httpx.Response | None:
        """Send a job to some entry; return nothing if it gives no answer."""
        host = self.random.choice(ENTRY_HOSTS)
        url = f"http://{host}:{self.platform.port + 11}/draw/{key}"
        headers = {"Host": HOST, "Verbenaplank-Deadline-Ms": "4000"}
        with suppress(httpx.HTTPError):
            async with httpx.AsyncClient(trust_env=False, timeout=5) as client:
                return await client.post(url, headers=headers, json=job)
        return None

    async def submit_until_answered(
        self, key: str, job: dict[str, Any]
    ) -> httpx.Response:
        """Send a job again after each refusal, timeout or broken connection."""
        while True:
            answer = await self.submit(key, job)
            if answer is not None and is_final(answer):
                return answer
            await asyncio.sleep(RESEND_S)


def is_final(answer: httpx.Response) -> bool:
    """Return whether sending the job again would give the same answer."""
    return answer.status_code == 200 or GIVEN_UP in answer.text


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[CrashSite]:
    port = choose_first_port()
    unused = StandInExecutor(Address(AGENT_HOSTS[0], port + 13), "s")
    async with AsyncExitStack() as stack:
        platform = Platform(stack, tmp_path, port, unused)
        crash_site = CrashSite(platform, random.Random(0))
        await crash_site.start()
        executors = [
            asyncio.create_task(crash_site.run_executor(host)) for host in AGENT_HOSTS
        ]
        try:
            yield crash_site
        finally:
            for program in crash_site.programs.values():
                await program.aclose()
            for executor in executors:
                executor.cancel()
            await asyncio.gather(*executors, return_exceptions=True)


async def replace_programs(site: CrashSite) -> None:
    """Replace entries and agents at random times, one after the other."""
    while True:
        await asyncio.sleep(site.random.uniform(1.0, 3.0))
        await site.replace(site.random.choice((*ENTRY_HOSTS, *AGENT_HOSTS)))


@pytest.mark.parametrize("seed", [1, 2])
async def test_task_that_crashes_executors_is_given_up_everywhere(
    site: CrashSite, seed: int
) -> None:
    """It took down executor after executor, at each entry that got its job."""
    site.random.seed(seed)
    assert await site.platform.put(document(**{"timeout-ms": 4_000})) == 200
    async with asyncio.timeout(60):
        await site.submit_until_answered("00000000000000aa", ONE_TASK)
        replacing = asyncio.create_task(replace_programs(site))
        try:
            for number in range(1, 4):
                await site.submit_until_answered(f"{number:016x}", ONE_TASK)
            deadly = await site.submit_until_answered(
                DEADLY_JOB, {**ONE_TASK, "spec": DEADLY}
            )
        finally:
            replacing.cancel()
            await asyncio.gather(replacing, return_exceptions=True)
        assert deadly.status_code == 504
        assert site.starts[f"{DEADLY_JOB}.0.0.0"] <= MAX_STARTS
        answer = await site.submit_until_answered("00000000000000bb", ONE_TASK)
        assert succeeded(answer)
