"""Starts a fleet and measures it: ``python -m benchmarks.fleet_load``.

Three control instances, three entries, eleven agents with stand-in backend
servers of differing speed, each a process, on 127.0.0.1.
"""

from __future__ import annotations

import json
import tempfile
import time
from pathlib import Path
from typing import Annotated

import attrs
import tomlkit
import typer
from demo.__main__ import probe
from demo.__main__ import section
from demo.cluster import Processes
from demo.documents import CARE_TOKEN
from demo.documents import FIXTURES_TOKEN
from demo.documents import SERVICES
from demo.fleet import Fleet
from demo.fleet import start_fleet
from rich.console import Console

from verbenaplank.bench.load import LoadSettings
from verbenaplank.bench.load import run_load
from verbenaplank.bench.process_use import measure_process
from verbenaplank.bench.process_use import processor_time_s
from verbenaplank.bench.scenario import SLOWNESS

CONTROL_COUNT = 3
ENTRY_COUNT = 3
TEAM = "fixtures"
MEASURED = ("control-1", "entry-1", "agent-1")
SETTLING_S = 8.0
POLL_PERIOD_S = 0.1


def main(
    load: Annotated[list[float], typer.Option(help="Offered load; repeat it.")],
    workload: str = "bochas",
    length_s: float = 30.0,
    seed: int = 1,
    burst_factor: float = 1.0,
    slopes_path: str = "",
    json_path: str = "",
) -> None:
    """Run the loads one after the other on one fleet."""
    console = Console(width=100)
    reports = []
    with tempfile.TemporaryDirectory() as name, Processes(Path(name)) as processes:
        fleet = start_fleet(
            processes,
            Path(name),
            first_document(),
            CONTROL_COUNT,
            ENTRY_COUNT,
            [1 / slowness for slowness in SLOWNESS],
        )
        wait_for_agents(fleet)
        time.sleep(SETTLING_S)
        uses = {"idle": measure_all(processes, fleet)} if slopes_path else {}
        for each in load:
            settings = LoadSettings(
                entry_urls=tuple(fleet.entry_urls.values()),
                workload=workload,
                load=each,
                burst_factor=burst_factor,
                length_s=length_s,
                seed=seed,
                slowness=SLOWNESS,
                service=SERVICES[0],
                team=TEAM,
            )
            before_s = processor_times_s(processes, fleet)
            report = run_load(settings)
            after_s = processor_times_s(processes, fleet)
            console.print(f"load {each} of {workload}, {length_s} s, seed {seed}")
            console.print(report.to_table())
            tasks = max(1.0, report.goodput_tasks_per_s * length_s)
            spent_us = {
                role: round((after_s[role] - before_s[role]) / tasks * 1e6)
                for role in after_s
            }
            console.print(f"processor time per task, us, all instances: {spent_us}")
            reports.append({"load": each, **attrs.asdict(report), "us": spent_us})
        if slopes_path:
            uses["loaded"] = measure_all(processes, fleet)
            write_uses(Path(slopes_path), uses, reports)
    if json_path:
        Path(json_path).write_text(json.dumps(reports, indent=1) + "\n")


def first_document() -> str:
    """Return the first configuration document as TOML text."""
    services = {"services": {name: {"run_time_ms": 200.0} for name in SERVICES}}
    sections = {
        TEAM: section(TEAM, FIXTURES_TOKEN, tomlkit.dumps(services)),
        "care": {**section("care", CARE_TOKEN, ""), "grants": ["drains"]},
    }
    return tomlkit.dumps({"sections": sections})


def wait_for_agents(fleet: Fleet) -> None:
    """Wait until every entry has a route to the service."""
    for url in fleet.entry_urls.values():
        while not probe(url):
            time.sleep(POLL_PERIOD_S)


def measure_all(processes: Processes, fleet: Fleet) -> dict[str, dict[str, float]]:
    """Measure one process of each role."""
    return {
        name.partition("-")[0]: attrs.asdict(measure_process(processes.pid(name)))
        for name in MEASURED
    }


def processor_times_s(processes: Processes, fleet: Fleet) -> dict[str, float]:
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


def write_uses(
    path: Path, uses: dict[str, dict[str, dict[str, float]]], reports: list[object]
) -> None:
    """Add what the processes use to the slopes file."""
    document = json.loads(path.read_text())
    document["processes"] = uses
    document["load_runs"] = reports
    path.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    typer.run(main)
