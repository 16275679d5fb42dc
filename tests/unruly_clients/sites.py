"""Ports of running programs, each with an ordinary request that it must answer."""

from __future__ import annotations

import asyncio
import itertools
import sys
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import httpx
from demo.processes import free_port

from unruly_clients.programs import MEMORY_MB
from unruly_clients.programs import STANDALONE_MEMORY_MB
from unruly_clients.programs import start_platform_program
from unruly_clients.programs import start_standalone
from unruly_clients.requests import MIB
from unruly_clients.requests import RepeatedValue
from unruly_clients.requests import Target

sys.path.append(str(Path(__file__).resolve().parents[1] / "verbena_platform"))

from collections.abc import Awaitable
from collections.abc import Callable

from standin_executor import StandInExecutor
from whole_path import HOST
from whole_path import JOB
from whole_path import document

from unruly_clients.programs import ProgramProcess
from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


CONTROL_HOST = "127.0.7.1"
AGENT_HOST = "127.0.7.2"
ENTRY_HOST = "127.0.7.3"
EXECUTOR_HOST = "127.0.7.4"
STANDALONE_HOST = "127.0.0.1"
PORT_SPAN = 14
METRICS_PORT = 9464
SMALL_VALUES = {
    "/draw/{}": RepeatedValue(b'{"best-effort":true,"steps":[', b"{}", b"]}"),
    "/v1/jobs": RepeatedValue(
        b'{"service":"echo","team":"standalone","tasks":[', b"{}", b"]}"
    ),
    "/v1/config": RepeatedValue(
        b'{"version":77,"services":[],"routes":[',
        b'{"name":"","host":"a","path-prefix":"/","service":"s","timeout-ms":0}',
        b"]}",
    ),
    "/v1/instances/i-{}": RepeatedValue(
        b'{"service":"s","address":"127.0.0.1:1","state":"ready","sequence":1,'
        b'"capacity":{"cpu":1,"mem-mb":1},"labels":[',
        b'"a"',
        b"]}",
    ),
    "/v1/configuration/sections/{}": RepeatedValue(
        b'{"command_id":"a","expected_version":[', b"[]", b"]}"
    ),
}
"""For each path, a body that its program decodes value by value."""

RPC_OFFSETS = {"control": 0, "entry": 2, "agent": 4}
ANSWER_LIMIT_S = 40.0
REQUEST_LIMIT_S = 10.0
POLL_S = 0.1


@attrs.frozen(kw_only=True)
class Port:
    """A port under test.

    Attributes
    ----------
    ask
        Sends an ordinary request once; returns whether it was answered with success.
    """

    program: ProgramProcess
    target: Target
    memory_mb: int
    ask: Callable[[], Awaitable[bool]]

    async def answers(self) -> bool:
        """Return whether an ordinary request succeeds, with retries as a caller's."""
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                while True:
                    if await self._is_answered():
                        return True
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False

    async def _is_answered(self) -> bool:
        try:
            return await self.ask()
        except httpx.HTTPError:
            return False


@asynccontextmanager
async def open_port(name: str, folder: Path) -> AsyncIterator[Port]:
    """Start the programs that a port needs; wait until it answers."""
    async with _SITES[name](name, folder) as port:
        assert await port.answers(), "the program is not ready"
        _, writer = await asyncio.open_connection(port.target.host, port.target.port)
        writer.close()
        yield port


@asynccontextmanager
async def _entry_site(name: str, folder: Path) -> AsyncIterator[Port]:
    """Run one program of each role, and a stand-in executor."""
    first = free_port()
    async with AsyncExitStack() as stack:
        programs = {
            role: stack.enter_context(
                start_platform_program(role, host, CONTROL_HOST, first, folder)
            )
            for role, host in (
                ("control", CONTROL_HOST),
                ("agent", AGENT_HOST),
                ("entry", ENTRY_HOST),
            )
        }
        executor = StandInExecutor(Address(EXECUTOR_HOST, first + 13), "s")
        await stack.enter_async_context(executor.server())
        reporting = asyncio.create_task(
            _report_forever(executor, Address(AGENT_HOST, first + PORT_SPAN - 4))
        )
        stack.callback(reporting.cancel)
        await _put_document(CONTROL_HOST, first + 10, 1)
        role = name.partition(".")[0]
        host = {"agent": AGENT_HOST, "entry": ENTRY_HOST}[role]
        numbers = itertools.count(1)

        async def run_job() -> bool:
            path = f"/draw/{next(numbers) + 0xABCD0000:016x}"
            headers = {"Host": HOST, "Verbenaplank-Deadline-Ms": "5000"}
            url = f"http://{ENTRY_HOST}:{first + 11}{path}"
            return await _succeeds("POST", url, headers, JOB)

        ports = {
            "entry.callers": (first + 11, "POST", "/draw/{}", MIB, run_job),
            "entry.readiness": (
                first + 12,
                "GET",
                "/v1/ready",
                MIB,
                _getter(ENTRY_HOST, first + 12, "/v1/ready"),
            ),
            "entry.metrics": (
                METRICS_PORT,
                "GET",
                "/metrics",
                1024,
                _getter(ENTRY_HOST, METRICS_PORT, "/metrics"),
            ),
            "entry.rpc": (first + RPC_OFFSETS["entry"], "", "", 0, run_job),
            "agent.rpc": (first + RPC_OFFSETS["agent"], "", "", 0, run_job),
        }
        number, method, path, max_body_bytes, ask = ports[name]
        yield _port(
            programs[role], host, number, method, path, max_body_bytes, MEMORY_MB, ask
        )


