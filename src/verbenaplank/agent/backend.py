"""Runs tasks on the backend server over a bounded pool of connections."""

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
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from verbenaplank.settings.agent import BackendServerSettings

CONNECT_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 2.0
MAX_ERROR_CHARACTERS = 2_048


class BackendServerDownError(Exception):
    """No connection to the backend server could be opened."""


@attrs.frozen
class RunReport:
    """How a run ended; ``output`` is JSON text."""

    outcome: TaskOutcome
    output: bytes = b""
    error: str = ""


class Backend(Protocol):
    """What runs the tasks of one agent."""

    @property
    def can_stop(self) -> bool:
        """Whether a run can be stopped."""

    async def connect(self) -> object:
        """Return what one run needs; hand it to :meth:`run`.

        Raises
        ------
        BackendServerDownError
            If the backend server cannot be reached.
        """

    def release(self, connection: Any) -> None:
        """Take back what :meth:`connect` returned."""

    async def run(
        self,
        connection: Any,
        task_id: str,
        service: str,
        payload: bytes,
        timeout_s: float,
    ) -> RunReport:
        """Run a task once; return when it surely runs no longer."""

    async def stop(self, task_id: str) -> None:
        """Ask that a run is stopped."""


class BackendClient:
    """Keeps connections to the backend server; an async context manager."""

    def __init__(self, settings: BackendServerSettings) -> None:
        self._settings = settings
        self._idle: list[Connection] = []
        self._free = asyncio.Semaphore(settings.connections)
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
        """Whether the backend server offers to stop a run."""
        return bool(self._settings.stop_path)

    async def connect(self) -> Connection:
        """Return a connection for one run; hand it to :meth:`run`.

        Raises
        ------
        BackendServerDownError
            If the backend server cannot be reached.
        """
        await self._free.acquire()
        try:
            return self._reuse() or await self._open()
        except BaseException:
            self._free.release()
            raise

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool."""
        self._free.release()
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
    ) -> RunReport:
        """Run a task once; it is never sent a second time."""
        path = self._settings.run_path.replace("{service}", service)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await connection.post(path, payload, {"Task-Id": task_id})
        except TimeoutError:
            return RunReport(TaskOutcome.TIMED_OUT, error="the run budget is spent")
        except BackendServerError as error:
            return RunReport(TaskOutcome.CONNECTION_LOST, error=str(error))
        return self._report(answer)

    async def stop(self, task_id: str) -> None:
        """Ask the backend server to stop a run; a failure changes nothing."""
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

    def _reuse(self) -> Connection | None:
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

    def _report(self, answer: HttpResponse) -> RunReport:
        if not 200 <= answer.status < 300:
            text = answer.body.decode(errors="replace")[:MAX_ERROR_CHARACTERS]
            return RunReport(TaskOutcome.FAILED, error=f"{answer.status}: {text}")
        try:
            self._decoder.decode(answer.body)
        except msgspec.MsgspecError:
            return RunReport(TaskOutcome.FAILED, error="the answer is not JSON")
        return RunReport(TaskOutcome.SUCCEEDED, output=answer.body)
