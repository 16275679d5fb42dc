from __future__ import annotations

import asyncio
import random
import signal
from contextlib import ExitStack
from typing import TYPE_CHECKING
from typing import Any

import httpx
import pytest
import tomlkit
from control_cluster import free_port
from control_helpers import FIXTURES_TOKEN
from control_helpers import control_document
from control_processes import start_control

if TYPE_CHECKING:
    import subprocess
    from collections.abc import Iterator
    from pathlib import Path

COUNT = 3
CHANGES = 24
MIN_KILLS = 2
SEED = 7
SECTION = "/v1/configuration/sections/fixtures"
TEST_TIMEOUT_S = 60.0
SHORT_TIMEOUT = httpx.Timeout(5.0, read=0.001)
LONG_TIMEOUT = httpx.Timeout(5.0)


class Processes:
    """Three control instances, each in a process of its own."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self._stack = stack
        self._paths: list[Path] = []
        self.urls: list[str] = []
        ports = [free_port() for _ in range(COUNT)]
        peers = [
            {"instance_id": f"control-{n}", "host": "127.0.0.1", "port": port}
            for n, port in enumerate(ports)
        ]
        for number, port in enumerate(ports):
            data_folder = folder / str(number)
            data_folder.mkdir()
            http_port = free_port()
            document = control_document(
                data_folder,
                instance_id=f"control-{number}",
                rpc={"host": "127.0.0.1", "port": port},
                http={"host": "127.0.0.1", "port": http_port},
                peers=peers,
                consensus={"heartbeat_ms": 50.0, "election_timeout_ms": 400.0},
            )
            self._paths.append(data_folder / "control.toml")
            self._paths[-1].write_text(tomlkit.dumps(document))
            self.urls.append(f"http://127.0.0.1:{http_port}")
        self._running = [self._start(number) for number in range(COUNT)]

    def kill(self, number: int) -> None:
        self._running[number].kill()
        self._running[number].wait()
        self._running[number] = self._start(number)

    def stop(self) -> list[int]:
        for process in self._running:
            process.send_signal(signal.SIGTERM)
        return [process.wait() for process in self._running]

    def _start(self, number: int) -> subprocess.Popen[bytes]:
        return start_control(self._paths[number], self._stack)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    with ExitStack() as stack:
        yield Processes(tmp_path, stack)


async def test_killed_instances_neither_lose_nor_repeat_a_change(
    processes: Processes,
) -> None:
    """Replies are lost and commands repeated while processes are killed."""
    generator = random.Random(SEED)
    kills = 0
    async with (
        httpx.AsyncClient(trust_env=False, verify=False) as client,
        asyncio.timeout(TEST_TIMEOUT_S),
    ):
        for version in range(1, CHANGES + 1):
            url = generator.choice(processes.urls)
            change = asyncio.create_task(_apply_until_known(client, url, version))
            if version % (CHANGES // (MIN_KILLS + 1)) == 0:
                processes.kill(generator.randrange(COUNT))
                kills += 1
            assert await change == version + 1
        seen = [
            await _get_json(client, f"{u}/v1/configuration") for u in processes.urls
        ]
        trail = await _get_json(client, f"{processes.urls[0]}/v1/audit")

    assert kills >= MIN_KILLS
    assert [document["version"] for document in seen] == [CHANGES + 1] * COUNT
    assert trail["verified"]
    applied = [r["command_id"] for r in trail["records"] if r["action"] == "apply"]
    assert applied == [f"c{version}" for version in range(1, CHANGES + 1)]
    assert processes.stop() == [0] * COUNT


async def _apply_until_known(client: httpx.AsyncClient, url: str, version: int) -> int:
    """Time out on the first reply, then repeat the command until it has an outcome."""
    body = {
        "text": f"# {version}\n",
        "expected_version": version,
        "command_id": f"c{version}",
    }
    headers = {"Authorization": f"Bearer {FIXTURES_TOKEN}"}
    timeout = SHORT_TIMEOUT
    while True:
        try:
            reply = await client.put(
                f"{url}{SECTION}", json=body, headers=headers, timeout=timeout
            )
        except httpx.HTTPError:
            timeout = LONG_TIMEOUT
            continue
        if reply.status_code != 503:
            assert reply.status_code == 200, reply.text
            return int(reply.json()["section_version"])


async def _get_json(client: httpx.AsyncClient, url: str) -> dict[str, Any]:
    while True:
        try:
            reply = await client.get(url)
        except httpx.HTTPError:
            continue
        if reply.status_code == 200:
            return dict(reply.json())
