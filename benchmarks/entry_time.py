"""Benchmark of an entry's processor time per job, old and new code side by side.

It is run as ``python -m benchmarks.entry_time --tree OLD --tree NEW``.  Each tree is a
checkout whose platform entry program runs as a process of its own, unchanged.  A
control instance and simulated agents run in this process, which also sends jobs over
HTTP.  All trees get the same jobs at the same times, so that what else runs on the
machine affects all of them.
"""

from __future__ import annotations

import asyncio
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Annotated

import attrs
import msgspec
import tomlkit
import typer

from benchmarks.simulated_agents import joined_agents
from verbena_platform.control import control_program
from verbena_platform.node_settings import decode_node_settings
from verbena_platform.settings import control_peers
from verbenaplank.bench.process_usage import processor_time_s
from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SUBNET = "127.0.77"
"""All processes use the same ports, as on the platform, and each has an address."""

CONTROL_HOST = f"{SUBNET}.1"
FIRST_ENTRY_NUMBER = 10
CALLERS_HOST = "desk.example"
FIRST_PORT, HTTP_PORT, READINESS_PORT = 23_100, 23_110, 23_111
DATA_CENTRE = "kochi"
SERVICE = "s"
START_TIMEOUT_S = 30.0
SETTLING_S = 3.0
RACKS = 4
"""Number of racks that short jobs name; it takes effect with a remote factor."""

MS_PER_S = 1_000.0


@attrs.frozen
class JobKind:
    """A kind of job: its share of the jobs, and what each job consists of."""

    name: str
    priority: int
    weight: float
    tasks: int
    run_s: float
    millicores: int


JOB_KINDS = (
    JobKind("short", 0, 103, 8, 0.12, 2_600),
    JobKind("medium", 1, 300, 2, 0.4, 1_000),
    JobKind("long", 2, 19, 4, 1.8, 1_000),
)
"""The mix of docs/design/high-load.md: 3.55 tasks per job on average."""


@attrs.define
class Round:
    """Answers and processor time of one tree in one turn."""

    jobs: int = 0
    succeeded: int = 0
    processor_s: float = 0.0
    latency_s: list[float] = attrs.field(factory=list)


@attrs.define
class EntryProcess:
    """A running entry program."""

    tree: Path
    address: Address
    process: subprocess.Popen[bytes]
    rounds: list[Round] = attrs.field(factory=list)
    idle_share: float = 0.0
    connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = attrs.field(
        factory=list
    )


def settings_document(
    host: str, folder: Path, remote_factor: float = 1.0
) -> dict[str, object]:
    """Return the settings file of a process, as the platform writes it."""
    return {
        "node": f"node-{host}",
        "ip": host,
        "zone": DATA_CENTRE,
        "zones": {DATA_CENTRE: {}},
        "internal-ports": [FIRST_PORT, FIRST_PORT + 9],
        "seeds": [f"{CONTROL_HOST}:{HTTP_PORT}"],
        "bootstrap": True,
        "fault-tolerance": {"machines": 0},
        "data-dir": str(folder / host),
        "listen-addrs": {
            "control": f"{host}:{HTTP_PORT}",
            "frontend": f"{host}:{HTTP_PORT}",
            "readiness": f"{host}:{READINESS_PORT}",
        },
        "bounds": {
            "hold-max-ms": 1_000,
            "grace-s": 5,
            "remote-factor": remote_factor,
        },
    }


def routing_document() -> bytes:
    """Return the operators' document with a route for each kind of job."""
    routes = [
        {
            "name": kind.name,
            "host": CALLERS_HOST,
            "path-prefix": f"/{kind.name}/",
            "service": SERVICE,
            "timeout-ms": 1_540,
            "priority": kind.priority,
            "target-latency-ms": 61,
            "stretch": 1.6,
            "max-attempts": 3,
        }
        for kind in JOB_KINDS
    ]
    return msgspec.json.encode(
        {"version": 1, "routes": routes, "services": [{"name": SERVICE}], "limits": {}}
    )


