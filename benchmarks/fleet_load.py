"""Benchmark that starts a fleet and runs load tests on it.

It is run as ``python -m benchmarks.fleet_load``. The fleet consists of three
control instances, three entries, and eleven agents with stand-in backend servers
of different speeds. Each is a process of its own that listens on 127.0.0.1.
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
    """Fault of some backend servers."""

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
"""Number of faulty backend servers, and the changes to their behaviour."""


def main(
    load: Annotated[list[float], typer.Option(help="Offered load; repeatable.")],
    workload: str = "bochas",
    length_s: float = 30.0,
    seed: int = 1,
    burst_factor: float = 1.0,
    fault: Fault = Fault.NONE,
    slopes_path: str = "",
    json_path: str = "",
) -> None:
    """Run one load test after the other on the same fleet."""
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
        usages = (
            {"idle": measure_one_process_per_role(processes)} if slopes_path else {}
        )
        inject_fault(fault, fleet)
        urls = tuple(fleet.entry_urls.values())
        reports = [
            measure_load(
                processes, fleet, attrs.evolve(settings, entry_urls=urls, load=each)
            )
            for each in load
        ]
        if slopes_path:
            usages["loaded"] = measure_one_process_per_role(processes)
            write_measurements(Path(slopes_path), usages, reports)
    if json_path:
        Path(json_path).write_text(json.dumps(reports, indent=1) + "\n")


@contextmanager
def running_fleet() -> Iterator[tuple[ProcessManager, Fleet]]:
    """Start a fleet, wait until it serves and has settled, and kill it on exit."""
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
    """Inject a fault into the backend servers in the middle of the speed ranking.

    Raises
    ------
    httpx.HTTPError
        If a backend server cannot be reached or rejects the change.
    """
    count, changed_settings = FAULTS[fault]
    ports = list(fleet.backend_ports.values())
    first_index = (len(ports) - count) // 2
    speeds = [1 / slowness for slowness in SLOWNESS]
    for index in range(first_index, first_index + count):
        behaviour = {"speed": speeds[index], **changed_settings}
        url = f"http://{HOST}:{ports[index]}/behaviour"
        httpx.put(url, json=behaviour, trust_env=False).raise_for_status()


def measure_load(
    processes: ProcessManager, fleet: Fleet, settings: LoadTestSettings
) -> dict[str, Any]:
    """Run one load test, print its report and return it with processor times.

    The processor times are in microseconds per task, by role.
    """
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
    """Print the report of one load test."""
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
    """Measure memory and processor time of one process of each role."""
    return {
        name.partition("-")[0]: attrs.asdict(measure_process(processes.pid(name)))
        for name in MEASURED_PROCESSES
    }


def processor_times_s(processes: ProcessManager, fleet: Fleet) -> dict[str, float]:
    """Return the total processor time of the instances of each role, in seconds."""
    names = {
        "control": fleet.control_urls,
        "entry": fleet.entry_urls,
        "agent": fleet.agents,
    }
    return {
        role: sum(processor_time_s(processes.pid(name)) for name in instances)
        for role, instances in names.items()
    }


def write_measurements(
    path: Path,
    usages: dict[str, dict[str, dict[str, float]]],
    reports: list[dict[str, Any]],
) -> None:
    """Write process usage and load test reports to the slopes file."""
    document = json.loads(path.read_text())
    document["processes"] = usages
    document["load_runs"] = reports
    path.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    typer.run(main)
