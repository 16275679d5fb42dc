"""A fleet of real processes, its callers, and the history they leave."""

from __future__ import annotations

import asyncio
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import attrs
import httpx
from demo.__main__ import first_document
from demo.__main__ import wait_for_agents
from demo.cluster import Processes
from demo.fleet import Fleet
from demo.fleet import start_fleet

from verbenaplank.history.checker import check_history
from verbenaplank.history.event import AnswerState
from verbenaplank.history.event import Event
from verbenaplank.history.event import EventKind
from verbenaplank.history.event import event_time_s
from verbenaplank.history.json_lines import LocatedEvent
from verbenaplank.history.json_lines import read_events
from verbenaplank.outcome.failure import Run

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
    """A caller's answer; status 0 stands for a broken connection.

    A broken connection tells the caller that the request may have run.
    """

    status: int
    body: bytes

    @property
    def content(self) -> Any:
        return httpx.Response(200, content=self.body).json()


class RunningFleet:
    """A running fleet, and the events of the callers of this test."""

    def __init__(self, processes: Processes, fleet: Fleet) -> None:
        self.processes = processes
        self.fleet = fleet
        self._events: list[Event] = []

    @property
    def entries(self) -> list[str]:
        return list(self.fleet.entry_urls)

    async def submit(self, entry: str, job: dict[str, Any]) -> Answer:
        """Post a job to an entry and record request and answer."""
        payloads = tuple(_name_of(task["payload"]) for task in job["tasks"])
        self._note(EventKind.REQUESTED, job["id"], tasks=payloads)
        answer = await self._post(f"{self.fleet.entry_urls[entry]}/v1/jobs", job)
        self._note_answer(job["id"], answer)
        return answer

    def note_complete_request(self, job_id: str) -> None:
        """Record a request of one nameless task that was answered."""
        state = AnswerState.COMPLETE
        self._note(EventKind.REQUESTED, job_id, tasks=("",))
        self._note(EventKind.ANSWERED, job_id, results=("",), state=state)

    def started_tasks(self, job_id: str) -> list[int]:
        """Return the index of each start that the backend servers recorded."""
        return [
            placed.event.task_index
            for placed in self._backend_events()
            if placed.event.job_id == job_id
            and placed.event.kind is EventKind.BACKEND_STARTED
        ]

    def servers_started_on(self, job_id: str) -> set[str]:
        """Return the backend servers that started tasks of a job."""
        return {
            placed.event.process
            for placed in self._backend_events()
            if placed.event.job_id == job_id
        }

    def violations(self) -> list[Any]:
        """Check the history of callers and backend servers."""
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

    def _note_answer(self, job_id: str, answer: Answer) -> None:
        if answer.status == httpx.codes.OK:
            names = tuple(_name_of(each["echo"]) for each in answer.content["results"])
            state = AnswerState.COMPLETE
            self._note(EventKind.ANSWERED, job_id, results=names, state=state)
            return
        run = Run(answer.content["run"]) if answer.status else Run.MAY_HAVE_RUN
        state = AnswerState.FAILED
        self._note(EventKind.ANSWERED, job_id, run=run, state=state)

    def _note(self, kind: EventKind, job_id: str, **values: Any) -> None:
        event = Event(
            kind=kind, time_s=event_time_s(), process="caller", job_id=job_id, **values
        )
        self._events.append(event)


@contextmanager
def open_fleet(folder: Path) -> Iterator[RunningFleet]:
    """Start a fleet whose entries can serve, and kill what is left at the end."""
    with Processes(folder) as processes:
        fleet = start_fleet(
            processes, folder, first_document(), CONTROL_COUNT, ENTRY_COUNT, SPEEDS
        )
        running = RunningFleet(processes, fleet)
        for job_id in wait_for_agents(fleet):
            running.note_complete_request(job_id)
        yield running


def job_of(job_id: str, tasks: int, run_time_ms: int) -> dict[str, Any]:
    """Return a job whose payloads differ from each other and from other jobs'."""
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
    """Wait for a condition of running processes, and fail if it never holds."""
    end_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < end_s, "the condition did not come to hold"
        await asyncio.sleep(POLL_PERIOD_S)


def _name_of(payload: dict[str, Any]) -> str:
    return str(payload.get("name", ""))
