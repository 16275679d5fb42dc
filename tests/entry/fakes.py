from __future__ import annotations

import asyncio
import hashlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
import msgspec

from entry.messages import SERVICE
from entry.messages import TEAM
from entry.messages import agent_member
from entry.messages import result
from entry.messages import revocation
from verbenaplank.claims.decision import ClaimDecision
from verbenaplank.claims.decision import ClaimState
from verbenaplank.configuration.effective import EffectiveConfiguration
from verbenaplank.configuration.effective import ServiceRules
from verbenaplank.configuration.effective import TeamRules
from verbenaplank.protocol import work
from verbenaplank.protocol.membership import EvacuationList
from verbenaplank.protocol.membership import Member
from verbenaplank.routing.table import RoutingTable
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.services import WORK

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from grpclib.server import Stream

    from verbenaplank.protocol.membership import RegistrarGroup

STARTED = work.RevocationState.STARTED
REVOKED = work.RevocationState.REVOKED
ANY_PORT = Address("127.0.0.1", 0)
TOKEN_TEAM = "enrolment"
TOKEN = "three seats"
TOKEN_SHA256 = hashlib.sha256(TOKEN.encode()).hexdigest()


def configuration() -> EffectiveConfiguration:
    return EffectiveConfiguration(
        version=1,
        services={SERVICE: ServiceRules(name=SERVICE, team=TEAM, run_time_ms=1.0)},
        teams={
            TEAM: TeamRules(name=TEAM),
            TOKEN_TEAM: TeamRules(name=TOKEN_TEAM, token_sha256=TOKEN_SHA256),
        },
    )


class FakeMembership:
    """A membership whose state is set by the test."""

    def __init__(self) -> None:
        self.configuration = configuration()
        self.agents: dict[str, Member] = {}
        self.entries: dict[str, Member] = {}
        self.registrars: RegistrarGroup | None = None
        self.routing = RoutingTable()
        self.ready = True
        self.drain_ordered = False
        self.evacuations = EvacuationList()
        self.lease_since_s = float("-inf")
        self.has_left = False
        self.listeners: list[Callable[[object], None]] = []

    @asynccontextmanager
    async def open(
        self, member: Member, listener: Callable[[object], None]
    ) -> AsyncIterator[FakeMembership]:
        self.listeners.append(listener)
        self.entries[member.member_id] = member
        yield self

    def changed(self) -> None:
        for listener in self.listeners:
            listener(None)

    def join(self, *members: Member) -> None:
        self.agents.update({member.member_id: member for member in members})
        self.changed()

    async def wait_ready(self) -> None:
        return

    def lease_valid(self, now_s: float) -> bool:
        return now_s >= self.lease_since_s

    def update(self, member: Member) -> None:
        self.entries[member.member_id] = member

    async def leave(self) -> None:
        self.has_left = True


class FakeRegistrars:
    """Registrars that keep claims in memory; shared by the entries of a test."""

    def __init__(self) -> None:
        self.owners: dict[str, tuple[Member, bytes]] = {}
        self.available = True
        self.history_lost = False
        self.claims_allowed = asyncio.Event()
        self.claims_allowed.set()
        self.claims = 0
        self.changed = asyncio.Condition()

    async def wait_claims(self, count: int) -> None:
        async with self.changed:
            await self.changed.wait_for(lambda: self.claims >= count)

    async def count_claim(self) -> None:
        async with self.changed:
            self.claims += 1
            self.changed.notify_all()

    @asynccontextmanager
    async def open(self, member: Member) -> AsyncIterator[FakeClaims]:
        yield FakeClaims(self, member)


