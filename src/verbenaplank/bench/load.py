"""Open-loop load generator that sends a seeded trace of jobs to entries over HTTP.

Each job is sent at its arrival time in the trace, whether or not earlier jobs
were answered. Its response time is measured from that arrival time and not from
the actual sending, so that slow answers neither delay later jobs nor hide the
time that a job had to wait.
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

ProgressCallback = Callable[[int, int], None]
"""Called with the number of answered jobs and the number of jobs of the trace."""


@attrs.frozen(kw_only=True)
class LoadTestSettings:
    """Trace to generate, and the fleet to which it is sent.

    Attributes
    ----------
    load
        Offered work as a share of the capacity of all backend servers.
    burst_factor
        Factor that applies to the load in the middle third of the trace.
    slowness
        Factor by which each backend server multiplies the run times that the
        jobs ask for.
    slots
        Number of slots of each backend server.
    round_trip_s
        Round trip that is added to the ideal response time.
    service, team, token
        Values that are sent with every job. If service or team is empty, that
        of the trace is sent; if the token is empty, none is sent.
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
    settings: LoadTestSettings, progress: ProgressCallback = lambda done, total: None
) -> LoadTestReport:
    """Send the trace to the entries and return a report of the responses.

    Raises
    ------
    httpx.HTTPError
        If the counters of an entry cannot be read.
    """
    return asyncio.run(_run(settings, progress))


def generate_load_trace(settings: LoadTestSettings) -> list[TracedJob]:
    """Generate the jobs that :func:`run_load` sends."""
    workload = WORKLOADS[settings.workload]
    work_per_s = sum(settings.slots / slowness for slowness in settings.slowness)
    rate_per_s = settings.load * work_per_s / mean_work_s(workload)
    third_s = settings.length_s / 3

    def rate(now_s: float) -> float:
        in_burst = third_s <= now_s < 2 * third_s
        return rate_per_s * (settings.burst_factor if in_burst else 1.0)

    peak_per_s = rate_per_s * max(1.0, settings.burst_factor)
    return generate_trace(workload, settings.seed, rate, peak_per_s, settings.length_s)


async def _run(
    settings: LoadTestSettings, progress: ProgressCallback
) -> LoadTestReport:
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
        before = await _read_counters(clients)
        responses = await _LoadGenerator(settings, clients, progress).send_all(trace)
        after = await _read_counters(clients)
    useful, wasted = count_useful_and_wasted(after - before)
    return summarize(
        responses,
        slowness_by_slot=sorted(settings.slowness * settings.slots),
        round_trip_s=settings.round_trip_s,
        length_s=settings.length_s,
        useful_messages=useful,
        wasted_messages=wasted,
        counts=after - before,
    )


async def _read_counters(clients: Sequence[httpx.AsyncClient]) -> Counter[str]:
    total: Counter[str] = Counter()
    for client in clients:
        response = await client.get("/metrics")
        response.raise_for_status()
        total.update(parse_entry_counters(response.text))
    return total


class _LoadGenerator:
    def __init__(
        self,
        settings: LoadTestSettings,
        clients: Sequence[httpx.AsyncClient],
        progress: ProgressCallback,
    ) -> None:
        self._settings = settings
        self._clients = clients
        self._progress = progress
        self._job_responses: list[JobResponse] = []

    async def send_all(self, trace: Sequence[TracedJob]) -> list[JobResponse]:
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number, job in enumerate(trace):
                due_s = started_s + job.arrival_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                client = self._clients[number % len(self._clients)]
                group.create_task(self._send(client, job, due_s, len(trace)))
        return self._job_responses

    async def _send(
        self, client: httpx.AsyncClient, job: TracedJob, due_s: float, total: int
    ) -> None:
        status, kind = await self._post(client, job)
        response_s = time.monotonic() - due_s
        job_response = JobResponse(
            job=job, status=status, kind=kind, response_s=response_s
        )
        self._job_responses.append(job_response)
        self._progress(len(self._job_responses), total)

    async def _post(self, client: httpx.AsyncClient, job: TracedJob) -> tuple[int, str]:
        token = self._settings.token
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        path = "/v1/requests" if len(job.run_times_s) == 1 else "/v1/jobs"
        try:
            response = await client.post(
                path, json=self._request_body(job), headers=headers
            )
        except httpx.HTTPError as error:
            return 0, type(error).__name__
        if response.status_code == httpx.codes.OK:
            return response.status_code, ""
        return response.status_code, _problem_kind(response)

    def _request_body(self, job: TracedJob) -> dict[str, object]:
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


def _problem_kind(response: httpx.Response) -> str:
    try:
        problem = response.json()
    except json.JSONDecodeError:
        return ""
    return str(problem.get("kind") or problem.get("type") or "")
