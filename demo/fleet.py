"""Functions that start a small fleet with stand-in backend servers."""

from __future__ import annotations

import hashlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from demo.processes import ProcessManager
from demo.processes import free_port
from demo.settings import ADMINISTRATION_TOKEN
from demo.settings import DATA_CENTRES
from demo.settings import HOST
from demo.settings import ControlPeer
from demo.settings import Ports
from demo.settings import agent_settings
from demo.settings import control_settings
from demo.settings import entry_settings
from demo.settings import write_toml

if TYPE_CHECKING:
    from collections.abc import Sequence

STANDIN_MODULE = "verbenaplank.standin.backend_server"


@attrs.frozen(kw_only=True)
class Fleet:
    """Names of the running processes, with their URLs or ports."""

    folder: Path
    control_urls: dict[str, str]
    entry_urls: dict[str, str]
    agents: tuple[str, ...]
    backend_ports: dict[str, int]

    @property
    def backend_servers(self) -> tuple[str, ...]:
        """Return the names of the processes of the backend servers."""
        return tuple(self.backend_ports)


def start_fleet(
    processes: ProcessManager,
    folder: Path,
    document: str,
    control_count: int,
    entry_count: int,
    speeds: Sequence[float],
) -> Fleet:
    """Start a fleet and wait until its control instances and entries are ready.

    One backend server with its agent is started for each of the ``speeds``, where
    1 is the normal speed.

    Raises
    ------
    ProcessNotReadyError
        If a control instance or an entry ended, or was not ready in time.
    """
    (folder / "document.toml").write_text(document, encoding="utf-8")
    peers = _create_peers(control_count)
    control_urls = _start_control_instances(processes, folder, peers)
    backend_ports = _start_backend_servers(processes, folder, speeds)
    agents = _start_agents(processes, folder, peers, backend_ports)
    entry_urls = _start_entries(processes, folder, peers, entry_count)
    for name, url in {**control_urls, **entry_urls}.items():
        processes.wait_ready(name, f"{url}/readyz")
    return Fleet(
        folder=folder,
        control_urls=control_urls,
        entry_urls=entry_urls,
        agents=agents,
        backend_ports=backend_ports,
    )


def _create_peers(count: int) -> tuple[ControlPeer, ...]:
    return tuple(
        ControlPeer(
            instance_id=f"control-{index + 1}",
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            ports=Ports(rpc=free_port(), http=free_port()),
        )
        for index in range(count)
    )


def _start_control_instances(
    processes: ProcessManager, folder: Path, peers: tuple[ControlPeer, ...]
) -> dict[str, str]:
    digest = hashlib.sha256(ADMINISTRATION_TOKEN.encode()).hexdigest()
    for peer in peers:
        document = control_settings(peer, peers, folder, digest)
        path = write_toml(folder / f"{peer.instance_id}.toml", document)
        processes.start_program(peer.instance_id, "verbena-control", path)
    return {peer.instance_id: f"http://{HOST}:{peer.ports.http}" for peer in peers}


def _start_backend_servers(
    processes: ProcessManager, folder: Path, speeds: Sequence[float]
) -> dict[str, int]:
    ports = {}
    for index, speed in enumerate(speeds):
        name = f"backend-{index + 1}"
        ports[name] = free_port()
        arguments = (
            *("--port", str(ports[name])),
            *("--speed", str(speed)),
            *("--server-id", name),
            *("--history", str(folder / f"{name}.jsonl")),
        )
        processes.start(name, sys.executable, "-m", STANDIN_MODULE, *arguments)
    return ports


def _start_agents(
    processes: ProcessManager,
    folder: Path,
    peers: tuple[ControlPeer, ...],
    backend_ports: dict[str, int],
) -> tuple[str, ...]:
    names = []
    for index, backend_port in enumerate(backend_ports.values()):
        ports = Ports(rpc=free_port())
        document = agent_settings(index, ports, backend_port, peers)
        name = document["instance_id"]
        path = write_toml(folder / f"{name}.toml", document)
        processes.start_program(name, "verbena-agent", path)
        names.append(name)
    return tuple(names)


def _start_entries(
    processes: ProcessManager, folder: Path, peers: tuple[ControlPeer, ...], count: int
) -> dict[str, str]:
    urls = {}
    for index in range(count):
        name = f"entry-{index + 1}"
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        ports = Ports(rpc=free_port(), http=free_port())
        document = entry_settings(name, data_centre, ports, peers)
        path = write_toml(folder / f"{name}.toml", document)
        processes.start_program(name, "verbena-entry", path)
        urls[name] = f"http://{HOST}:{ports.http}"
    return urls