@attrs.frozen
class FakeClaims:
    registrars: FakeRegistrars
    member: Member

    def set_registrars(self, group: RegistrarGroup) -> None:
        return

    async def is_unused(self, job_id: str, timeout_s: float) -> bool:
        known = job_id in self.registrars.owners or self.registrars.history_lost
        return self.registrars.available and not known

    async def claim(
        self, job_id: str, digest: bytes, timeout_s: float
    ) -> ClaimDecision:
        await self.registrars.count_claim()
        await self.registrars.claims_allowed.wait()
        if not self.registrars.available:
            return ClaimDecision(
                state=ClaimState.UNAVAILABLE, may_have_run=self.registrars.history_lost
            )
        owner, known = self.registrars.owners.setdefault(job_id, (self.member, digest))
        if known != digest:
            return ClaimDecision(state=ClaimState.CONFLICT)
        if owner == self.member:
            return ClaimDecision(state=ClaimState.OWNED_HERE)
        return ClaimDecision(
            state=ClaimState.OWNED_ELSEWHERE,
            owner_entry_id=owner.member_id,
            owner_incarnation=owner.incarnation,
            owner_address=owner.address,
        )


class FakeAgent:
    """Serves the work stream; returns results at once or when the test says so."""

    def __init__(self, agent_id: str, *, incarnation: str = "1", slots: int = 8):
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.slots = slots
        self.automatic = True
        self.ignores_dispatches = False
        self.welcome_load: work.LoadReport | None = None
        self.received: list[work.ToAgent] = []
        self.starts: list[work.Dispatch] = []
        self.streams: dict[tuple[str, int], Stream[work.ToAgent, work.FromAgent]] = {}
        self.open_streams: list[Stream[work.ToAgent, work.FromAgent]] = []
        self.changed = asyncio.Condition()
        self.address = ANY_PORT

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[FakeAgent]:
        async with serve([WORK.create_service(self._work)], self.address) as address:
            self.address = address
            yield self

    def member(self) -> Member:
        address = str(self.address)
        return agent_member(self.agent_id, self.incarnation, self.slots, address)

    async def _work(self, stream: Stream[work.ToAgent, work.FromAgent]) -> None:
        await stream.recv_message()
        welcome = work.AgentWelcome(
            agent_id=self.agent_id, incarnation=self.incarnation, slots=self.slots
        )
        first = work.FromAgent(welcome=welcome, load=self.welcome_load)
        await stream.send_message(first)
        self.open_streams.append(stream)
        try:
            async for message in stream:
                self.received.append(message)
                await self._take(stream, message)
        finally:
            if stream in self.open_streams:
                self.open_streams.remove(stream)

    async def _take(
        self, stream: Stream[work.ToAgent, work.FromAgent], message: work.ToAgent
    ) -> None:
        dispatches = () if self.ignores_dispatches else message.dispatches
        async with self.changed:
            self.starts.extend(dispatches)
            self.streams.update({key_of(d): stream for d in dispatches})
            self.changed.notify_all()
        started = {key_of(dispatch) for dispatch in self.starts}
        revocations = tuple(
            revocation(revoke, STARTED if key_of(revoke) in started else REVOKED)
            for revoke in message.revokes
        )
        results = tuple(map(echo, dispatches)) if self.automatic else ()
        if revocations or results:
            reply = work.FromAgent(revocations=revocations, results=results)
            await stream.send_message(reply)

    async def wait_started(self, count: int) -> None:
        await self.wait_for(lambda: len(self.starts) >= count)

    async def wait_dispatched(self) -> None:
        await self.wait_for(lambda: any(m.dispatches for m in self.received))

    async def wait_revoked(self, count: int) -> None:
        await self.wait_for(lambda: sum(len(m.revokes) for m in self.received) >= count)

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with self.changed:
            await self.changed.wait_for(condition)

    async def break_streams(self) -> None:
        streams, self.open_streams = self.open_streams, []
        for stream in streams:
            await stream.cancel()

    async def finish(self, *dispatches: work.Dispatch) -> None:
        for dispatch in dispatches:
            reply = work.FromAgent(results=(echo(dispatch),))
            await self.streams[key_of(dispatch)].send_message(reply)

    async def send(self, message: work.FromAgent) -> None:
        await self.open_streams[-1].send_message(message)


def key_of(item: work.Dispatch | work.Revoke) -> tuple[str, int]:
    return item.job_id, item.dispatch_id


def echo(dispatch: work.Dispatch) -> work.TaskResult:
    output = msgspec.json.encode({"echo": msgspec.Raw(dispatch.payload)})
    return result(dispatch, output=output)
