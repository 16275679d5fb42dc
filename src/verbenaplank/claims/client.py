"""Client with which an entry claims job identifiers at the registrars."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs

from verbenaplank.claims.claimant import RETRY_BASE_S
from verbenaplank.claims.claimant import ClaimantIdentity
from verbenaplank.claims.claimant import ClaimAttempts
from verbenaplank.claims.claimant import Retry
from verbenaplank.claims.connection import RegistrarConnection
from verbenaplank.claims.decision import ClaimDecision
from verbenaplank.claims.decision import ClaimState
from verbenaplank.claims.lookup import LookupState
from verbenaplank.protocol.claims import Lookup

if TYPE_CHECKING:
    import random
    from types import TracebackType
    from typing import Self

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.protocol.claims import ClaimReply
    from verbenaplank.protocol.claims import LookupReply
    from verbenaplank.protocol.membership import Registrar
    from verbenaplank.protocol.membership import RegistrarGroup
    from verbenaplank.settings.common import TlsSettings


MAX_LOOKUPS = 256
"""Limit of lookups in progress, so that refusals under overload stay cheap."""


class ClaimInProgressError(RuntimeError):
    """The client is already claiming the same identifier."""


@attrs.frozen
class _RunningClaim:
    """A claim in progress; the event is set by replies and broken streams."""

    attempts: ClaimAttempts
    changed: asyncio.Event


@attrs.frozen
class _RunningLookup:
    """A lookup in progress; the event is set by replies and broken streams."""

    state: LookupState
    changed: asyncio.Event


class ClaimClient:
    """Claims identifiers over one long-lived stream to each registrar.

    It is an async context manager, which closes the streams on exit.

    Parameters
    ----------
    owner_address
        ``host:port`` at which other entries reach this one.
    random
        Random numbers for the delays before retries and reconnections.
    """

    def __init__(
        self,
        entry_id: str,
        entry_incarnation: str,
        owner_address: str,
        tls: TlsSettings | None,
        clock: MonotonicClock,
        random: random.Random,
    ) -> None:
        self._identity = ClaimantIdentity(
            entry_id=entry_id, incarnation=entry_incarnation, address=owner_address
        )
        self._tls = tls
        self._clock = clock
        self._random = random
        self._group: RegistrarGroup | None = None
        self._connections: dict[Registrar, RegistrarConnection] = {}
        self._connections_by_id: dict[str, RegistrarConnection] = {}
        self._running: dict[str, _RunningClaim] = {}
        self._attempt_numbers = itertools.count(1)
        self._lookups: dict[int, _RunningLookup] = {}
        self._lookup_numbers = itertools.count(1)
        self._closing: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        connections = list(self._connections.values())
        self._connections = {}
        self._connections_by_id = {}
        await asyncio.gather(
            *self._closing, *(connection.close() for connection in connections)
        )

    def set_registrars(self, group: RegistrarGroup) -> None:
        """Set the registrar group in force, unless a newer one is already set.

        It opens and closes streams, so the event loop must be running.
        """
        if self._group is not None and group.epoch < self._group.epoch:
            return
        self._group = group
        wanted = frozenset(group.registrars)
        for registrar in self._connections.keys() - wanted:
            self._close_in_background(self._connections.pop(registrar))
        for registrar in wanted - self._connections.keys():
            self._connections[registrar] = self._open_connection(registrar)
        self._connections_by_id = {
            registrar.instance_id: connection
            for registrar, connection in self._connections.items()
        }

    async def claim(
        self, job_id: str, digest: bytes, timeout_s: float
    ) -> ClaimDecision:
        """Claim an identifier and return the decision.

        Only ``OWNED_HERE`` permits the entry to start tasks.  After any other
        decision, all grants of this claim have been or will be released.

        Parameters
        ----------
        digest
            Digest of the request's content.
        timeout_s
            Longest duration of the claim, in seconds.

        Raises
        ------
        ClaimInProgressError
            If an earlier claim of the same identifier has not ended yet.
        """
        if job_id in self._running:
            raise ClaimInProgressError(job_id)
        attempts = ClaimAttempts(self._identity, job_id, digest, self._random)
        running = _RunningClaim(attempts, asyncio.Event())
        self._running[job_id] = running
        deadline_s = self._clock() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await self._attempt_until_decided(running, deadline_s)
        except TimeoutError:
            return attempts.timeout_decision()
        finally:
            del self._running[job_id]

    async def is_unused(self, job_id: str, timeout_s: float) -> bool:
        """Return whether no entry has ever owned an identifier, as far as is known.

        It is not known if a majority of the registrars does not answer in time, or if
        ``MAX_LOOKUPS`` others are in progress.
        """
        if self._group is None or len(self._lookups) >= MAX_LOOKUPS:
            return False
        connected = {
            name: connection
            for name, connection in self._connections_by_id.items()
            if connection.connected
        }
        lookup = Lookup(
            job_id=job_id, number=next(self._lookup_numbers), epoch=self._group.epoch
        )
        state = LookupState(self._connections_by_id.keys(), connected.keys())
        running = self._lookups[lookup.number] = _RunningLookup(state, asyncio.Event())
        for connection in connected.values():
            connection.send_lookup(lookup)
        try:
            async with asyncio.timeout(timeout_s):
                return await _wait_for_lookup(running)
        except TimeoutError:
            return False
        finally:
            del self._lookups[lookup.number]

    async def _attempt_until_decided(
        self, running: _RunningClaim, deadline_s: float
    ) -> ClaimDecision:
        while True:
            outcome = await self._attempt(running, deadline_s)
            if isinstance(outcome, ClaimDecision):
                return outcome
            await asyncio.sleep(outcome.delay_s)

    async def _attempt(
        self, running: _RunningClaim, deadline_s: float
    ) -> ClaimDecision | Retry:
        """Make one attempt, and release it unless it is granted by the deadline.

        Raises
        ------
        TimeoutError
            If a majority granted the attempt after the deadline.
        """
        if self._group is None:
            return Retry(RETRY_BASE_S)
        reachable = [
            name
            for name, connection in self._connections_by_id.items()
            if connection.connected
        ]
        number = next(self._attempt_numbers)
        claim = running.attempts.start_attempt(number, self._group, reachable)
        recipients = [
            self._connections_by_id[name] for name in running.attempts.recipients
        ]
        for connection in recipients:
            connection.send_claim(claim)
        owned_in_time = False
        try:
            outcome = await _wait_for_outcome(running)
            owned_in_time = _is_owned(outcome) and self._clock() <= deadline_s
        finally:
            if not owned_in_time:
                for connection in recipients:
                    connection.send_release(running.attempts.release_message())
        if _is_owned(outcome) and not owned_in_time:
            raise TimeoutError
        return outcome

    def _on_reply(self, registrar_id: str, reply: ClaimReply) -> None:
        running = self._running.get(reply.job_id)
        if running is not None:
            running.attempts.on_reply(registrar_id, reply)
            running.changed.set()

    def _on_lookup_reply(self, registrar_id: str, reply: LookupReply) -> None:
        running = self._lookups.get(reply.number)
        if running is not None:
            running.state.on_reply(registrar_id, reply.verdict)
            running.changed.set()

    def _on_unreachable(self, registrar_id: str) -> None:
        for lookup in self._lookups.values():
            lookup.state.on_unreachable(registrar_id)
            lookup.changed.set()
        for running in self._running.values():
            running.attempts.on_unreachable(registrar_id)
            running.changed.set()

    def _open_connection(self, registrar: Registrar) -> RegistrarConnection:
        connection = RegistrarConnection(
            registrar,
            self._tls,
            self._random,
            self._on_reply,
            self._on_unreachable,
            self._on_lookup_reply,
        )
        connection.open()
        return connection

    def _close_in_background(self, connection: RegistrarConnection) -> None:
        closing = asyncio.ensure_future(connection.close())
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)


async def _wait_for_outcome(running: _RunningClaim) -> ClaimDecision | Retry:
    while (outcome := running.attempts.outcome()) is None:
        running.changed.clear()
        await running.changed.wait()
    return outcome


async def _wait_for_lookup(running: _RunningLookup) -> bool:
    while (outcome := running.state.outcome()) is None:
        running.changed.clear()
        await running.changed.wait()
    return outcome


def _is_owned(outcome: ClaimDecision | Retry) -> bool:
    return isinstance(outcome, ClaimDecision) and outcome.state is ClaimState.OWNED_HERE