def request_bytes(method: str, path: str, host: str, body: bytes = b"") -> bytes:
    """Return an HTTP request with the headers that the platform's callers send."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        "Content-Type: application/json\r\nVerbenaplank-Deadline-Ms: 15000\r\n"
        f"Request-Id: {random.randrange(16**16):016x}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_status(reader: asyncio.StreamReader) -> int:
    """Read a whole response and return its status."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = head.partition("content-length:")[2].partition("\r\n")[0]
    await reader.readexactly(int(length))
    return int(head.split()[1])


async def exchange(address: Address, request: bytes) -> int:
    """Send one request on a new connection and return the status of its response."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(request)
    try:
        return await read_status(reader)
    finally:
        writer.close()


async def wait_for_status(address: Address, request: bytes) -> None:
    """Repeat a request until it is answered with 200."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                if await exchange(address, request) == 200:
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.1)


@asynccontextmanager
async def running_entry(
    tree: Path,
    number: int,
    folder: Path,
    *,
    remote_factor: float,
    profile: Path | None,
) -> AsyncIterator[EntryProcess]:
    """Run a tree's entry program until the context is left."""
    host = f"{SUBNET}.{FIRST_ENTRY_NUMBER + number}"
    path = folder / f"{host}.toml"
    path.write_text(tomlkit.dumps(settings_document(host, folder, remote_factor)))
    command = [sys.executable]
    if profile is not None:
        command += ["-m", "cProfile", "-o", str(profile / f"entry-{number}.profile")]
    command += [str(tree / "platform" / "verbena.py"), "entry"]
    environment = {**os.environ, "VERBENAPLANK_CONFIG": str(path), "PYTHONPATH": ""}
    with (folder / f"{host}.log").open("wb") as log:
        process = subprocess.Popen(command, env=environment, stdout=log)  # noqa: ASYNC220
    address = Address(host, HTTP_PORT)
    readiness = Address(host, READINESS_PORT)
    entry = EntryProcess(tree, address, process)
    try:
        await wait_for_status(readiness, request_bytes("GET", "/v1/ready", host))
        yield entry
    finally:
        close_connections(entry)
        process.terminate()
        await asyncio.to_thread(process.wait)


def close_connections(entry: EntryProcess) -> None:
    """Close the kept connections, which the entry closes if they stay idle."""
    for _, writer in entry.connections:
        writer.close()
    entry.connections.clear()


async def run_job(entry: EntryProcess, kind: JobKind, turn: Round) -> None:
    """Send a job on a kept connection and record its answer."""
    step: dict[str, float | str] = {
        "count": kind.tasks,
        "cpu": kind.millicores,
        "mem-mb": 64,
        "estimate-ms": kind.run_s * MS_PER_S,
    }
    if kind.priority == 0:
        step["affinity"] = f"rack-{random.randrange(RACKS)}"
    job = {"spec": str(kind.run_s), "best-effort": True, "steps": [step]}
    path = f"/{kind.name}/{random.randrange(16**16):016x}"
    request = request_bytes("POST", path, CALLERS_HOST, msgspec.json.encode(job))
    started_s = time.monotonic()
    if entry.connections:
        reader, writer = entry.connections.pop()
    else:
        address = entry.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(request)
    status = await read_status(reader)
    entry.connections.append((reader, writer))
    turn.jobs += 1
    turn.succeeded += status == 200
    turn.latency_s.append(time.monotonic() - started_s - kind.run_s)


async def run_turn(
    entry: EntryProcess, seed: int, jobs_per_s: float, length_s: float
) -> Round:
    """Send jobs to an entry at random times and wait for the answers."""
    schedule = random.Random(seed)
    turn = Round()
    weights = [kind.weight for kind in JOB_KINDS]
    loop = asyncio.get_running_loop()
    before_s = processor_time_s(entry.process.pid)
    ends_s = due_s = loop.time()
    ends_s += length_s
    async with asyncio.TaskGroup() as group:
        while due_s < ends_s:
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            kind = schedule.choices(JOB_KINDS, weights)[0]
            group.create_task(run_job(entry, kind, turn))
            due_s += schedule.expovariate(jobs_per_s)
    close_connections(entry)
    turn.processor_s = processor_time_s(entry.process.pid) - before_s
    return turn


