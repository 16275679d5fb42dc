from __future__ import annotations

import asyncio
import shutil
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import httpx
import pytest
from standin_executor import StandInExecutor
from whole_path import CONTROL_HOSTS
from whole_path import SUBNET
from whole_path import Platform
from whole_path import choose_first_port

from verbena_platform.control import control_program
from verbenaplank.consensus.errors import NoQuorumError
from verbenaplank.protocol.membership import EvacuationList
from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from verbenaplank.control.application import ControlInstance

DATA_CENTRES = frozenset({"kochi", "madurai"})


@pytest.fixture
async def stack() -> AsyncIterator[AsyncExitStack]:
    async with AsyncExitStack() as stack:
        yield stack


async def send(platform: Platform, method: str, name: str, number: int) -> int:
    """Send an order until its outcome is known; return the status."""
    base = platform.control_url(number).removesuffix("config")
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        async with asyncio.timeout(20):
            while True:
                answer = await client.request(method, f"{base}evacuations/{name}")
                if answer.status_code != 503:
                    assert answer.status_code != 200 or answer.json() == {}
                    return answer.status_code


async def test_order_at_any_instance_reaches_all_and_may_be_repeated(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guards against orders that only the instance that received them applies."""
    port = choose_first_port()
    executor = StandInExecutor(Address(f"{SUBNET}.6", port), "s")
    platform = Platform(stack, tmp_path, port, executor)
    instances: list[ControlInstance] = []
    for host in CONTROL_HOSTS:
        node = platform.node(host, data_centres=DATA_CENTRES)
        instances.append(await stack.enter_async_context(control_program(node)))

    assert await send(platform, "POST", "madurai", 0) == 200
    assert await send(platform, "POST", "madurai", 1) == 200
    assert await send(platform, "POST", "kochi", 2) == 200
    assert await send(platform, "DELETE", "kochi", 0) == 200
    assert await send(platform, "DELETE", "kochi", 1) == 200
    for name in ("", "nowhere", "kochi/", "Kochi", "%00"):
        assert await send(platform, "POST", name, 0) == 404
        assert await send(platform, "DELETE", name, 0) == 404

    lists = [await instance.evacuations.current_list() for instance in instances]
    assert {each.data_centres for each in lists} == {("madurai",)}
    assert {each.revision for each in lists} == {3}


async def test_acknowledged_order_survives_the_loss_of_two_disks(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guards against an order that only the instances that are lost have stored."""
    port = choose_first_port()
    executor = StandInExecutor(Address(f"{SUBNET}.6", port), "s")
    platform = Platform(stack, tmp_path, port, executor)
    hosts = (*CONTROL_HOSTS, f"{SUBNET}.11", f"{SUBNET}.12")
    group = {
        "data_centres": DATA_CENTRES,
        "tolerated_losses": 2,
        "control_apis": tuple(Address(host, port + 10) for host in hosts),
    }
    instances: dict[str, ControlInstance] = {}
    stacks: dict[str, AsyncExitStack] = {}
    for host in hosts:
        stacks[host] = await stack.enter_async_context(AsyncExitStack())
        program = control_program(platform.node(host, **group))
        instances[host] = await stacks[host].enter_async_context(program)
    assert await send(platform, "POST", "madurai", 0) == 200

    lost = [host for host in hosts if instances[host].log.is_leader]
    lost = [*lost, *(host for host in hosts if host not in lost)][:2]
    for host in lost:
        await stacks[host].aclose()
    for host in lost:
        shutil.rmtree(platform.folder / host)
        node = platform.node(host, **group, is_first_start=False)
        instances[host] = await stacks[host].enter_async_context(control_program(node))
    expected = EvacuationList(revision=1, data_centres=("madurai",))
    for instance in instances.values():
        assert await list_of(instance) == expected


async def list_of(instance: ControlInstance) -> EvacuationList:
    """Read the list until a quorum confirms it."""
    async with asyncio.timeout(20):
        while True:
            try:
                return await instance.evacuations.current_list()
            except NoQuorumError:
                await asyncio.sleep(0.05)
