"""Backend server whose runs wait for the time that the payload declares.

``POST /run/{service}`` waits for the ``run_time_ms`` of its JSON payload, scaled by the
behaviour of the server, and answers ``{"echo": payload, "server": id}``.
``POST /stop/{task}`` ends a run if the server is stoppable. ``PUT /behaviour`` replaces
the behaviour.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from verbenaplank.history.event import Event
from verbenaplank.history.event import EventHook
from verbenaplank.history.event import EventKind
from verbenaplank.history.event import event_time_s
from verbenaplank.history.event import ignore_event
from verbenaplank.history.json_lines import EventWriter
from verbenaplank.standin.behaviour import Behaviour
from verbenaplank.standin.behaviour import FailureMode
from verbenaplank.standin.http_server import HttpRequest
from verbenaplank.standin.http_server import HttpResponse
from verbenaplank.standin.http_server import serve_http

if TYPE_CHECKING:
    from pathlib import Path
    from types import TracebackType
    from typing import Self

DEFAULT_SLOTS = 8
DEFAULT_RUN_TIME_MS = 100.0
TASK_ID_HEADER = "task-id"


class StandInBackendServer:
    """Serves runs over HTTP while its context is open.

    Parameters
    ----------
    server_id
        Name of this server in answers and recorded events.
    port
        Port to listen on; the system chooses one if it is 0.
    slots
        Number of runs at the same time; further ones wait.
    stoppable
        Whether ``POST /stop/{task}`` is served.
    record
        Called with an event at the start and at the end of each run.

    Attributes
    ----------
    behaviour
        Speed and failures of runs. It may be replaced at any time; the new value
        applies to runs that start later.
    port
        Port that the server listens on, once the context is entered.
    started
        Number of runs that have started.
    """

    def __init__(
        self,
        server_id: str,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        slots: int = DEFAULT_SLOTS,
        behaviour: Behaviour | None = None,
        stoppable: bool = False,
        record: EventHook = ignore_event,
    ) -> None:
        self.behaviour = behaviour or Behaviour()
        self.port = port
        self.started = 0
        self._server_id = server_id
        self._host = host
        self._slots = asyncio.Semaphore(slots)
        self._stoppable = stoppable
        self._record = record
        self._runs: dict[str, asyncio.Task[None]] = {}
        self._resources = AsyncExitStack()

    async def __aenter__(self) -> Self:
        server = serve_http(self._handle, self._host, self.port)
        self.port = await self._resources.enter_async_context(server)
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._resources.aclose()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.method == "PUT" and request.path == "/behaviour":
            return self._change_behaviour(request)
        if request.method == "POST" and request.path.startswith("/run/"):
            return await self._run(request)
        if request.method == "POST" and request.path.startswith("/stop/"):
            return self._stop(request.path.removeprefix("/stop/"))
        return _error_response(HTTPStatus.NOT_FOUND, "no such path")

    def _change_behaviour(self, request: HttpRequest) -> HttpResponse:
        try:
            self.behaviour = msgspec.json.decode(request.body, type=Behaviour)
        except msgspec.MsgspecError as error:
            return _error_response(HTTPStatus.BAD_REQUEST, str(error))
        return _json_response(HTTPStatus.OK, self.behaviour)

    async def _run(self, request: HttpRequest) -> HttpResponse:
        try:
            payload = msgspec.json.decode(request.body)
        except msgspec.MsgspecError as error:
            return _error_response(HTTPStatus.BAD_REQUEST, str(error))
        task_id = request.headers.get(TASK_ID_HEADER, "")
        async with self._slots:
            self._record_event(EventKind.BACKEND_STARTED, task_id)
            self.started += 1
            response = await self._run_in_slot(task_id, payload)
        self._record_event(EventKind.BACKEND_ENDED, task_id, str(response.status.value))
        return response

    async def _run_in_slot(self, task_id: str, payload: Any) -> HttpResponse:
        if self.behaviour.failure is FailureMode.FAIL:
            return _error_response(
                HTTPStatus.INTERNAL_SERVER_ERROR, "the server is set to fail every run"
            )
        run = asyncio.ensure_future(self._wait(_declared_run_time_ms(payload)))
        self._runs[task_id] = run
        try:
            await asyncio.wait((run,))
        finally:
            run.cancel()
            self._runs.pop(task_id, None)
        if run.cancelled():
            return _error_response(HTTPStatus.GONE, "the run was stopped")
        return _json_response(
            HTTPStatus.OK, {"echo": payload, "server": self._server_id}
        )

    async def _wait(self, declared_ms: float) -> None:
        if self.behaviour.failure is FailureMode.STALL:
            await asyncio.Event().wait()
        await asyncio.sleep(self.behaviour.run_time_s(declared_ms))

    def _stop(self, task_id: str) -> HttpResponse:
        run = self._runs.get(task_id)
        if not self._stoppable or run is None:
            return _error_response(HTTPStatus.NOT_FOUND, "no such run")
        run.cancel()
        return _json_response(HTTPStatus.OK, {"stopped": task_id})

    def _record_event(self, kind: EventKind, task_id: str, detail: str = "") -> None:
        job_id, task_index, attempt = _parse_task_id(task_id)
        event = Event(
            kind=kind,
            time_s=event_time_s(),
            process=self._server_id,
            job_id=job_id,
            task_index=task_index,
            attempt=attempt,
            detail=detail,
        )
        self._record(event)


def _parse_task_id(task_id: str) -> tuple[str, int, int]:
    job_id, _, rest = task_id.partition("/")
    index, _, attempt = rest.partition("/")
    if not index.isdecimal() or not attempt.isdecimal():
        return task_id, -1, 1
    return job_id, int(index), int(attempt)


def _declared_run_time_ms(payload: Any) -> float:
    if not isinstance(payload, dict):
        return DEFAULT_RUN_TIME_MS
    declared = payload.get("run_time_ms", DEFAULT_RUN_TIME_MS)
    return float(declared) if isinstance(declared, int | float) else 0.0


def _json_response(status: HTTPStatus, value: Any) -> HttpResponse:
    return HttpResponse(status, msgspec.json.encode(value))


def _error_response(status: HTTPStatus, text: str) -> HttpResponse:
    return _json_response(status, {"error": text})


async def run_backend_server(
    server_id: str,
    port: int,
    slots: int,
    behaviour: Behaviour,
    stoppable: bool,
    history_path: Path | None,
) -> None:
    """Run a server until cancelled; print its id and port as JSON once it listens.

    Parameters
    ----------
    history_path
        File that events are appended to, or ``None``.

    Raises
    ------
    OSError
        If the port cannot be listened on or the file cannot be opened.
    """
    async with AsyncExitStack() as resources:
        record: EventHook = ignore_event
        if history_path is not None:
            record = resources.enter_context(EventWriter(history_path)).write
        server = StandInBackendServer(
            server_id,
            port=port,
            slots=slots,
            behaviour=behaviour,
            stoppable=stoppable,
            record=record,
        )
        await resources.enter_async_context(server)
        print(f'{{"server": "{server_id}", "port": {server.port}}}', flush=True)
        await asyncio.Event().wait()


def main() -> None:
    """Run a stand-in backend server from the command line."""
    from verbenaplank.standin.command import application

    application()


if __name__ == "__main__":
    main()
