"""One agent program of a checkout, with stand-ins for everything around it."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import statistics
import sys
import time
from contextlib import AsyncExitStack
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Self

import attrs
import httpx
import msgspec

from benchmarks.executor import BORN_MS
from benchmarks.executor import StandInExecutor
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.agent.named_task import encode_task
from verbenaplank.concurrency.cancellation import cancel_and_wait
from verbenaplank.entry.agent_connection import AgentConnection
from verbenaplank.entry.renewal import SHORT_LEASE
from verbenaplank.entry.traffic import Traffic
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.membership import ConfigurationUpdate
from verbenaplank.protocol.membership import EvacuationList
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import LeaseGrant
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import EntryHello
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.services import JOIN

if TYPE_CHECKING:
    from pathlib import Path

    from grpclib.server import Stream

    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.membership import ToControl
    from verbenaplank.protocol.work import AgentWelcome
    from verbenaplank.protocol.work import FromAgent

SERVICE = "draw"
SERVER_ID = "i-1"
LEASE_MS = 5_000.0
REPORT_PERIOD_S = 0.2
KEEP_ALIVE_PERIOD_S = SHORT_LEASE.renewal_period_s / 2
READY_TIMEOUT_S = 20.0
FINISH_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 10.0

RUN_TIMES_S = (0.12, 0.4, 1.8)
RUN_TIME_SHARES = (0.55, 0.4, 0.05)
RUN_TIME_SPREAD = 0.4
"""Standard deviation of the logarithm of the run times."""

SECOND_TASK_SHARE = 0.15
"""Share of the dispatch messages that carry two tasks of one job."""

SCHEDULER_CLOCK = 2

MAIN = "from verbena_platform.agent import main\n"
LAUNCH = MAIN + "main()"
LAUNCH_PROFILED = (
    "import cProfile, sys, time\n"
    f"{MAIN}"
    "profile = cProfile.Profile(time.thread_time)\n"
    "try:\n"
    "    profile.runcall(main)\n"
    "finally:\n"
    "    profile.dump_stats(sys.argv[1])\n"
)


@attrs.frozen(kw_only=True)
class Measurement:
    """What an agent used in a window of time.

    Attributes
    ----------
    processor_s
        User and system time of the agent's process, in seconds.
    tasks
        Number of results that the entries received.
    start_delays_ms
        Time from the send call of each dispatch at its entry to the start at the
        executor, in milliseconds.
    """

    processor_s: float
    wall_s: float
    tasks: int
    start_delays_ms: list[float]
    messages_sent: int
    messages_received: int


class AgentSite:
    """An agent process with a control instance, an executor and entries.

    Parameters
    ----------
    checkout
        Folder whose ``src`` and ``platform`` the agent process runs.
    first_port
        First of 20 free ports on 127.0.0.1.
    profile_path
        Where the agent writes a profile when it stops; empty for none.
    """

    def __init__(
        self, checkout: Path, folder: Path, first_port: int, profile_path: str = ""
    ) -> None:
        self._checkout = checkout
        self._folder = folder
        self._port = first_port
        self._profile_path = profile_path
        self._stack = AsyncExitStack()
        self._announced = asyncio.Event()
        self._member: Member | None = None
        self._entries: list[_Entry] = []
        self._sent_s: dict[str, float] = {}
        self._start_delays_ms: list[float] = []
        self._executor = StandInExecutor(self._record_start)
        self._pid = 0
        self.log_path = folder / "agent.log"
        self.seconds_to_join = 0.0

    async def __aenter__(self) -> Self:
        self._folder.mkdir(parents=True)
        address = Address("127.0.0.1", self._port)
        control = JOIN.create_service(self._admit)
        await self._stack.enter_async_context(serve([control], address))
        server = await self._executor.serve(self._executor_address)
        self._stack.callback(server.close)
        began_s = time.monotonic()
        await self._start_process()
        reports = asyncio.create_task(self._report_forever())
        self._stack.push_async_callback(cancel_and_wait, reports)
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._announced.wait()
        self.seconds_to_join = time.monotonic() - began_s
        return self

    async def __aexit__(self, *_: object) -> None:
        for entry in self._entries:
            await entry.close()
        await self._stack.aclose()

    async def connect(self, entries: int) -> None:
        """Open streams from a number of entries."""
        assert self._member is not None
        for number in range(entries):
            entry = _Entry(f"entry-{number}", self._member)
            self._entries.append(entry)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for entry in self._entries:
                await entry.connected.wait()

    async def run_load(self, rate: float, length_s: float, seed: int) -> None:
        """Dispatch tasks at a mean rate per second, then wait for their results."""
        choose = random.Random(seed)
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        until_s = due_s + length_s
        while due_s < until_s:
            count = 2 if choose.random() < SECOND_TASK_SHARE else 1
            due_s += choose.expovariate(rate / (1 + SECOND_TASK_SHARE))
            entry = choose.choice(self._entries)
            await asyncio.sleep(due_s - loop.time())
            self._sent_s |= dict.fromkeys(
                entry.dispatch(count, choose), time.monotonic()
            )

    async def wait_finished(self) -> int:
        """Wait until every task has a result, and return how many have none."""
        with suppress(TimeoutError):
            async with asyncio.timeout(FINISH_TIMEOUT_S):
                for entry in self._entries:
                    await entry.finished.wait()
        return sum(entry.lost + len(entry.open) for entry in self._entries)

    async def measure(self, length_s: float) -> Measurement:
        """Measure the agent's process over a window of time."""
        processor_s, began_s = processor_time_s(self._pid), time.monotonic()
        tasks, sent, received = self._counts()
        self._start_delays_ms.clear()
        await asyncio.sleep(length_s)
        tasks_now, sent_now, received_now = self._counts()
        return Measurement(
            processor_s=processor_time_s(self._pid) - processor_s,
            wall_s=time.monotonic() - began_s,
            tasks=tasks_now - tasks,
            start_delays_ms=list(self._start_delays_ms),
            messages_sent=sent_now - sent,
            messages_received=received_now - received,
        )

    @property
    def _executor_address(self) -> Address:
        return Address("127.0.0.1", self._port + 11)

    def _counts(self) -> tuple[int, int, int]:
        traffics = [entry.traffic for entry in self._entries]
        return (
            sum(traffic.results for traffic in traffics),
            sum(traffic.sent_messages for traffic in traffics),
            sum(traffic.received_messages for traffic in traffics),
        )

    def _record_start(self, name: str) -> None:
        sent_s = self._sent_s.pop(name)
        self._start_delays_ms.append((time.monotonic() - sent_s) * 1_000)

    async def _start_process(self) -> None:
        settings = self._folder / "settings.toml"
        settings.write_text(_settings(self._port))
        paths = (self._checkout / "src", self._checkout / "platform")
        environment = os.environ | {
            "PYTHONPATH": os.pathsep.join(map(str, paths)),
            "VERBENAPLANK_CONFIG": str(settings),
        }
        code = LAUNCH_PROFILED if self._profile_path else LAUNCH
        with self.log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-c", code, self._profile_path),
                env=environment,
                stdout=log,
            )
        self._pid = process.pid
        self._stack.push_async_callback(_stop_process, process)

    async def _report_forever(self) -> None:
        url = f"http://127.0.0.1:{self._port + 10}/v1/instances/{SERVER_ID}"
        async with httpx.AsyncClient(trust_env=False) as client:
            for sequence in itertools.count(1):
                body = {
                    "service": SERVICE,
                    "address": str(self._executor_address),
                    "state": "ready",
                    "sequence": sequence,
                    "born": BORN_MS,
                    "capacity": {"cpu": 64_000, "mem-mb": 64_000, "gpu": 0},
                    "labels": ["a", "r1-1"],
                }
                try:
                    await client.put(url, json=body)
                except httpx.ConnectError:
                    await asyncio.sleep(0.005)
                else:
                    await asyncio.sleep(REPORT_PERIOD_S)

    async def _admit(self, stream: Stream[ToControl, FromControl]) -> None:
        is_first = True
        async for message in stream:
            number = 0 if message.heartbeat is None else message.heartbeat.number
            answer = FromControl(
                lease=LeaseGrant(lease_ms=LEASE_MS, number=number),
                configuration=ConfigurationUpdate(version=1) if is_first else None,
                evacuations=EvacuationList() if is_first else None,
                left=message.leaving,
            )
            await stream.send_message(answer)
            is_first = False
            if message.member is not None:
                self._member = message.member
                self._announced.set()


