"""A small deployment on loopback addresses, for the scripts of this review.

It starts the programs of the deploy file as processes of their own.  Executors,
callers and the operator are stand-ins that follow the users' pages and live in the
process of the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RPC, CONTROL, FRONT, READY, APP = 21_000, 21_020, 21_021, 21_022, 21_023
HOST = "nony24.example"
SERVICE = "huvo11a"
PREFIX = "/lohu930/"
OTHER_PREFIX = "/pufi791/"
ZONES = ("kochi", "tvm", "kozhikode")
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1_000
SETTINGS = """node = "{name}"
role = "{role}"
machine-class = "{kind}"
serves = ["{serves}"]
ip = "{host}"
zone = "{zone}"
region = "kerala"
internal-ports = [{rpc},{rpc_last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
counts-as-loss = {counts}
discovery = "local"
entry = "vip"
heartbeat-ms = 1500
config_mode = "highest"
control-mode = "invocation"
{extra}
[zones]
kochi = "kerala"
tvm = "kerala"
kozhikode = "kerala"
[listen-addrs]
{listen}
[limits]
cpu-share = 0.6
cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 128
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
hold-max-ms = 1000
stop-ms = 50
cancel_ms = 3000
remote-factor = 1.5
resend-ms = 1300
"""


class Tape:
    """What was sent, answered and run, with the time in seconds from the start."""

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.lines: list[str] = []

    def now_s(self) -> float:
        """Return the time since the start of the script, in seconds."""
        return time.monotonic() - self.began_s

    def add(self, text: str) -> float:
        """Add a line with the present time, and return that time."""
        now_s = self.now_s()
        self.lines.append(f"{now_s:9.3f}  {text}")
        return now_s

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP/1.1 message: its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return head[0], headers, await reader.readexactly(size)


class Run:
    """One run of a task at an executor."""

    def __init__(self, task: str, number: int, work_s: float, tape: Tape) -> None:
        self.task = task
        self.number = number
        self.work_s = work_s
        self.began_s = tape.now_s()
        self.ended_s: float | None = None
        self.how = ""


class Executor:
    """An executor as the pages describe it; ``spec`` gives the work in milliseconds."""

    def __init__(self, name: str, host: str, tape: Tape) -> None:
        self.name = name
        self.host = host
        self.tape = tape
        self.born = time.time_ns() // 1_000_000
        self.born_s = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.state = "ready"
        self.lease_ms = 0
        self.cpu = 16_000
        self.active: dict[tuple[str, int], Run] = {}
        self.highest: dict[str, int] = {}
        self.finished: list[list[Any]] = []
        self.seen = 0
        self.history: list[Run] = []
        self.ended = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.server: asyncio.Server | None = None

    def clock_ms(self) -> int:
        """Return the reading of the executor's steady clock."""
        return round((time.monotonic() - self.born_s) * 1_000) + 1_000

    async def start(self) -> None:
        """Listen for calls, watch the runs and send status reports."""
        self.server = await asyncio.start_server(self._serve, self.host, APP)
        self.tasks.append(asyncio.create_task(self._watch()))
        self.tasks.append(asyncio.create_task(self._report_forever()))

    async def stop(self) -> None:
        """End all that the executor does."""
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()

    async def _report_forever(self) -> None:
        while True:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, TimeoutError
            ):
                await self.report()
                await asyncio.sleep(HEARTBEAT_S - 0.2)
            await asyncio.sleep(0.2)

    async def report(self) -> int:
        """Send one status report and return the status of its answer."""
        self.sequence += 1
        body = {
            "service": SERVICE,
            "address": f"{self.host}:{APP}",
            "zone": "kochi",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": 32_768, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "sequence": self.sequence,
        }
        path = f"/v1/instances/{self.name}"
        return (await call(self.host, CONTROL, "PUT", path, body, timeout_s=1.0))[0]

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.004)
            now_s = self.tape.now_s()
            lapsed = self.clock_ms() > self.lease_ms
            for run in list(self.active.values()):
                if lapsed:
                    self.end(run, "lapsed")
                elif now_s - run.began_s >= run.work_s:
                    self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        del self.active[run.task, run.number]
        run.ended_s = self.tape.add(
            f"{self.name} ends {run.task} run {run.number} {how}"
        )
        run.how = how
        row = [len(self.finished) + 1, run.task, run.number, how, ""]
        self.finished.append(row)
        self.ended.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                first, headers, body = await read_message(reader)
                answer = await self.handle(first.split()[1], headers, json.loads(body))
                if answer is None:
                    return
                writer.write(encode_answer(*answer))
                await writer.drain()
        writer.close()

    async def handle(
        self, path: str, headers: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]] | None:
        """Carry out one call and return status and body of its answer."""
        if headers.get("verbenaplank-expect-instance", self.name) != self.name:
            return 421, {}
        fence = body.get("fence", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if path == "/v1/run-start":
            return self.run_start(body)
        if path == "/v1/run-stop":
            return self.run_stop(body)
        return await self.hold(body)

    def answer(self, status: int, **fields: Any) -> tuple[int, dict[str, Any]]:
        """Return an answer that carries the clock."""
        return status, {"clock-ms": self.clock_ms(), "born": self.born, **fields}

    def extend(self, deadline_ms: int) -> None:
        """Extend the lease of all that runs here; it never shortens."""
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    def run_start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Start a run, or refuse it."""
        task, number = body["task"], body["run-id"]
        if body["deadline-ms"] < self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(body["deadline-ms"])
        if (task, number) in self.active:
            return self.answer(200)
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        self.highest[task] = number
        run = Run(task, number, int(body["spec"]) / 1_000, self.tape)
        self.active[task, number] = run
        self.history.append(run)
        self.tape.add(f"{self.name} starts {task} run {number}")
        return self.answer(200)

    def run_stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stop a run; one that is not there will be refused."""
        task, number = body["task"], body["run-id"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.active.get((task, number))
        if run is not None:
            self.end(run, "stopped")
        return self.answer(200)

    async def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Extend the lease, wait for an end and list what runs and has ended."""
        if "deadline-ms" in body:
            self.extend(body["deadline-ms"])
        self.seen = max(self.seen, body.get("last-seen", 0))
        until_s = time.monotonic() + body.get("wait-ms", 0) / 1_000
        while not self.finished[self.seen :]:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self.ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ended.wait(), left_s)
        now_s = self.tape.now_s()
        rows = [
            [r.task, r.number, "", int(100 * (now_s - r.began_s) / r.work_s), 0]
            for r in self.active.values()
        ]
        ends = self.finished[self.seen : self.seen + 500]
        return self.answer(200, active=rows, finished=ends)


def encode_answer(status: int, body: dict[str, Any]) -> bytes:
    """Return an HTTP/1.1 answer with a JSON body."""
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    *,
    timeout_s: float = 10.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one request on a new connection and return status and body."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode_request(method, path, host, body, headers or {}))
            await writer.drain()
            first, _, data = await read_message(reader)
            return int(first.split()[1]), data
        finally:
            writer.close()


def encode_request(
    method: str, path: str, host: str, body: Any, headers: dict[str, str]
) -> bytes:
    """Return an HTTP/1.1 request with a JSON body, or without one."""
    data = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": host, "Content-Type": "application/json", **headers}
    fields["Content-Length"] = str(len(data))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + data


def job(work_ms: int, count: int = 1, cpu: int = 1_000) -> dict[str, Any]:
    """Return the body of a job that needs not be stored."""
    step = {"count": count, "cpu": cpu, "mem-mb": 64, "estimate-ms": work_ms}
    return {"spec": str(work_ms), "best-effort": True, "steps": [step]}


def desired_state(version: int, **changes: Any) -> dict[str, Any]:
    """Return a desired state with an urgent route and one that is less urgent."""
    route = {
        "name": "r-3hwrr6x",
        "host": HOST,
        "path-prefix": PREFIX,
        "kind": "unsafe",
        "timeout-ms": 1_500,
        "target-latency-ms": 60,
        "priority": 0,
        "service": SERVICE,
        "max-attempts": 4,
        "stretch": 1.6,
        **changes,
    }
    other = {
        **route,
        "name": "r-73d3zji",
        "path-prefix": OTHER_PREFIX,
        "priority": 2,
    }
    service = {
        "name": SERVICE,
        "health-path": "/health",
        "max-connections": 64,
        "protocol": "h1",
        "tls": False,
        "rejects-overload": False,
        "standby": False,
    }
    limits = {
        "max-header-bytes": 16_384,
        "max-body-bytes": 262_144,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    }
    return {
        "version": version,
        "routes": [route, other],
        "services": [service],
        "limits": limits,
    }


class Cut:
    """Forwards connections of one machine to others, until it is cut off silently."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def forward(self, host: str, port: int, target: str) -> None:
        """Forward what arrives at an address to the same port of another one."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self.open.wait()
                there, back = await asyncio.open_connection(target, port)
                pumps = (self._pump(reader, back), self._pump(there, writer))
                await asyncio.gather(*pumps, return_exceptions=True)
            writer.close()

        self.servers.append(await asyncio.start_server(serve, host, port))

    def close(self) -> None:
        """Stop to accept connections."""
        for server in self.servers:
            server.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65_536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


class Fleet:
    """The processes and stand-ins of one deployment; an async context manager."""

    def __init__(
        self, *, controls: int = 3, entries: int = 2, agents: int = 3, seed: int = 0
    ) -> None:
        chosen = random.Random(f"{os.getpid()} {time.time_ns()} {seed}")
        self.subnet = f"127.{chosen.randrange(20, 250)}.{chosen.randrange(1, 250)}"
        self.tape = Tape()
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.controls = [self.host(1 + n) for n in range(controls)]
        self.entries = [self.host(21 + n) for n in range(entries)]
        self.agents = [self.host(41 + n) for n in range(agents)]
        self.seeds: dict[str, list[str]] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.later: set[str] = set()
        self.executors = [
            Executor(f"i-{n:08x}", host, self.tape)
            for n, host in enumerate(self.agents)
        ]
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]

    def host(self, number: int) -> str:
        """Return an address of this deployment."""
        return f"{self.subnet}.{number}"

    async def __aenter__(self) -> Fleet:
        for host in (*self.controls, *self.agents, *self.entries):
            self.spawn(host)
        for executor in self.executors:
            await executor.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for executor in self.executors:
            await executor.stop()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def role(self, host: str) -> str:
        """Return the role that a machine runs."""
        if host in self.controls:
            return "control"
        return "entry" if host in self.entries else "agent"

    def spawn(self, host: str) -> None:
        """Start the process of a machine with the command of the deploy file."""
        role = self.role(host)
        settings = self.folder / f"{host}.toml"
        settings.write_text(self._settings(host, role), encoding="utf-8")
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            "VERBENAPLANK_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with (self.folder / f"{host}.log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                shlex.split(self.roles[role]["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.tape.add(f"start {role} {host}")

    def lose_disk(self, host: str) -> None:
        """End a control process at once and empty its folder for data."""
        self.processes[host].kill()
        self.processes[host].wait()
        shutil.rmtree(self.folder / host, ignore_errors=True)
        self.later.add(host)
        self.tape.add(f"{host} has lost power and its disk")

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.tape.add(f"{number.name} to {self.role(host)} {host}")
        self.processes[host].send_signal(number)

    def log(self, host: str) -> str:
        """Return what the processes of a machine have logged."""
        return (self.folder / f"{host}.log").read_text(errors="replace")

    def _settings(self, host: str, role: str) -> str:
        number = int(host.rpartition(".")[2])
        kind = {"control": "core", "entry": "edge", "agent": "side"}[role]
        listen = {
            "control": f'control = "{host}:{CONTROL}"',
            "agent": f'control = "{host}:{CONTROL}"',
            "entry": f'frontend = "{host}:{FRONT}"\nreadiness = "{host}:{READY}"',
        }[role]
        seeds = self.seeds.get(host, self.controls[:3])
        extra = f'data-dir = "{self.folder / host}"' if role == "control" else ""
        return SETTINGS.format(
            name=f"{kind}-{number}",
            role=role,
            kind=kind,
            serves={"control": "control", "entry": "edge", "agent": "side"}[role],
            host=host,
            zone=ZONES[number % 3],
            rpc=RPC,
            rpc_last=RPC + 15,
            seeds=",".join(f'"{seed}:{CONTROL}"' for seed in seeds),
            counts="true" if role == "control" else "false",
            bootstrap="false" if host in self.later else "true",
            extra=extra,
            listen=listen,
        )

    async def put(self, state: dict[str, Any], number: int = 0) -> int:
        """Send a desired state until it gets a clear answer; return its status."""
        for attempt in range(60):
            host = self.controls[(number + attempt) % len(self.controls)]
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                status, _ = await call(
                    host, CONTROL, "PUT", "/v1/config", state, timeout_s=3.0
                )
                self.tape.add(f"PUT version {state['version']} at {host}: {status}")
                if status < 500:
                    return status
            await asyncio.sleep(0.3)
        return 0

    async def read_back(self, timeout_s: float = 1.5) -> dict[str, int]:
        """Return the version that each control instance reads back; 0 if none."""
        versions = {}
        for host in self.controls:
            versions[host] = 0
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                status, data = await call(
                    host, CONTROL, "GET", "/v1/config", timeout_s=timeout_s
                )
                if status == 200:
                    versions[host] = json.loads(data)["version"]
                self.tape.add(f"GET at {host}: {status} {versions[host]}")
        return versions

    async def ask(
        self,
        entry: str,
        method: str,
        job_id: str,
        body: Any = None,
        *,
        deadline_s: float = 60.0,
        leave_after_s: float | None = None,
        prefix: str = PREFIX,
    ) -> tuple[int, bytes]:
        """Send a caller's request; status 0 means no answer.

        The caller waits for ``deadline_s``, or leaves after ``leave_after_s``.
        """
        headers = {
            "Host": HOST,
            "Verbenaplank-Deadline-Ms": str(int(deadline_s * 1_000)),
        }
        self.tape.add(f"{method} {job_id} to {entry}")
        status, data = 0, b""
        try:
            status, data = await call(
                entry,
                FRONT,
                method,
                prefix + job_id,
                body,
                timeout_s=leave_after_s or deadline_s,
                headers=headers,
            )
        except TimeoutError:
            self.tape.add(f"{method} {job_id} at {entry}: the caller leaves")
            return 0, b""
        except (OSError, asyncio.IncompleteReadError) as error:
            self.tape.add(f"{method} {job_id} at {entry}: broken channel {error!r}")
            return 0, b""
        self.tape.add(f"{method} {job_id} at {entry}: {status} {data[:120]!r}")
        return status, data

    async def wait_ready(self, timeout_s: float = 25.0) -> bool:
        """Send the first desired state, and wait until every entry runs jobs."""
        if await self.put(desired_state(3)) != 200:
            return False
        until_s = time.monotonic() + timeout_s
        for entry in self.entries:
            number = 0
            while True:
                number += 1
                job_id = f"{number:08x}{int(entry.rpartition('.')[2]):08x}"
                status, _ = await self.ask(entry, "POST", job_id, job(50, 6))
                if status == 200:
                    break
                if time.monotonic() > until_s:
                    return False
                await asyncio.sleep(0.3)
        await asyncio.sleep(1.0)
        return True

    def runs(self, job_id: str) -> list[tuple[str, Run]]:
        """Return the runs of a job's tasks with their executors, oldest first."""
        found = [
            (executor.name, run)
            for executor in self.executors
            for run in executor.history
            if run.task.startswith(job_id)
        ]
        return sorted(found, key=lambda item: item[1].began_s)
