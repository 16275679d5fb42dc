from __future__ import annotations

import asyncio
import random
import socket
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import httpx
from control_helpers import control_settings
from control_helpers import wait_until
from relay import Relay

from verbenaplank.control.application import ControlInstance

if TYPE_CHECKING:
    from pathlib import Path

    from verbenaplank.settings.control import ControlSettings

CLUSTER_SIZE = 3


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Cluster:
    """Three control instances in one event loop, connected through relays.

    A relay can drop what one instance sends to another.
    """

    def __init__(self, folder: Path, **overrides: object) -> None:
        self._folder = folder
        self._overrides = overrides
        self._ports = [free_port() for _ in range(CLUSTER_SIZE)]
        self._relays = {
            (source, target): Relay(port)
            for source in range(CLUSTER_SIZE)
            for target, port in enumerate(self._ports)
            if source != target
        }
        self._stack = AsyncExitStack()
        self.instances: dict[int, ControlInstance] = {}

    async def __aenter__(self) -> Cluster:
        for relay in self._relays.values():
            await self._stack.enter_async_context(relay)
        await self.start_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop_all()
        await self._stack.aclose()

    async def start_all(self) -> None:
        await asyncio.gather(*map(self.start, range(CLUSTER_SIZE)))
        await wait_until(lambda: self.leader() is not None)
        instances = self.instances.values()
        await wait_until(lambda: all(i.is_ready() for i in instances))

    async def stop_all(self) -> None:
        await asyncio.gather(*map(self.stop, list(self.instances)))

    async def start(self, index: int) -> None:
        generator = random.Random(f"control {index}")
        instance = ControlInstance(self._settings(index), generator=generator)
        self.instances[index] = await instance.__aenter__()

    async def stop(self, index: int) -> None:
        await self.instances.pop(index).__aexit__(None, None, None)

    def leader(self) -> int | None:
        now_s = time.monotonic()
        for index, instance in self.instances.items():
            if instance.log.is_leader and instance.log.is_current(now_s):
                return index
        return None

    def followers(self) -> list[int]:
        leader = self.leader()
        return [index for index in self.instances if index != leader]

    def drop_traffic(self, source: int, target: int, *, silent: bool = True) -> None:
        """Drop everything that one instance sends to another, or stop dropping it."""
        self._relays[source, target].silent = silent

    def isolate(self, index: int, *, silent: bool = True) -> None:
        """Drop all traffic between an instance and the others, or stop dropping it.

        Connections stay open, so that no instance is notified.
        """
        for source, target in self._relays:
            if index in (source, target):
                self.drop_traffic(source, target, silent=silent)

    def http(self, index: int) -> httpx.AsyncClient:
        base_url = f"http://{self.instances[index].http_address}"
        return httpx.AsyncClient(base_url=base_url, trust_env=False, verify=False)

    def _settings(self, source: int) -> ControlSettings:
        folder = self._folder / str(source)
        folder.mkdir(exist_ok=True)
        peers = [
            {
                "instance_id": f"control-{target}",
                "host": "127.0.0.1",
                "port": port if source == target else self._relays[source, target].port,
                "data_centre": f"dc-{target}",
            }
            for target, port in enumerate(self._ports)
        ]
        return control_settings(
            folder,
            instance_id=f"control-{source}",
            rpc={"host": "127.0.0.1", "port": self._ports[source]},
            peers=peers,
            **self._overrides,
        )