@asynccontextmanager
async def _control_site(name: str, folder: Path) -> AsyncIterator[Port]:
    """Run one control instance."""
    first = free_port()
    versions = itertools.count(1)
    with start_platform_program(
        "control", CONTROL_HOST, CONTROL_HOST, first, folder
    ) as control:

        async def replace() -> bool:
            url = f"http://{CONTROL_HOST}:{first + 10}/v1/config"
            return await _succeeds("PUT", url, {}, document(next(versions)))

        ports = {
            "control.operators": (first + 10, "PUT", "/v1/config", 4 * MIB, replace),
            "control.metrics": (
                METRICS_PORT,
                "GET",
                "/metrics",
                1024,
                _getter(CONTROL_HOST, METRICS_PORT, "/metrics"),
            ),
            "control.rpc": (first + RPC_OFFSETS["control"], "", "", 0, replace),
        }
        number, method, path, max_body_bytes, ask = ports[name]
        yield _port(
            control, CONTROL_HOST, number, method, path, max_body_bytes, MEMORY_MB, ask
        )


@asynccontextmanager
async def _agent_site(name: str, folder: Path) -> AsyncIterator[Port]:
    """Run one agent, without control instances."""
    first = free_port()
    executor = StandInExecutor(Address(EXECUTOR_HOST, first + 13), "s")
    with start_platform_program(
        "agent", AGENT_HOST, CONTROL_HOST, first, folder
    ) as agent:

        async def report() -> bool:
            await executor.report(Address(AGENT_HOST, first + 10))
            return True

        path = "/v1/instances/i-{}"
        yield _port(
            agent, AGENT_HOST, first + 10, "PUT", path, 4 * MIB, MEMORY_MB, report
        )


@asynccontextmanager
async def _standalone_site(name: str, folder: Path) -> AsyncIterator[Port]:
    """Run all programs in one process, with the product's own interfaces."""
    callers, operators = free_port(), free_port()
    host = STANDALONE_HOST
    with start_standalone(callers, operators, folder) as standalone:

        async def send_request() -> bool:
            body = {
                "service": "echo",
                "team": "standalone",
                "payload": {"run_time_ms": 5},
                "deadline_ms": 5_000,
            }
            url = f"http://{host}:{callers}/v1/requests"
            return await _succeeds("POST", url, {}, body)

        read_document = _getter(host, operators, "/v1/configuration")
        section = "/v1/configuration/sections/{}"
        ports = {
            "standalone.callers": (callers, "POST", "/v1/jobs", MIB, send_request),
            "standalone.operators": (
                operators,
                "PUT",
                section,
                MIB // 4,
                read_document,
            ),
        }
        number, method, path, max_body_bytes, ask = ports[name]
        yield _port(
            standalone,
            host,
            number,
            method,
            path,
            max_body_bytes,
            STANDALONE_MEMORY_MB,
            ask,
        )


_SITES = {
    "entry.callers": _entry_site,
    "entry.readiness": _entry_site,
    "entry.metrics": _entry_site,
    "entry.rpc": _entry_site,
    "agent.rpc": _entry_site,
    "agent.reports": _agent_site,
    "control.operators": _control_site,
    "control.metrics": _control_site,
    "control.rpc": _control_site,
    "standalone.callers": _standalone_site,
    "standalone.operators": _standalone_site,
}


def _port(
    program: ProgramProcess,
    host: str,
    number: int,
    method: str,
    path: str,
    max_body_bytes: int,
    memory_mb: int,
    ask: Callable[[], Awaitable[bool]],
) -> Port:
    target = Target(
        host=host,
        port=number,
        method=method,
        path=path,
        max_body_bytes=max_body_bytes,
        small_values=SMALL_VALUES.get(path, RepeatedValue()),
    )
    return Port(program=program, target=target, memory_mb=memory_mb, ask=ask)


def _getter(host: str, port: int, path: str) -> Callable[[], Awaitable[bool]]:
    async def get() -> bool:
        return await _succeeds("GET", f"http://{host}:{port}{path}", {}, None)

    return get


async def _succeeds(
    method: str, url: str, headers: dict[str, str], body: object
) -> bool:
    async with httpx.AsyncClient(trust_env=False, timeout=REQUEST_LIMIT_S) as client:
        answer = await client.request(method, url, headers=headers, json=body)
        return answer.is_success


async def _put_document(host: str, port: int, version: int) -> None:
    async with asyncio.timeout(ANSWER_LIMIT_S):
        while True:
            url = f"http://{host}:{port}/v1/config"
            try:
                if await _succeeds("PUT", url, {}, document(version)):
                    return
            except httpx.HTTPError:
                pass
            await asyncio.sleep(POLL_S)


async def _report_forever(executor: StandInExecutor, agent: Address) -> None:
    while True:
        with suppress(httpx.HTTPError):
            await executor.report(agent)
        await asyncio.sleep(POLL_S)
