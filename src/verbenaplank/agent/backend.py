"""Runs tasks on the backend server over HTTP with a bounded connection pool."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import attrs
import msgspec

from verbenaplank.agent.connection import BackendServerError
from verbenaplank.agent.connection import Connection
from verbenaplank.agent.connection import HttpResponse
from verbenaplank.protocol.decoding import DECODE_ERRORS
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from verbenaplank.agent.lease_holder import LeaseHolder
    from verbenaplank.settings.agent import BackendServerSettings

CONNECT_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 2.0
MAX_ERROR_CHARACTERS = 2_048


class BackendServerDownError(Exception):
    """No connection to the backend server could be opened."""


@attrs.frozen
class RunReport:
    """How a run ended.

    Attributes
    ----------
    output
        Result of a successful run as JSON text.
    error
        Description of the failure of any other run.
    """

    outcome: TaskOutcome
    output: bytes = b""
    error: str = ""


class Backend(Protocol):
    """Interface through which an agent runs its tasks on a backend server."""

    @property
    def can_stop(self) -> bool:
        """Whether the backend server can stop a run."""

    async def connect(self) -> object:
        """Return a connection to pass to :meth:`run` and then to :meth:`release`.

        Raises
        ------
        BackendServerDownError
            If the backend server cannot be reached.
        """

    def release(self, connection: Any) -> None:
        """Release a connection that :meth:`connect` returned."""

    async def run(
        self,
        connection: Any,
        task_id: str,
        service: str,
        payload: bytes,
        timeout_s: float,
        owner: LeaseHolder | None = None,
    ) -> RunReport:
        """Run a task at most once and return how the run ended.

        Whether a run that timed out or lost its connection may still be active
        depends on the implementation.

        Parameters
        ----------
        timeout_s
            Longest duration of the run, in seconds.
        owner
            The entry for which the task runs; ``None`` if the run need not end with
            its lease.
        """

    async def stop(self, task_id: str) -> None:
        """Request the stop of a run; :meth:`run` reports how the run ends."""


class BackendClient:
    """HTTP client of the backend server; an async context manager.

    At most ``settings.connections`` runs are connected at a time; idle connections
    are kept for later runs and closed on exit.
    """

    def __init__(self, settings: BackendServerSettings) -> None:
        self._settings = settings
        self._idle: list[Connection] = []
        self._connection_slots = asyncio.Semaphore(settings.connections)
        self._decoder = msgspec.json.Decoder(msgspec.Raw)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    @property
    def can_stop(self) -> bool:
        """Whether a path for stopping runs is configured."""
        return bool(self._settings.stop_path)

    async def connect(self) -> Connection:
        """Wait for a free slot in the pool and return a connection for one run.

        Raises
        ------
        BackendServerDownError
            If the backend server cannot be reached.
        """
        await self._connection_slots.acquire()
        try:
            return self._pop_idle() or await self._open()
        except BaseException:
            self._connection_slots.release()
            raise

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        self._connection_slots.release()
        if connection.reusable:
            self._idle.append(connection)
        else:
            connection.close()

    async def run(
        self,
        connection: Connection,
        task_id: str,
        service: str,
        payload: bytes,
        timeout_s: float,
        owner: LeaseHolder | None = None,
    ) -> RunReport:
        """Run a task at most once; the request is never sent a second time.

        A run that times out or loses its connection may still be active on the backend
        server.
        """
        path = self._settings.run_path.replace("{service}", service)
        try:
            async with asyncio.timeout(timeout_s):
                response = await connection.post(path, payload, {"Task-Id": task_id})
        except TimeoutError:
            return RunReport(TaskOutcome.TIMED_OUT, error="the run budget is exceeded")
        except BackendServerError as error:
            return RunReport(TaskOutcome.CONNECTION_LOST, error=str(error))
        return self._report_for_response(response)

    async def stop(self, task_id: str) -> None:
        """Ask the backend server to stop a run; failures are ignored."""
        path = self._settings.stop_path.replace("{task}", task_id)
        connection: Connection | None = None
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                connection = await self._open()
                await connection.post(path, b"{}", {"Task-Id": task_id})
        except (BackendServerDownError, BackendServerError, TimeoutError):
            return
        finally:
            if connection is not None:
                connection.close()

    def _pop_idle(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return None

    async def _open(self) -> Connection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await Connection.open(self._settings.host, self._settings.port)
        except (OSError, TimeoutError) as error:
            raise BackendServerDownError(str(error)) from error

    def _report_for_response(self, response: HttpResponse) -> RunReport:
        if not 200 <= response.status < 300:
            text = response.body.decode(errors="replace")[:MAX_ERROR_CHARACTERS]
            return RunReport(TaskOutcome.FAILED, error=f"{response.status}: {text}")
        try:
            self._decoder.decode(response.body)
        except DECODE_ERRORS:
            return RunReport(TaskOutcome.FAILED, error="the response is not JSON")
        return RunReport(TaskOutcome.SUCCEEDED, output=response.body)
