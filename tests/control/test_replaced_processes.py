from __future__ import annotations

import asyncio
import re
import shutil
import signal
from contextlib import ExitStack
from typing import TYPE_CHECKING

import httpx
import pytest
import tomlkit
from control_cluster import free_port
from control_helpers import control_document
from control_processes import start_control

if TYPE_CHECKING:
    import subprocess
    from collections.abc import Iterator
    from pathlib import Path

VOTERS = 5
LOSSES = 2
SEEDS = 3
GROUP = {"open": True, "tolerated_losses": LOSSES}
TEST_TIMEOUT_S = 60.0
POLL_S = 0.05


class OpenGroup:
    """Control instances of an open group, each in a process of its own."""

    def __init__(self, folder: Path, stack: ExitStack) -> None:
        self._folder = folder
        self._stack = stack
        self._seeds: list[dict[str, object]] = []
        self.urls: dict[int, str] = {}
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        ports = [free_port() for _ in range(VOTERS)]
        self._seeds = [self._peer(port) for port in ports[:SEEDS]]
        for number, port in enumerate(ports):
            self._prepare(number, port, may_found=True)
            self.start(number)

    def add(self, number: int) -> None:
        """Start an instance that no other instance knows."""
        self._prepare(number, free_port(), may_found=False)
        self.start(number)

    def start(self, number: int) -> None:
        path = self._folder / f"{number}" / "control.toml"
        self.processes[number] = start_control(path, self._stack)

    def stop(self, number: int) -> int:
        """Stop an instance as planned, and for good; return its exit status."""
        process = self.processes.pop(number)
        del self.urls[number]
        process.send_signal(signal.SIGTERM)
        return process.wait()

    def lose_disk(self, number: int) -> None:
        self.processes[number].kill()
        self.processes[number].wait()
        shutil.rmtree(self._folder / f"{number}" / "data")

    async def metrics(self, client: httpx.AsyncClient, number: int) -> dict[str, float]:
        """Return the gauges of an instance; none if it does not answer."""
        try:
            reply = await client.get(f"{self.urls[number]}/metrics")
        except httpx.HTTPError:
            return {}
        pattern = r"^verbenaplank_control_(\w+) (\S+)$"
        found = re.findall(pattern, reply.text, re.MULTILINE)
        return {name: float(value) for name, value in found}

    async def wait_for_leader(
        self, client: httpx.AsyncClient, **expected: float
    ) -> int:
        """Return the leader once its gauges are as expected."""
        while True:
            for number in self.urls:
                gauges = await self.metrics(client, number)
                wanted = {"leads": 1.0, **expected}
                if all(gauges.get(name) == value for name, value in wanted.items()):
                    return number
            await asyncio.sleep(POLL_S)

    async def wait_until_ready(self, client: httpx.AsyncClient, number: int) -> None:
        """Wait until a quorum backs an instance."""
        while True:
            gauges = await self.metrics(client, number)
            if gauges.get("ready") == 1.0:
                return
            await asyncio.sleep(POLL_S)

    def _prepare(self, number: int, port: int, *, may_found: bool) -> None:
        folder = self._folder / f"{number}"
        folder.mkdir()
        http_port = free_port()
        peer = self._peer(port)
        document = control_document(
            folder,
            instance_id=peer["instance_id"],
            rpc={"host": "127.0.0.1", "port": port},
            http={"host": "127.0.0.1", "port": http_port},
            peers=self._seeds,
            group={**GROUP, "may_found": may_found},
            consensus={"heartbeat_ms": 50.0, "election_timeout_ms": 400.0},
        )
        (folder / "control.toml").write_text(tomlkit.dumps(document))
        self.urls[number] = f"http://127.0.0.1:{http_port}"

    def _peer(self, port: int) -> dict[str, object]:
        address = f"127.0.0.1:{port}"
        return {"instance_id": address, "host": "127.0.0.1", "port": port}


@pytest.fixture
def group(tmp_path: Path) -> Iterator[OpenGroup]:
    with ExitStack() as stack:
        yield OpenGroup(tmp_path, stack)


@pytest.mark.parametrize("leading", [False, True])
async def test_disks_lost_just_after_a_planned_replacement_are_borne(
    group: OpenGroup, leading: bool
) -> None:
    """Guard against a stopped instance that stays a voter beside two lost disks."""
    async with (
        httpx.AsyncClient(trust_env=False) as client,
        asyncio.timeout(TEST_TIMEOUT_S),
    ):
        await group.wait_for_leader(client, voters=VOTERS, failures_to_spare=LOSSES)
        group.add(VOTERS)
        leader = await group.wait_for_leader(client, learners=1, failures_to_spare=2)
        others = [number for number in range(VOTERS) if number != leader]
        stopped = leader if leading else others[-1]
        assert await asyncio.to_thread(group.stop, stopped) == 0
        lost = others[:LOSSES]
        for number in lost:
            group.lose_disk(number)
        for number in lost:
            group.start(number)
        for number in lost:
            await group.wait_until_ready(client, number)
        await group.wait_for_leader(client, voters=VOTERS, failures_to_spare=LOSSES)
