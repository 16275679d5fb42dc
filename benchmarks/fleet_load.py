"""Starts a fleet and measures it: ``python -m benchmarks.fleet_load``.

Three control instances, three entries, eleven agents with stand-in backend
servers of differing speed, each a process, on 127.0.0.1.
"""

from __future__ import annotations

import json
import tempfile
import time
from contextlib import contextmanager
from enum import StrEnum
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import attrs
import httpx
import typer
from demo.__main__ import initial_document
from demo.__main__ import wait_until_entries_serve
from demo.fleet import Fleet
from demo.fleet import start_fleet
from demo.processes import ProcessManager
from demo.settings import HOST
from demo.settings import SERVICES
from rich.console import Console

from verbenaplank.bench.load import LoadTestSettings
from verbenaplank.bench.load import run_load
from verbenaplank.bench.process_usage import measure_process
from verbenaplank.bench.process_usage import processor_time_s
from verbenaplank.bench.scenario import SLOWNESS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.bench.load_report import LoadTestReport

CONTROL_COUNT = 3
ENTRY_COUNT = 3
TEAM = "fixtures"
MEASURED_PROCESSES = ("control-1", "entry-1", "agent-1")
SETTLING_S = 8.0
MICROSECONDS_PER_SECOND = 1_000_000


class Fault(StrEnum):
    """What is wrong with some backend servers."""

    NONE = "none"
    TWO_SLOW = "two_slow"
    ONE_FAILING = "one_failing"
    ONE_STALLED = "one_stalled"


FAULTS: dict[Fault, tuple[int, dict[str, Any]]] = {
    Fault.NONE: (0, {}),
    Fault.TWO_SLOW: (2, {"slow_factor": 4.0}),
    Fault.ONE_FAILING: (1, {"failure": "fail"}),
    Fault.ONE_STALLED: (1, {"failure": "stall"}),
}
"""How many backend servers have a fault, and what it changes in them."""


def main(
    load: Annotated[list[float], typer.Option(help="Offered load; repeat it.")],
    workload: str = "bochas",
    length_s: float = 30.0,
    seed: int = 1,
    burst_factor: float = 1.0,
    fault: Fault = Fault.NONE,
    slopes_path: str = "",
    json_path: str = "",
) -> None:
    """Run the loads one after the other on one fleet."""
    settings = LoadTestSettings(
        entry_urls=(),
        workload=workload,
        burst_factor=burst_factor,
        length_s=length_s,
        seed=seed,
        slowness=SLOWNESS,
        service=SERVICES[0],
        team=TEAM,
    )
    with running_fleet() as (processes, fleet):
        uses = {"idle": measure_one_process_per_role(processes)} if slopes_path else {}
        inject_fault(fault, fleet)
        urls = tuple(fleet.entry_urls.values())
        reports = [
            measure_load(
                processes, fleet, attrs.evolve(settings, entry_urls=urls, load=each)
            )
            for each in load
        ]
        if slopes_path:
            uses["loaded"] = measure_one_process_per_role(processes)
            write_process_usage(Path(slopes_path), uses, reports)
    if json_path:
        Path(json_path).write_text(json.dumps(reports, indent=1) + "\n")


@contextmanager
def running_fleet() -> Iterator[tuple[ProcessManager, Fleet]]:
    """Start a fleet and wait until it serves and has settled."""
    speeds = [1 / slowness for slowness in SLOWNESS]
    with tempfile.TemporaryDirectory() as name, ProcessManager(Path(name)) as processes:
        fleet = start_fleet(
            processes,
            Path(name),
            initial_document(),
            CONTROL_COUNT,
            ENTRY_COUNT,
            speeds,
        )
        wait_until_entries_serve(fleet)
        time.sleep(SETTLING_S)
        yield processes, fleet


def inject_fault(fault: Fault, fleet: Fleet) -> None:
    """Change the behaviour of some backend servers of middling speed."""
    count, changes = FAULTS[fault]
    ports = list(fleet.backend_ports.values())
    middle = (len(ports) - count) // 2
    speeds = [1 / slowness for slowness in SLOWNESS]
    for index in range(middle, middle + count):
        behaviour = {"speed": speeds[index], **changes}
        url = f"http://{HOST}:{ports[index]}/behaviour"
        httpx.put(url, json=behaviour, trust_env=False).raise_for_status()


def measure_load(
    processes: ProcessManager, fleet: Fleet, settings: LoadTestSettings
) -> dict[str, Any]:
    """Run one load, print its figures and return them."""
    before_s = processor_times_s(processes, fleet)
    report = run_load(settings)
    after_s = processor_times_s(processes, fleet)
    tasks = max(1.0, report.goodput_tasks_per_s * settings.length_s)
    spent_us = {
        role: round((after_s[role] - before_s[role]) / tasks * MICROSECONDS_PER_SECOND)
        for role in after_s
    }
    print_report(settings, report, spent_us)
    return {"load": settings.load, **attrs.asdict(report), "us": spent_us}


def print_report(
    settings: LoadTestSettings, report: LoadTestReport, spent_us: dict[str, int]
) -> None:
    """Print the figures of one load."""
    console = Console(width=100)
    console.print(
        f"load {settings.load} of {settings.workload}, {settings.length_s} s, "
        f"seed {settings.seed}"
    )
    console.print(report.to_table())
    console.print(f"processor time per task, us, all instances: {spent_us}")


def measure_one_process_per_role(
    processes: ProcessManager,
) -> dict[str, dict[str, float]]:
    """Measure one process of each role."""
    return {
        name.partition("-")[0]: attrs.asdict(measure_process(processes.pid(name)))
        for name in MEASURED_PROCESSES
    }


def processor_times_s(processes: ProcessManager, fleet: Fleet) -> dict[str, float]:
    """Return the processor time of all instances of each role."""
    names = {
        "control": fleet.control_urls,
        "entry": fleet.entry_urls,
        "agent": fleet.agents,
    }
    return {
        role: sum(processor_time_s(processes.pid(name)) for name in instances)
        for role, instances in names.items()
    }


def write_process_usage(
    path: Path,
    uses: dict[str, dict[str, dict[str, float]]],
    reports: list[dict[str, Any]],
) -> None:
    """Add what the processes use to the slopes file."""
    document = json.loads(path.read_text())
    document["processes"] = uses
    document["load_runs"] = reports
    path.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    typer.run(main)
