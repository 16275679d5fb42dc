"""The stand-in backend server, on whose behaviour other tests rely."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httpx

from verbenaplank.history.event import EventKind
from verbenaplank.standin.backend_server import StandInBackendServer
from verbenaplank.standin.behaviour import Behaviour
from verbenaplank.standin.behaviour import FailureMode

if TYPE_CHECKING:
    from verbenaplank.history.event import Event

HEADERS = {"Task-Id": "job/3/1"}


def _client(server: StandInBackendServer) -> httpx.AsyncClient:
    return httpx.AsyncClient(base_url=f"http://127.0.0.1:{server.port}")


async def test_run_echoes_the_payload_and_records_its_start() -> None:
    events: list[Event] = []
    async with (
        StandInBackendServer("b1", record=events.append) as server,
        _client(server) as client,
    ):
        payload = {"run_time_ms": 0, "n": 7}
        response = await client.post("/run/draw", json=payload, headers=HEADERS)

    assert response.json() == {"echo": payload, "server": "b1"}
    assert [(event.kind, event.job_id, event.task_index) for event in events] == [
        (EventKind.BACKEND_STARTED, "job", 3),
        (EventKind.BACKEND_ENDED, "job", 3),
    ]


async def test_behaviour_is_changed_over_http_to_fail_every_run() -> None:
    async with StandInBackendServer("b1") as server, _client(server) as client:
        await client.put("/behaviour", json={"failure": "fail"})
        response = await client.post("/run/draw", json={}, headers=HEADERS)

    assert response.status_code == 500


async def test_stalled_run_ends_when_it_is_stopped() -> None:
    started = asyncio.Event()
    stall = Behaviour(failure=FailureMode.STALL)
    async with (
        StandInBackendServer(
            "b1", behaviour=stall, stoppable=True, record=lambda _: started.set()
        ) as server,
        _client(server) as client,
    ):
        run = asyncio.ensure_future(client.post("/run/draw", json={}, headers=HEADERS))
        await started.wait()
        stopped = await client.post("/stop/job/3/1")
        response = await run

    assert stopped.status_code == 200
    assert response.status_code == 410