async def measure_idle(entry: EntryProcess, length_s: float) -> float:
    """Return the share of a core that an entry without jobs uses."""
    before_s = processor_time_s(entry.process.pid)
    await asyncio.sleep(length_s)
    return (processor_time_s(entry.process.pid) - before_s) / length_s


async def compare(
    trees: list[Path],
    *,
    agents: int,
    jobs_per_s: float,
    turns: int,
    length_s: float,
    remote_factor: float,
    profile: Path | None,
) -> list[EntryProcess]:
    """Run the trees' entries side by side and return them with their turns."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        node = decode_node_settings(settings_document(CONTROL_HOST, folder))
        await stack.enter_async_context(control_program(node))
        put = request_bytes("PUT", "/v1/config", CONTROL_HOST, routing_document())
        await wait_for_status(Address(CONTROL_HOST, HTTP_PORT), put)
        peers = control_peers(node)
        await stack.enter_async_context(
            joined_agents(agents, peers, SERVICE, DATA_CENTRE)
        )
        entries = [
            await stack.enter_async_context(
                running_entry(
                    tree.resolve(),
                    number,
                    folder,
                    remote_factor=remote_factor,
                    profile=profile,
                )
            )
            for number, tree in enumerate(trees)
        ]
        await asyncio.sleep(SETTLING_S)
        for entry in entries:
            await run_turn(entry, turns, jobs_per_s, length_s / 4)
        for entry in entries:
            entry.idle_share = await measure_idle(entry, length_s)
        for number in range(turns):
            rounds = await asyncio.gather(
                *(run_turn(entry, number, jobs_per_s, length_s) for entry in entries)
            )
            for entry, turn in zip(entries, rounds, strict=True):
                entry.rounds.append(turn)
    return entries


def print_table(entries: list[EntryProcess]) -> None:
    """Print a line for each tree, and the ratio of each to the first."""
    first = _ms_per_job(entries[0])
    print(
        "| tree | jobs | succeeded | ms per job | of the first | idle, ms/s | latency |"
    )
    for entry in entries:
        latency_s = [value for turn in entry.rounds for value in turn.latency_s]
        ratios = [
            _ms_of(turn) / _ms_of(other)
            for turn, other in zip(entry.rounds, entries[0].rounds, strict=True)
        ]
        print(
            f"| {entry.tree} | {sum(turn.jobs for turn in entry.rounds)} "
            f"| {sum(turn.succeeded for turn in entry.rounds)} "
            f"| {_ms_per_job(entry):.3f} | {_ms_per_job(entry) / first:.3f} "
            f"({min(ratios):.2f}-{max(ratios):.2f}) "
            f"| {entry.idle_share * MS_PER_S:.1f} "
            f"| {statistics.median(latency_s) * MS_PER_S:.1f} ms |"
        )


def _ms_of(turn: Round) -> float:
    return turn.processor_s / turn.jobs * MS_PER_S


def _ms_per_job(entry: EntryProcess) -> float:
    return statistics.median(_ms_of(turn) for turn in entry.rounds)


def main(
    tree: Annotated[list[Path], typer.Option(help="Checkout to measure; repeatable.")],
    agents: int = 16,
    jobs_per_s: float = 60.0,
    turns: int = 5,
    length_s: float = 8.0,
    remote_factor: Annotated[
        float, typer.Option(help="Above 1.6, tasks of short jobs may wait for a rack.")
    ] = 1.0,
    profile: Annotated[
        Path | None, typer.Option(help="Folder for a profile of each entry.")
    ] = None,
) -> None:
    """Measure the processor time per job of the entry of each checkout."""
    entries = asyncio.run(
        compare(
            tree,
            agents=agents,
            jobs_per_s=jobs_per_s,
            turns=turns,
            length_s=length_s,
            remote_factor=remote_factor,
            profile=profile,
        )
    )
    print_table(entries)


if __name__ == "__main__":
    typer.run(main)
