"""Measures the slopes: ``python -m verbenaplank.bench.slopes docs/slopes.json``.

Running processes are measured too, if their ids are given as
``--process agent.idle=PID``; their part of the file is kept otherwise.
"""

from __future__ import annotations

import json
import os
import platform
import sys
import time
from itertools import chain
from pathlib import Path
from typing import Annotated
from typing import Any

import attrs
import typer

from verbenaplank.bench.control_slopes import measure_control_slopes
from verbenaplank.bench.process_usage import measure_process
from verbenaplank.bench.stream_slopes import measure_stream_slopes
from verbenaplank.bench.task_slopes import measure_task_slopes


def main(
    path: str,
    process: Annotated[
        list[str] | None, typer.Option(help="NAME=PID of a running process.")
    ] = None,
    processes_only: Annotated[
        bool, typer.Option(help="Leave the other slopes as they are.")
    ] = False,
) -> None:
    """Measure and write the slopes."""
    file = Path(path)
    document = json.loads(file.read_text()) if file.exists() else {}
    if not processes_only:
        document["machine"] = _machine()
        document["command"] = "python -m verbenaplank.bench.slopes " + path
        document["slopes"] = _slopes()
    for item in process or ():
        name, _, pid = item.partition("=")
        use = measure_process(int(pid))
        document.setdefault("processes", {})[name] = attrs.asdict(use)
        print(name, use)
    file.write_text(json.dumps(document, indent=1) + "\n")


def _slopes() -> dict[str, Any]:
    measured = {}
    for slope in chain(
        measure_task_slopes(), measure_control_slopes(), measure_stream_slopes()
    ):
        print(f"{slope.name:45} {slope.value:12.2f} {slope.unit}")
        key = f"{slope.name}.{slope.unit}"
        measured[key] = {"value": slope.value, "items": slope.items}
    return measured


def _machine() -> dict[str, Any]:
    return {
        "processor": _processor(),
        "cores": os.cpu_count(),
        "python": sys.version.split()[0],
        "system": platform.platform(),
        "measured": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }


def _processor() -> str:
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            return line.partition(":")[2].strip()
    return platform.machine()


if __name__ == "__main__":
    typer.run(main)
