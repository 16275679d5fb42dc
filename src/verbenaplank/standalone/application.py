"""Runs a control instance, an entry, agents and backend servers in one event loop."""

from __future__ import annotations

import hashlib
import socket
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import tomlkit

from verbenaplank.agent.application import AgentInstance
from verbenaplank.control.application import ControlInstance
from verbenaplank.observability.entry_metrics import open_entry_with_metrics
from verbenaplank.rpc.address import Address
from verbenaplank.settings.agent import AgentSettings
from verbenaplank.settings.agent import BackendServerSettings
from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.common import Listen
from verbenaplank.settings.common import LoggingSettings
from verbenaplank.settings.control import AdministrationSettings
from verbenaplank.settings.control import ControlSettings
from verbenaplank.settings.entry import EntrySettings
from verbenaplank.standin.backend_server import StandInBackendServer

if TYPE_CHECKING:
    from verbenaplank.entry.application import EntryInstance

HOST = "127.0.0.1"
DATA_CENTRE = "standalone"
SERVICE = "echo"
TEAM = "standalone"
TOKEN = "standalone"


@attrs.frozen(kw_only=True)
class StandaloneSettings:
    """Settings of a standalone instance.

    Attributes
    ----------
    http_port
        Port of the entry, for callers.
    control_port
        Port of the control instance, for operators.
    backend_servers
        Number of stand-in backend servers, each with an agent.
    slots
        Number of tasks that each backend server runs at the same time.
    data_folder
        Folder for the state of the control instance.  If empty, a temporary folder is
        used, which is removed at the end.
    instance_id, data_centre
        Names that the log lines of the process carry.
    """

    http_port: int = 8080
    control_port: int = 8090
    backend_servers: int = 2
    slots: int = 8
    data_folder: str = ""
    instance_id: str = "standalone"
    data_centre: str = DATA_CENTRE
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)


class StandaloneInstance:
    """Runs all programs of the system while its context is open.

    Attributes
    ----------
    entry
        The entry, once the context is entered.
    control
        The control instance, once the context is entered.
    """

    def __init__(self, settings: StandaloneSettings) -> None:
        self._settings = settings
        self._stack = AsyncExitStack()
        self._agents: list[AgentInstance] = []
        self.entry: EntryInstance
        self.control: ControlInstance

    async def __aenter__(self) -> StandaloneInstance:
        """Start all programs; return once the entry has started."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all programs and backend servers."""
        await self._stack.aclose()

    async def drain(self) -> None:
        """Drain the entry, then the agents, then the control instance.

        Requests in progress are answered.
        """
        await self.entry.drain()
        for agent in self._agents:
            await agent.drain()
        await self.control.drain()

    async def _start(self, stack: AsyncExitStack) -> None:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        settings = self._control_settings(folder)
        self.control = await stack.enter_async_context(ControlInstance(settings))
        peer = _peer(self.control.rpc_address)
        for index in range(self._settings.backend_servers):
            name = f"backend-{index + 1}"
            server = StandInBackendServer(name, slots=self._settings.slots)
            await stack.enter_async_context(server)
            agent = AgentInstance(self._agent_settings(index, server.port, peer))
            self._agents.append(await stack.enter_async_context(agent))
        self.entry = await stack.enter_async_context(
            open_entry_with_metrics(self._entry_settings(peer))
        )

    def _control_settings(self, folder: Path) -> ControlSettings:
        document_path = folder / "document.toml"
        document_path.write_text(first_document(), encoding="utf-8")
        port = _free_port()
        return ControlSettings(
            instance_id="control-1",
            data_centre=DATA_CENTRE,
            data_folder=self._settings.data_folder or str(folder / "data"),
            http=Listen(host=HOST, port=self._settings.control_port),
            rpc=Listen(host=HOST, port=port),
            peers=(_peer(Address(HOST, port)),),
            administration=AdministrationSettings(
                token_sha256=_sha256(TOKEN), document_path=str(document_path)
            ),
        )

    def _agent_settings(
        self, index: int, backend_port: int, peer: ControlPeer
    ) -> AgentSettings:
        return AgentSettings(
            instance_id=f"agent-{index + 1}",
            data_centre=DATA_CENTRE,
            rack=f"rack-{index + 1}",
            rpc=Listen(host=HOST, port=0),
            control=(peer,),
            backend_server=BackendServerSettings(
                host=HOST,
                port=backend_port,
                services=(SERVICE,),
                slots=self._settings.slots,
            ),
        )

    def _entry_settings(self, peer: ControlPeer) -> EntrySettings:
        return EntrySettings(
            instance_id="entry-1",
            data_centre=DATA_CENTRE,
            http=Listen(host=HOST, port=self._settings.http_port),
            rpc=Listen(host=HOST, port=0),
            control=(peer,),
        )


def first_document() -> str:
    """Return the initial configuration document as TOML text."""
    text = tomlkit.dumps({"services": {SERVICE: {"run_time_ms": 100.0}}})
    section = {"team": TEAM, "token_sha256": _sha256(TOKEN), "text": text}
    return tomlkit.dumps({"sections": {TEAM: section}})


def _peer(address: Address) -> ControlPeer:
    return ControlPeer(
        instance_id="control-1",
        host=address.host,
        port=address.port,
        data_centre=DATA_CENTRE,
    )


def _sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _free_port() -> int:
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return int(listener.getsockname()[1])
