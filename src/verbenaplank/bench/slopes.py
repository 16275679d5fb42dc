"""Command that measures slopes and writes them to a file.

It is run as ``python -m verbenaplank.bench.slopes docs/slopes.json``. A slope is
the cost of one more item. Running processes are measured as well if their ids
are given as ``--process agent.idle=PID``; otherwise their part of the file is
kept.
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
        bool, typer.Option(help="Measure only processes and keep the slopes.")
    ] = False,
) -> None:
    """Measure the slopes and write them to a JSON file."""
    file = Path(path)
    document = json.loads(file.read_text()) if file.exists() else {}
    if not processes_only:
        document["machine"] = _describe_machine()
        document["command"] = "python -m verbenaplank.bench.slopes " + path
        document["slopes"] = _measure_slopes()
    for item in process or ():
        name, _, pid = item.partition("=")
        usage = measure_process(int(pid))
        document.setdefault("processes", {})[name] = attrs.asdict(usage)
        print(name, usage)
    file.write_text(json.dumps(document, indent=1) + "\n")


def _measure_slopes() -> dict[str, Any]:
    measured = {}
    for slope in chain(
        measure_task_slopes(), measure_control_slopes(), measure_stream_slopes()
    ):
        print(f"{slope.name:45} {slope.value:12.2f} {slope.unit}")
        key = f"{slope.name}.{slope.unit}"
        measured[key] = {"value": slope.value, "items": slope.items}
    return measured


def _describe_machine() -> dict[str, Any]:
    return {
        "processor": _processor_model(),
        "cores": os.cpu_count(),
        "python": sys.version.split()[0],
        "system": platform.platform(),
        "measured": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }


def _processor_model() -> str:
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            return line.partition(":")[2].strip()
    return platform.machine()


if __name__ == "__main__":
    typer.run(main)
