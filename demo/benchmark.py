"""Loads a fleet of processes of the size of today with ``verbena bench load``."""

from __future__ import annotations

import subprocess
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Annotated

import typer

from demo.__main__ import first_document
from demo.__main__ import say
from demo.__main__ import stop
from demo.__main__ import wait_for_agents
from demo.cluster import BINARIES
from demo.cluster import Processes
from demo.documents import SERVICES
from demo.fleet import start_fleet

if TYPE_CHECKING:
    from collections.abc import Iterable

CONTROL_COUNT = 3
ENTRY_COUNT = 3
SPEEDS = (2.0, 1.6, 1.4, 1.2, 1.0, 1.0, 0.9, 0.8, 0.7, 0.6, 0.5)


def main(
    offered: float = 0.7,
    workload: str = "bochas",
    length_s: float = 30.0,
    burst_factor: float = 1.0,
    speed: Annotated[
        list[float], typer.Option(help="Speed of each backend server; repeatable.")
    ] = list(SPEEDS),  # noqa: B006
    json_path: Annotated[str, typer.Option(help="File for the report.")] = "",
) -> None:
    """Start 11 backend servers, 3 entries and 3 control instances, and load them."""
    with tempfile.TemporaryDirectory(prefix="verbenaplank-") as name:
        folder = Path(name)
        with Processes(folder) as processes:
            fleet = start_fleet(
                processes, folder, first_document(), CONTROL_COUNT, ENTRY_COUNT, speed
            )
            wait_for_agents(fleet)
            arguments = [
                *("--service", SERVICES[0], "--team", "fixtures"),
                *("--offered", str(offered), "--workload", workload),
                *("--length-s", str(length_s), "--burst-factor", str(burst_factor)),
                *repeated("--entry", fleet.entry_urls.values()),
                *repeated("--speed", speed),
                *(("--json-path", json_path) if json_path else ()),
            ]
            say(f"$ verbena bench load {' '.join(arguments)}")
            subprocess.run(
                [BINARIES / "verbena", "bench", "load", *arguments], check=True
            )
            raise typer.Exit(stop(processes, fleet))


def repeated(option: str, values: Iterable[object]) -> list[str]:
    """Return an option once for each value."""
    return [part for value in values for part in (option, str(value))]


if __name__ == "__main__":
    typer.run(main)
