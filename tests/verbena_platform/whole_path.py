"""The platform's three programs together, with a stand-in for its executor."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import attrs
import httpx
from standin_executor import StandInExecutor

from verbena_platform.agent import agent_program
from verbena_platform.control import control_program
from verbena_platform.entry import entry_program
from verbena_platform.node_settings import NodeSettings
from verbenaplank.rpc.address import Address
from verbenaplank.settings.clients import ClientSettings

if TYPE_CHECKING:
    from collections.abc import Callable

# Each process of pytest-xdist has a subnet of its own: port ranges that two of them
# choose at the same time can overlap.
WORKER = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
SUBNET = f"127.0.{8 + int(WORKER)}"
CONTROL_HOSTS = (f"{SUBNET}.1", f"{SUBNET}.2", f"{SUBNET}.3")
AGENT_HOST = f"{SUBNET}.4"
ENTRY_HOST = f"{SUBNET}.5"
SECOND_ENTRY_HOST = f"{SUBNET}.6"
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
    clients: ClientSettings = attrs.field(factory=ClientSettings)

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
            clients=self.clients,
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

    def url(self, path: str, host: str = ENTRY_HOST) -> str:
        return f"http://{host}:{self.port + 11}{path}"

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
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        host: str = ENTRY_HOST,
    ) -> httpx.Response:
        headers = {"Host": HOST, "Verbenaplank-Deadline-Ms": "5000"}
        async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
            url = self.url(path, host)
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


def succeeded(answer: httpx.Response) -> bool:
    return answer.status_code == 200 and answer.json() == {"state": "succeeded"}
