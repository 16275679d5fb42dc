"""Connections to one backend server, each of which carries one call at a time."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from verbenaplank.agent.connection import BackendServerError
from verbenaplank.agent.connection import Connection
from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import RestartFoundError
from verbenaplank.agent.lease_protocol import UnreachableError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Mapping

    from verbenaplank.agent.connection import HttpResponse
    from verbenaplank.rpc.address import Address

CONNECT_TIMEOUT_S = 0.2
"""Longest time to open a connection and to learn which incarnation is there."""

SLOW_CALL_S = 0.02
"""A call without a response for this long is probably lost, and lets another begin."""


class ConnectionPool:
    """Carries out calls, each on a connection that no other call uses meanwhile.

    A backend server may start again at its address and under its id.  A connection that
    was opened meanwhile, or whose opening is answered late, leads to the next
    incarnation, which would carry out what was meant for the one before.  So no call is
    sent on a connection before its other side has told which incarnation it is.

    Parameters
    ----------
    introduction
        Returns path and body of the first request on each connection, which must have
        no effect on another incarnation.
    check
        Raises :class:`BackendRestartedError` if the response to it comes from another
        incarnation, and :class:`CallFailedError` if it does not tell.
    headers
        Header fields of all requests.
    calls
        Number of calls at a time; further ones wait for their turn.
    slow_calls
        Number of calls that may be in progress besides these, because they have had
        no response for ``SLOW_CALL_S``.
    """

    def __init__(
        self,
        address: Address,
        introduction: Callable[[], tuple[str, bytes]],
        check: Callable[[HttpResponse], None],
        headers: Mapping[str, str],
        calls: int,
        slow_calls: int = 0,
    ) -> None:
        self._address = address
        self._introduction = introduction
        self._check = check
        self._headers = headers
        self._turns = asyncio.Semaphore(calls)
        self._slow_calls_left = slow_calls
        self._idle: list[Connection] = []
        self._is_closed = False

    async def post(self, path: str, payload: bytes, timeout_s: float) -> HttpResponse:
        """Send one POST request once its turn has come, and return the response.

        Parameters
        ----------
        timeout_s
            Longest time for the request and the response, in seconds; the wait for the
            turn and the opening of a connection do not count.

        Raises
        ------
        RestartFoundError
            If another incarnation answers on a new connection; the request was not sent
            then.
        NotSentError
            If the request was not sent.
        CallFailedError
            If no response came; the request may have been carried out.
        """
        async with self._turn():
            connection = await self._connect()
            try:
                async with asyncio.timeout(timeout_s):
                    response = await connection.post(path, payload, self._headers)
            except (OSError, BackendServerError) as error:
                connection.reset()
                message = f"request to {path} failed: {error!r}"
                raise CallFailedError(message) from error
            except BaseException:
                connection.reset()
                raise
            if self._is_closed:
                connection.close()
            else:
                self._idle.append(connection)
            return response

    def close(self) -> None:
        """Close the connections, each once no call uses it any more."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    async def _connect(self) -> Connection:
        """Return an idle connection, or open one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await self._open()
        except TimeoutError as error:
            raise UnreachableError("no connection was opened in time") from error
        except OSError as error:
            raise NotSentError(f"no connection was opened: {error!r}") from error

    async def _open(self) -> Connection:
        """Open a connection to the right incarnation."""
        connection = await Connection.open(self._address.host, self._address.port)
        path, payload = self._introduction()
        try:
            self._check(await connection.post(path, payload, self._headers))
        except BackendServerError as error:
            connection.reset()
            raise UnreachableError(f"a new connection failed: {error!r}") from error
        except BackendRestartedError as error:
            connection.reset()
            raise RestartFoundError from error
        except BaseException:
            connection.reset()
            raise
        return connection

    @asynccontextmanager
    async def _turn(self) -> AsyncIterator[None]:
        """Wait for a turn, and pass it on early if the call turns out to be slow."""
        await self._turns.acquire()
        is_slow = False

        def pass_on() -> None:
            nonlocal is_slow
            if self._slow_calls_left:
                is_slow = True
                self._slow_calls_left -= 1
                self._turns.release()

        timer = asyncio.get_running_loop().call_later(SLOW_CALL_S, pass_on)
        try:
            yield
        finally:
            timer.cancel()
            if is_slow:
                self._slow_calls_left += 1
            else:
                self._turns.release()