class _Entry:
    """The real stream of an entry to the agent, without the rest of the entry.

    Attributes
    ----------
    open
        Ids of the dispatches without a result.
    finished
        Set while ``open`` is empty.
    lost
        Number of dispatches that were open when the stream broke.
    """

    def __init__(self, name: str, member: Member) -> None:
        self.open: set[int] = set()
        self.lost = 0
        self.finished = asyncio.Event()
        self.finished.set()
        self.connected = asyncio.Event()
        self.traffic = Traffic()
        self._incarnation = member.incarnation
        self._name = name
        self._ids = itertools.count(1)
        hello = EntryHello(entry_id=name, incarnation="1", data_centre="kochi")
        self._connection = AgentConnection(
            member, hello, self, None, self.traffic, SHORT_LEASE
        )
        self._tasks = [
            asyncio.create_task(self._connection.run()),
            asyncio.create_task(self._keep_alive()),
        ]

    async def close(self) -> None:
        for task in self._tasks:
            await cancel_and_wait(task)

    def dispatch(self, count: int, choose: random.Random) -> list[str]:
        """Send the tasks of one job and return their names."""
        numbers = [next(self._ids) for _ in range(count)]
        job_id = f"{choose.getrandbits(64):016x}"
        median_s = choose.choices(RUN_TIMES_S, RUN_TIME_SHARES)[0]
        names = []
        self.finished.clear()
        for index, number in enumerate(numbers):
            run_time_s = choose.lognormvariate(0, RUN_TIME_SPREAD) * median_s
            names.append(f"{job_id}.{index}")
            task = NamedTask(
                name=names[-1], content=f"{run_time_s:.4f}", workload="r/0"
            )
            self.open.add(number)
            self._connection.send(
                Dispatch(
                    job_id=job_id,
                    task_index=index,
                    dispatch_id=number,
                    agent_incarnation=self._incarnation,
                    service=SERVICE,
                    payload=encode_task(task),
                    start_budget_ms=1_500.0,
                    run_budget_ms=20_000.0,
                    needs=Resources(cores=2.6, memory_mb=64),
                )
            )
        return names

    def on_agent_connected(self, welcome: AgentWelcome) -> None:
        self.connected.set()

    def on_agent_message(self, agent_id: str, message: FromAgent) -> None:
        for refusal in message.refusals:
            raise RuntimeError(f"refused: {refusal.reason}")
        for result in message.results:
            self.open.discard(result.dispatch_id)
        if not self.open:
            self.finished.set()

    def on_agent_disconnected(self, agent_id: str) -> None:
        """Give up the open dispatches, which a real entry would revoke."""
        self.connected.clear()
        self.lost += len(self.open)
        self.open.clear()
        self.finished.set()

    def has_open_dispatches(self, agent_id: str) -> bool:
        return bool(self.open)

    async def _keep_alive(self) -> None:
        while True:
            await asyncio.sleep(KEEP_ALIVE_PERIOD_S)
            self._connection.keep_alive(asyncio.get_running_loop().time(), 0.0)


async def _stop_process(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(STOP_TIMEOUT_S):
        await process.wait()


def processor_time_s(pid: int) -> float:
    """Return the user and system time of a process, to the nanosecond.

    The id of the clock is that of the system call ``clock_getcpuclockid``.
    """
    return time.clock_gettime(~pid << 3 | SCHEDULER_CLOCK)


def _settings(port: int) -> str:
    return f"""
node = "agent-1"
ip = "127.0.0.1"
zone = "kochi"
seeds = ["127.0.0.1:{port + 1}"]
internal-ports = [{port}, {port + 9}]
listen-addrs = {{control = "127.0.0.1:{port + 10}"}}
fault-tolerance = {{machines = 1}}
bounds = {{hold-max-ms = 1000, grace-s = 5}}
"""


def count_events(log_path: Path) -> dict[str, int]:
    """Return the number of log lines by message."""
    lines = log_path.read_bytes().splitlines()
    events = [msgspec.json.decode(line)["message"] for line in lines]
    return {event: events.count(event) for event in sorted(set(events))}


def median(values: list[float]) -> float:
    """Return the median, or infinity without values."""
    return statistics.median(values) if values else float("inf")
