"""An executor that starts again and again, while some orders are carried out late.

It is a short, seeded part of what a soak would play.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from contextlib import suppress
from typing import TYPE_CHECKING

import httpx
import pytest
from restarting_executor import RestartingExecutor
from whole_path import AGENT_HOST
from whole_path import JOB
from whole_path import Platform
from whole_path import choose_first_port
from whole_path import document
from whole_path import succeeded

from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from pathlib import Path

TROUBLE_S = 6.0
CALLERS = 4
LATE_SHARE = 0.2


async def restart_repeatedly(executor: RestartingExecutor, agent: Address) -> None:
    """Restart the executor, and report at any time after it listens."""
    while True:
        await asyncio.sleep(executor.random.uniform(0.2, 1.2))
        executor.restart()
        await asyncio.sleep(executor.random.choice([0.0, 0.1, 0.8]))
        await executor.report(agent)


async def send_jobs(platform: Platform, caller: int) -> None:
    for number in range(1_000):
        with suppress(httpx.HTTPError):
            await platform.call("POST", f"/draw/{caller:04x}{number:012x}", JOB)


@pytest.mark.parametrize("seed", [1, 2])
async def test_executor_serves_after_any_number_of_restarts(
    tmp_path: Path, seed: int
) -> None:
    """Guards against one that is lost for good, or runs a task twice at a time.

    Fencing tokens began anew with each life of the executor.
    """
    port = choose_first_port()
    address = Address(AGENT_HOST, port + 13)
    executor = RestartingExecutor(address, "s", seed, LATE_SHARE)
    agent = Address(AGENT_HOST, port + 10)
    async with AsyncExitStack() as stack:
        platform = Platform(stack, tmp_path, port, executor)
        await platform.start()
        assert await platform.put(document()) == 200
        await platform.post_until("/draw/", succeeded)
        trouble = [
            asyncio.create_task(restart_repeatedly(executor, agent)),
            *(
                asyncio.create_task(send_jobs(platform, caller))
                for caller in range(1, CALLERS + 1)
            ),
        ]
        await asyncio.wait(trouble, timeout=TROUBLE_S)
        for task in trouble:
            task.cancel()
        await asyncio.gather(*trouble, return_exceptions=True)
        executor.late_share = 0.0
        await executor.report(agent)
        await platform.post_until("/draw/ffff", succeeded)
        assert executor.overlaps == []
