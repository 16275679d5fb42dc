"""Contents of the settings files of the processes of the demonstration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs
import tomlkit

if TYPE_CHECKING:
    from pathlib import Path

HOST = "127.0.0.1"
DATA_CENTRES = ("Rosario Norte", "Rosario Sur", "Santa Fe")
WORKERS_PER_RACK = 3
SERVICES = ["draw", "booking"]
ADMINISTRATION_TOKEN = "demo-administrators"
CARE_TOKEN = "demo-care"
FIXTURES_TOKEN = "demo-fixtures"


@attrs.frozen(kw_only=True)
class Ports:
    """Ports on which one process listens; 0 for one that it does not use."""

    rpc: int = 0
    http: int = 0


@attrs.frozen(kw_only=True)
class ControlPeer:
    """Id, data centre and ports of a control instance."""

    instance_id: str
    data_centre: str
    ports: Ports

    def to_table(self) -> dict[str, Any]:
        """Return the settings table by which other processes reach this instance."""
        return {
            "instance_id": self.instance_id,
            "host": HOST,
            "port": self.ports.rpc,
            "data_centre": self.data_centre,
        }


def listen_table(port: int) -> dict[str, Any]:
    """Return the settings table of an address on which a process listens."""
    return {"host": HOST, "port": port}


def control_settings(
    peer: ControlPeer, peers: tuple[ControlPeer, ...], folder: Path, token_sha256: str
) -> dict[str, Any]:
    """Return the settings of a control instance."""
    return {
        "instance_id": peer.instance_id,
        "data_centre": peer.data_centre,
        "data_folder": str(folder / peer.instance_id),
        "http": listen_table(peer.ports.http),
        "rpc": listen_table(peer.ports.rpc),
        "peers": [each.to_table() for each in peers],
        "administration": {
            "token_sha256": token_sha256,
            "document_path": str(folder / "document.toml"),
        },
    }


def entry_settings(
    instance_id: str, data_centre: str, ports: Ports, peers: tuple[ControlPeer, ...]
) -> dict[str, Any]:
    """Return the settings of an entry."""
    return {
        "instance_id": instance_id,
        "data_centre": data_centre,
        "http": listen_table(ports.http),
        "rpc": listen_table(ports.rpc),
        "control": [each.to_table() for each in peers],
    }


def agent_settings(
    index: int, ports: Ports, backend_port: int, peers: tuple[ControlPeer, ...]
) -> dict[str, Any]:
    """Return the settings of an agent, whose ``index`` counts from 0."""
    return {
        "instance_id": f"agent-{index + 1}",
        "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
        "rack": f"rack-{index // WORKERS_PER_RACK + 1}",
        "rpc": listen_table(ports.rpc),
        "control": [each.to_table() for each in peers],
        "backend_server": {
            **listen_table(backend_port),
            "services": SERVICES,
            "slots": 8,
            "connections": 64,
            "run_path": "/run/{service}",
        },
        "worker": {"cores": 64, "memory_mb": 131_072, "accelerators": 0},
    }


def write_toml(path: Path, document: dict[str, Any]) -> Path:
    """Write a document as a TOML file and return the path of the file."""
    path.write_text(tomlkit.dumps(document), encoding="utf-8")
    return path
