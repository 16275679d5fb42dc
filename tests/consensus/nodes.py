from __future__ import annotations

import asyncio
import random
import socket
from contextlib import AsyncExitStack
from contextlib import ExitStack
from typing import TYPE_CHECKING

import msgspec

from verbenaplank.clock.sources import monotonic_s
from verbenaplank.consensus.node import ConsensusNode
from verbenaplank.rpc.endpoint import serve
from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.common import Listen
from verbenaplank.settings.control import AdministrationSettings
from verbenaplank.settings.control import ConsensusSettings
from verbenaplank.settings.control import ControlSettings

if TYPE_CHECKING:
    from pathlib import Path

    from verbenaplank.storage.files import Files

HOST = "127.0.0.1"
TIMEOUT_S = 20.0


class Commands:
    """State machine whose state is the list of all applied commands."""

    def __init__(self) -> None:
        self.applied: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.applied.append(command)
        return b"result of " + command

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.applied)

    def restore(self, data: bytes) -> None:
        self.applied = msgspec.msgpack.decode(data, type=list[bytes])


class Instance:
    """A consensus node with its gRPC server; it can be stopped and started again."""

    def __init__(self, settings: ControlSettings, files: Files | None = None) -> None:
        self.settings = settings
        self.files = files
        self.machine = Commands()
        self.stack = AsyncExitStack()

    async def start(self) -> None:
        self.machine = Commands()
        self.node = ConsensusNode(
            self.settings,
            self.machine,
            monotonic_s,
            random.Random(self.settings.instance_id),
            self.files,
        )
        await self.stack.enter_async_context(self.node)
        address = self.settings.rpc.address
        await self.stack.enter_async_context(serve(self.node.services(), address))

    async def stop(self) -> None:
        await self.stack.aclose()


class Instances:
    """A group of instances, each with its own data folder and port.

    All instances run while the context lasts.
    """

    def __init__(self, folder: Path, count: int, every_entries: int = 500) -> None:
        names = [f"control-{number}" for number in range(count)]
        peers = _peers(names)
        self.all = {
            peer.instance_id: Instance(_settings(folder, peer, peers, every_entries))
            for peer in peers
        }

    async def __aenter__(self) -> Instances:
        await asyncio.gather(*(item.start() for item in self.all.values()))
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(item.stop() for item in self.all.values()))

    async def leader(self) -> Instance:
        """Return the instance that leads, once a quorum has confirmed it."""
        first = next(iter(self.all.values()))
        await first.node.read_barrier(TIMEOUT_S)
        return self.all[first.node.leader_id or ""]

    async def followers(self) -> list[Instance]:
        leader = await self.leader()
        return [item for item in self.all.values() if item is not leader]


def _settings(
    folder: Path, peer: ControlPeer, peers: tuple[ControlPeer, ...], every: int
) -> ControlSettings:
    return ControlSettings(
        instance_id=peer.instance_id,
        data_centre="rosario-norte",
        data_folder=str(folder / peer.instance_id),
        http=Listen(host=HOST, port=0),
        rpc=Listen(host=peer.host, port=peer.port),
        peers=peers,
        administration=AdministrationSettings(token_sha256="0" * 64),
        consensus=ConsensusSettings(
            heartbeat_ms=20.0, election_timeout_ms=300.0, snapshot_every_entries=every
        ),
    )


def _peers(names: list[str]) -> tuple[ControlPeer, ...]:
    with ExitStack() as stack:
        listeners = [stack.enter_context(socket.socket()) for _ in names]
        for listener in listeners:
            listener.bind((HOST, 0))
        ports = [listener.getsockname()[1] for listener in listeners]
    return tuple(
        ControlPeer(instance_id=name, host=HOST, port=port)
        for name, port in zip(names, ports, strict=True)
    )
