"""Drives running entries with a seeded trace of jobs over HTTP.

Jobs are sent at the trace's times whether or not earlier ones were answered,
and a response time counts from the time at which the trace has the job, so
that slow answers neither slow the arrivals down nor hide the wait.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import attrs
import httpx

from verbenaplank.bench.entry_counters import count_useful_and_wasted
from verbenaplank.bench.entry_counters import parse_entry_counters
from verbenaplank.bench.load_report import JobResponse
from verbenaplank.bench.load_report import LoadTestReport
from verbenaplank.bench.load_report import summarize
from verbenaplank.bench.trace import WORKLOADS
from verbenaplank.bench.trace import TracedJob
from verbenaplank.bench.trace import generate_trace
from verbenaplank.bench.trace import mean_work_s
from verbenaplank.identifiers.job_id import new_job_id

if TYPE_CHECKING:
    from collections.abc import Sequence

REQUEST_TIMEOUT_S = 60.0
MAX_CONNECTIONS = 512
MS_PER_S = 1_000.0

Progress = Callable[[int, int], None]
"""Called with the jobs answered and the jobs of the trace."""


@attrs.frozen(kw_only=True)
class LoadTestSettings:
    """What to send, and to which fleet.

    Attributes
    ----------
    load
        Offered work as a share of what the backend servers can do.
    slowness
        Slowness of each backend server: its run times over the declared ones.
    round_trip_s
        Round trip that is added to the ideal.
    service, team, token
        Sent with every job; the trace's own service and team if empty.
    """

    entry_urls: tuple[str, ...]
    workload: str = "bochas"
    load: float = 0.7
    burst_factor: float = 1.0
    length_s: float = 30.0
    seed: int = 1
    slowness: tuple[float, ...] = (1.0,)
    slots: int = 8
    round_trip_s: float = 0.001
    deadline_ms: int = 30_000
    service: str = ""
    team: str = ""
    token: str = ""


def run_load(
    settings: LoadTestSettings, progress: Progress = lambda done, total: None
) -> LoadTestReport:
    """Send the trace and return what came back.

    Raises
    ------
    httpx.HTTPError
        If an entry's counters cannot be read.
    """
    return asyncio.run(_run(settings, progress))


def generate_load_trace(settings: LoadTestSettings) -> list[TracedJob]:
    """Return the jobs that :func:`run_load` sends."""
    workload = WORKLOADS[settings.workload]
    work_per_s = sum(settings.slots / slowness for slowness in settings.slowness)
    rate_per_s = settings.load * work_per_s / mean_work_s(workload)
    third_s = settings.length_s / 3

    def rate(now_s: float) -> float:
        in_burst = third_s <= now_s < 2 * third_s
        return rate_per_s * (settings.burst_factor if in_burst else 1.0)

    peak_per_s = rate_per_s * max(1.0, settings.burst_factor)
    return generate_trace(workload, settings.seed, rate, peak_per_s, settings.length_s)


async def _run(settings: LoadTestSettings, progress: Progress) -> LoadTestReport:
    trace = generate_load_trace(settings)
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
    async with AsyncExitStack() as stack:
        clients = [
            await stack.enter_async_context(
                httpx.AsyncClient(
                    base_url=url,
                    limits=limits,
                    timeout=REQUEST_TIMEOUT_S,
                    trust_env=False,
                )
            )
            for url in settings.entry_urls
        ]
        before = await _counts(clients)
        answers = await _Sender(settings, clients, progress).send_all(trace)
        after = await _counts(clients)
    useful, wasted = count_useful_and_wasted(after - before)
    return summarize(
        answers,
        slowness_by_slot=sorted(settings.slowness * settings.slots),
        round_trip_s=settings.round_trip_s,
        length_s=settings.length_s,
        useful_messages=useful,
        wasted_messages=wasted,
        counts=after - before,
    )


async def _counts(clients: Sequence[httpx.AsyncClient]) -> Counter[str]:
    total: Counter[str] = Counter()
    for client in clients:
        response = await client.get("/metrics")
        response.raise_for_status()
        total.update(parse_entry_counters(response.text))
    return total


class _Sender:
    def __init__(
        self,
        settings: LoadTestSettings,
        clients: Sequence[httpx.AsyncClient],
        progress: Progress,
    ) -> None:
        self._settings = settings
        self._clients = clients
        self._progress = progress
        self._answers: list[JobResponse] = []

    async def send_all(self, trace: Sequence[TracedJob]) -> list[JobResponse]:
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number, job in enumerate(trace):
                due_s = started_s + job.arrival_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                client = self._clients[number % len(self._clients)]
                group.create_task(self._send(client, job, due_s, len(trace)))
        return self._answers

    async def _send(
        self, client: httpx.AsyncClient, job: TracedJob, due_s: float, total: int
    ) -> None:
        status, kind = await self._post(client, job)
        response_s = time.monotonic() - due_s
        answer = JobResponse(job=job, status=status, kind=kind, response_s=response_s)
        self._answers.append(answer)
        self._progress(len(self._answers), total)

    async def _post(self, client: httpx.AsyncClient, job: TracedJob) -> tuple[int, str]:
        token = self._settings.token
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        path = "/v1/requests" if len(job.run_times_s) == 1 else "/v1/jobs"
        try:
            response = await client.post(path, json=self._body(job), headers=headers)
        except httpx.HTTPError as error:
            return 0, type(error).__name__
        if response.status_code == httpx.codes.OK:
            return response.status_code, ""
        return response.status_code, _kind(response)

    def _body(self, job: TracedJob) -> dict[str, object]:
        payloads = [{"run_time_ms": run_s * MS_PER_S} for run_s in job.run_times_s]
        body: dict[str, object] = {
            "id": new_job_id(),
            "service": self._settings.service or job.service,
            "team": self._settings.team or job.team,
            "priority": "urgent" if job.urgent else "routine",
            "deadline_ms": self._settings.deadline_ms,
        }
        if len(payloads) == 1:
            return {**body, "payload": payloads[0]}
        return {**body, "tasks": [{"payload": payload} for payload in payloads]}


def _kind(response: httpx.Response) -> str:
    try:
        problem = response.json()
    except json.JSONDecodeError:
        return ""
    return str(problem.get("kind") or problem.get("type") or "")
