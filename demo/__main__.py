"""Command that starts a small fleet and sends it a job of 350 tasks and a request."""

from __future__ import annotations

import hashlib
import json
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import httpx
import tomlkit

from demo.fleet import Fleet
from demo.fleet import start_fleet
from demo.processes import SCRIPTS_FOLDER
from demo.processes import ProcessManager
from demo.settings import CARE_TOKEN
from demo.settings import FIXTURES_TOKEN
from demo.settings import SERVICES
from verbenaplank.bench.ideal_response import ideal_response_s

CONTROL_COUNT = 3
ENTRY_COUNT = 2
SPEEDS = (1.0, 1.0, 0.8, 0.5)
SLOTS = 8
TASK_COUNT = 350
RUN_TIME_MS = 100
ROUND_TRIP_S = 0.001
RETRY_PERIOD_S = 0.1
MS_PER_S = 1000
RESPONSE_TIME_PATTERN = re.compile(r"results in (\d+) ms")


def main() -> int:
    """Run the demonstration and return its exit code, 0 for success."""
    with tempfile.TemporaryDirectory(prefix="verbenaplank-") as name:
        folder = Path(name)
        with ProcessManager(folder) as processes:
            print_line(
                f"starting {CONTROL_COUNT} control instances, {ENTRY_COUNT} entries,"
            )
            print_line(f"{len(SPEEDS)} agents and backend servers of speeds {SPEEDS}")
            fleet = start_fleet(
                processes,
                folder,
                initial_document(),
                CONTROL_COUNT,
                ENTRY_COUNT,
                SPEEDS,
            )
            wait_until_entries_serve(fleet)
            submit_job_and_request(fleet)
            return stop_fleet(processes, fleet)


def initial_document() -> str:
    """Return the initial configuration document as TOML text."""
    services = {"services": {name: {"run_time_ms": RUN_TIME_MS} for name in SERVICES}}
    sections = {
        "fixtures": section_table("fixtures", FIXTURES_TOKEN, tomlkit.dumps(services)),
        "care": {**section_table("care", CARE_TOKEN, ""), "grants": ["drains"]},
    }
    return tomlkit.dumps({"sections": sections})


def section_table(team: str, token: str, text: str) -> dict[str, Any]:
    """Return the table of one section of the initial document."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {"team": team, "token_sha256": digest, "text": text}


def wait_until_entries_serve(fleet: Fleet) -> list[str]:
    """Wait until every entry has served a request and return the requests' ids."""
    return [wait_until_entry_serves(url) for url in fleet.entry_urls.values()]


def wait_until_entry_serves(entry_url: str) -> str:
    """Send requests to an entry until one succeeds and return that request's id."""
    while True:
        response = send_probe_request(entry_url)
        if response.status_code == httpx.codes.OK:
            return str(response.json()["id"])
        time.sleep(RETRY_PERIOD_S)


def send_probe_request(entry_url: str) -> httpx.Response:
    """Send a request of 1 ms run time to an entry and return the response."""
    body = {
        "service": SERVICES[0],
        "team": "fixtures",
        "payload": {"run_time_ms": 1},
        "idempotent": True,
        "priority": "routine",
    }
    return httpx.post(f"{entry_url}/v1/requests", json=body, trust_env=False)


def submit_job_and_request(fleet: Fleet) -> None:
    """Submit a job and a request with ``verbena`` and list the members."""
    entry_url = next(iter(fleet.entry_urls.values()))
    job = {
        "service": SERVICES[0],
        "team": "fixtures",
        "tasks": [{"payload": {"run_time_ms": RUN_TIME_MS}} for _ in range(TASK_COUNT)],
    }
    path = fleet.folder / "job.json"
    path.write_text(json.dumps(job))
    before = read_metrics(entry_url)
    print_line(f"submitting a job of {TASK_COUNT} tasks of {RUN_TIME_MS} ms")
    summary = run_verbena("submit", "--entry", entry_url, str(path))
    print_performance(entry_url, before, response_time_s(summary))
    print_line("sending one request")
    payload = json.dumps({"run_time_ms": RUN_TIME_MS})
    arguments = ("request", "--entry", entry_url, SERVICES[1], "fixtures", payload)
    run_verbena(*arguments)
    for url in fleet.control_urls.values():
        run_verbena("members", "--control", url)
        break


def response_time_s(summary: str) -> float:
    """Parse the response time in the output of ``verbena submit``, in seconds.

    Raises
    ------
    ValueError
        If the output holds no response time.
    """
    match = RESPONSE_TIME_PATTERN.search(summary)
    if match is None:
        raise ValueError(f"no response time in the summary {summary!r}")
    return float(match[1]) / MS_PER_S


def print_performance(
    entry_url: str, before: dict[str, float], response_s: float
) -> None:
    """Print the response time, its ratio to the ideal, and the changes of metrics."""
    run_times_s = [RUN_TIME_MS / MS_PER_S] * TASK_COUNT
    slowness = [1 / speed for speed in SPEEDS for _ in range(SLOTS)]
    ideal_s = ideal_response_s(run_times_s, slowness, ROUND_TRIP_S)
    print_line(
        f"response time {response_s:.3f} s, ideal {ideal_s:.3f} s, "
        f"over ideal {response_s / ideal_s:.3f}"
    )
    for name, count in read_metrics(entry_url).items():
        print_line(f"{name}: {count - before.get(name, 0.0):.0f}")


def read_metrics(entry_url: str) -> dict[str, float]:
    """Return this project's metrics of an entry, by name with labels."""
    text = httpx.get(f"{entry_url}/metrics", trust_env=False).text
    lines = (line.rpartition(" ") for line in text.splitlines() if line[:1] != "#")
    return {name: float(value) for name, _, value in lines if "verbenaplank" in name}


def run_verbena(*arguments: str) -> str:
    """Run the ``verbena`` command, show its output and return its summary.

    The summary is what the command writes to standard error.

    Raises
    ------
    subprocess.CalledProcessError
        If the command fails.
    """
    print_line(f"$ verbena {' '.join(arguments)}")
    command = [str(SCRIPTS_FOLDER / "verbena"), *arguments]
    completed = subprocess.run(command, check=True, stderr=subprocess.PIPE, text=True)
    if completed.stderr:
        print_line(completed.stderr.rstrip())
    return completed.stderr


def stop_fleet(processes: ProcessManager, fleet: Fleet) -> int:
    """Stop the fleet in order and return 0 if every process exited with 0.

    Entries stop first, then agents, control instances and backend servers. The
    exit codes of the stand-in backend servers are ignored.
    """
    codes = processes.stop(*fleet.entry_urls)
    codes |= processes.stop(*fleet.agents)
    codes |= processes.stop(*fleet.control_urls)
    processes.stop(*fleet.backend_servers)
    failed = {name: code for name, code in codes.items() if code}
    print_line(
        f"stopped {len(codes)} processes" + (f", failed: {failed}" if failed else "")
    )
    return 1 if failed else 0


def print_line(line: str) -> None:
    """Print a line and flush it, so that progress shows at once."""
    print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
