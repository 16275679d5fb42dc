"""Claims job identifiers for an entry at the registrars in force."""

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

if TYPE_CHECKING:
    import random
    from types import TracebackType
    from typing import Self

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.protocol.claims import ClaimReply
    from verbenaplank.protocol.membership import Registrar
    from verbenaplank.protocol.membership import RegistrarGroup
    from verbenaplank.settings.common import TlsSettings


class ClaimInProgressError(RuntimeError):
    """The same identifier is being claimed by this client already."""


@attrs.frozen
class _RunningClaim:
    """A claim in progress; the event is set whenever a reply came in."""

    attempts: ClaimAttempts
    changed: asyncio.Event


class ClaimClient:
    """Claims identifiers over one long-lived stream per registrar.

    An async context manager, which owns the streams.
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
        self._links: dict[Registrar, RegistrarConnection] = {}
        self._by_id: dict[str, RegistrarConnection] = {}
        self._running: dict[str, _RunningClaim] = {}
        self._attempt_numbers = itertools.count(1)
        self._closing: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        links = list(self._links.values())
        self._links = {}
        self._by_id = {}
        await asyncio.gather(*self._closing, *(link.close() for link in links))

    def set_registrars(self, group: RegistrarGroup) -> None:
        """Put a group of registrars in force, unless a newer one is.

        Must be called with the event loop running.
        """
        if self._group is not None and group.epoch < self._group.epoch:
            return
        self._group = group
        wanted = frozenset(group.registrars)
        for registrar in self._links.keys() - wanted:
            self._close_later(self._links.pop(registrar))
        for registrar in wanted - self._links.keys():
            self._links[registrar] = self._open(registrar)
        self._by_id = {
            registrar.instance_id: link for registrar, link in self._links.items()
        }

    async def claim(
        self, job_id: str, digest: bytes, timeout_s: float
    ) -> ClaimDecision:
        """Claim an identifier and return the decision.

        Only ``OWNED_HERE`` allows a start.  After any other decision every
        grant of this claim has been or will be released.

        Raises
        ------
        ClaimInProgressError
            If a claim of the same identifier has not ended yet.
        """
        if job_id in self._running:
            raise ClaimInProgressError(job_id)
        attempts = ClaimAttempts(self._identity, job_id, digest, self._random)
        running = _RunningClaim(attempts, asyncio.Event())
        self._running[job_id] = running
        deadline_s = self._clock() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await self._until_decided(running, deadline_s)
        except TimeoutError:
            return attempts.timeout_decision()
        finally:
            del self._running[job_id]

    async def _until_decided(
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
        """Make one attempt and release it unless it won in time."""
        if self._group is None:
            return Retry(RETRY_BASE_S)
        reachable = [name for name, link in self._by_id.items() if link.connected]
        number = next(self._attempt_numbers)
        claim = running.attempts.start_attempt(number, self._group, reachable)
        recipients = [self._by_id[name] for name in running.attempts.recipients]
        for link in recipients:
            link.send_claim(claim)
        won = False
        try:
            outcome = await _outcome(running)
            won = _is_won(outcome) and self._clock() <= deadline_s
        finally:
            if not won:
                for link in recipients:
                    link.send_release(running.attempts.release_message())
        if _is_won(outcome) and not won:
            raise TimeoutError
        return outcome

    def _on_reply(self, registrar_id: str, reply: ClaimReply) -> None:
        running = self._running.get(reply.job_id)
        if running is not None:
            running.attempts.on_reply(registrar_id, reply)
            running.changed.set()

    def _on_unreachable(self, registrar_id: str) -> None:
        for running in self._running.values():
            running.attempts.on_unreachable(registrar_id)
            running.changed.set()

    def _open(self, registrar: Registrar) -> RegistrarConnection:
        link = RegistrarConnection(
            registrar, self._tls, self._random, self._on_reply, self._on_unreachable
        )
        link.open()
        return link

    def _close_later(self, link: RegistrarConnection) -> None:
        closing = asyncio.ensure_future(link.close())
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)


async def _outcome(running: _RunningClaim) -> ClaimDecision | Retry:
    while (outcome := running.attempts.outcome()) is None:
        running.changed.clear()
        await running.changed.wait()
    return outcome


def _is_won(outcome: ClaimDecision | Retry) -> bool:
    return isinstance(outcome, ClaimDecision) and outcome.state is ClaimState.OWNED_HERE
