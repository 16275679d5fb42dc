"""Runs a fleet of real processes and checks the history of its callers and servers."""

from __future__ import annotations

import asyncio
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import attrs
import httpx
from demo.__main__ import initial_document
from demo.__main__ import wait_until_entries_serve
from demo.fleet import Fleet
from demo.fleet import start_fleet
from demo.processes import ProcessManager

from verbenaplank.history.checker import check_history
from verbenaplank.history.event import AnswerState
from verbenaplank.history.event import Event
from verbenaplank.history.event import EventKind
from verbenaplank.history.event import event_time_s
from verbenaplank.history.json_lines import LocatedEvent
from verbenaplank.history.json_lines import read_events
from verbenaplank.outcome.failure import RunState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from pathlib import Path

SPEEDS = (1.0, 1.0, 0.5)
CONTROL_COUNT = 3
ENTRY_COUNT = 2
WAIT_LIMIT_S = 30.0
POLL_PERIOD_S = 0.02
ANSWER_LIMIT_S = 40.0


@attrs.frozen
class Answer:
    """Answer to a caller; status 0 stands for a broken connection.

    After a broken connection the request may have run.
    """

    status: int
    body: bytes

    @property
    def content(self) -> Any:
        return httpx.Response(200, content=self.body).json()


class RunningFleet:
    """A running fleet and the recorded events of the test's own requests."""

    def __init__(self, processes: ProcessManager, fleet: Fleet) -> None:
        self.processes = processes
        self.fleet = fleet
        self._events: list[Event] = []

    @property
    def entries(self) -> list[str]:
        return list(self.fleet.entry_urls)

    async def submit(self, entry: str, job: dict[str, Any]) -> Answer:
        """Post a job to an entry; record the request and its answer."""
        payloads = tuple(_name_of(task["payload"]) for task in job["tasks"])
        self._record(EventKind.REQUESTED, job["id"], tasks=payloads)
        answer = await self._post(f"{self.fleet.entry_urls[entry]}/v1/jobs", job)
        self._record_answer(job["id"], answer)
        return answer

    def record_complete_request(self, job_id: str) -> None:
        """Record a completed request of one task whose payload has no name."""
        state = AnswerState.COMPLETE
        self._record(EventKind.REQUESTED, job_id, tasks=("",))
        self._record(EventKind.ANSWERED, job_id, results=("",), state=state)

    def started_tasks(self, job_id: str) -> list[int]:
        """Return the task index of each start that the backend servers recorded."""
        return [
            located.event.task_index
            for located in self._backend_events()
            if located.event.job_id == job_id
            and located.event.kind is EventKind.BACKEND_STARTED
        ]

    def servers_started_on(self, job_id: str) -> set[str]:
        """Return the backend servers that recorded events of a job."""
        return {
            located.event.process
            for located in self._backend_events()
            if located.event.job_id == job_id
        }

    def violations(self) -> list[Any]:
        """Return violations in the history of callers and backend servers."""
        callers = [
            LocatedEvent(f"caller:{line}", event)
            for line, event in enumerate(self._events, 1)
        ]
        return list(check_history([*callers, *self._backend_events()]))

    def _backend_events(self) -> list[LocatedEvent]:
        paths = (
            self.fleet.folder / f"{name}.jsonl" for name in self.fleet.backend_servers
        )
        return [event for path in paths if path.exists() for event in read_events(path)]

    async def _post(self, url: str, body: dict[str, Any]) -> Answer:
        async with httpx.AsyncClient(trust_env=False, timeout=ANSWER_LIMIT_S) as client:
            try:
                response = await client.post(url, json=body)
            except httpx.HTTPError:
                return Answer(0, b"")
        return Answer(response.status_code, response.content)

    def _record_answer(self, job_id: str, answer: Answer) -> None:
        if answer.status == httpx.codes.OK:
            names = tuple(_name_of(each["echo"]) for each in answer.content["results"])
            state = AnswerState.COMPLETE
            self._record(EventKind.ANSWERED, job_id, results=names, state=state)
            return
        run = (
            RunState(answer.content["run"]) if answer.status else RunState.MAY_HAVE_RUN
        )
        state = AnswerState.FAILED
        self._record(EventKind.ANSWERED, job_id, run=run, state=state)

    def _record(self, kind: EventKind, job_id: str, **values: Any) -> None:
        event = Event(
            kind=kind, time_s=event_time_s(), process="caller", job_id=job_id, **values
        )
        self._events.append(event)


@contextmanager
def open_fleet(folder: Path) -> Iterator[RunningFleet]:
    """Start a fleet whose entries serve; kill its processes at the end."""
    with ProcessManager(folder) as processes:
        fleet = start_fleet(
            processes, folder, initial_document(), CONTROL_COUNT, ENTRY_COUNT, SPEEDS
        )
        running = RunningFleet(processes, fleet)
        for job_id in wait_until_entries_serve(fleet):
            running.record_complete_request(job_id)
        yield running


def make_job(job_id: str, tasks: int, run_time_ms: int) -> dict[str, Any]:
    """Return a job whose payloads are unique within and across jobs."""
    return {
        "id": job_id,
        "service": "draw",
        "team": "fixtures",
        "priority": "routine",
        "deadline_ms": 30_000,
        "tasks": [
            {"payload": {"run_time_ms": run_time_ms, "name": f"{job_id}/{index}"}}
            for index in range(tasks)
        ],
    }


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after ``WAIT_LIMIT_S``."""
    end_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < end_s, "the condition did not hold in time"
        await asyncio.sleep(POLL_PERIOD_S)


def _name_of(payload: dict[str, Any]) -> str:
    return str(payload.get("name", ""))
