from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs

from entry.messages import agent_member
from verbenaplank.entry import routed_cancels
from verbenaplank.entry.peer_service import PeerService
from verbenaplank.entry.registry import RequestRegistry
from verbenaplank.entry.routed_cancels import CancelState
from verbenaplank.entry.routed_cancels import RoutedCancels
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import pytest

    from verbenaplank.protocol.membership import Member

JOB = ("r", "job-1")
NOBODY = "127.0.0.1:1"


@attrs.define
class OtherEntry:
    """Another entry, with the jobs that it runs and the calls that it got."""

    jobs: set[tuple[str, str]]
    cancels: list[tuple[str, str]] = attrs.field(factory=list)
    address: str = ""

    def cancel(self, route: str, key: str) -> bool:
        self.cancels.append((route, key))
        return (route, key) in self.jobs

    def member(self) -> Member:
        return agent_member(self.address, address=self.address)


class Silent(OtherEntry):
    """An entry that is frozen: it accepts connections and answers nothing."""


@asynccontextmanager
async def cancels_to(*others: OtherEntry) -> AsyncIterator[RoutedCancels]:
    async with AsyncExitStack() as stack:
        for other in others:
            if other.address:
                continue
            if isinstance(other, Silent):
                server = await asyncio.start_server(_stay_silent, "127.0.0.1", 0)
                other.address = "{}:{}".format(*server.sockets[0].getsockname())
                stack.callback(server.close)
                continue
            registry = RequestRegistry(max_records=1, max_response_bytes=1)
            service = PeerService(registry, lambda _: False, other.cancel)
            serving = serve(service.services(), Address("127.0.0.1", 0))
            other.address = str(await stack.enter_async_context(serving))
        members = [other.member() for other in others]
        yield await stack.enter_async_context(RoutedCancels(lambda: members, None))


async def _stay_silent(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while await reader.read(1_024):
        pass
    writer.close()


async def test_cancel_reaches_the_entry_that_runs_the_job() -> None:
    """A cancel at another entry was answered 410, and the job's tasks ran on."""
    others = OtherEntry({JOB}), OtherEntry(set())
    async with cancels_to(*others) as cancels:
        assert await cancels.cancel(*JOB) is CancelState.CANCELLED
    assert [other.cancels for other in others] == [[JOB], [JOB]]


async def test_job_that_no_entry_runs_is_unknown() -> None:
    """The address that refuses connections belongs to an entry that has ended."""
    ended = OtherEntry(set(), address=NOBODY)
    async with cancels_to(OtherEntry(set()), ended) as cancels:
        assert await cancels.cancel(*JOB) is CancelState.UNKNOWN_JOB


async def test_entry_that_does_not_answer_leaves_the_cancel_uncertain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It must not be said that no such job exists while a frozen entry may run it."""
    monkeypatch.setattr(routed_cancels, "CALL_TIMEOUT_S", 0.1)
    async with cancels_to(OtherEntry(set()), Silent(set())) as cancels:
        assert await cancels.cancel(*JOB) is CancelState.UNCERTAIN
    async with cancels_to(OtherEntry({JOB}), Silent(set())) as cancels:
        assert await cancels.cancel(*JOB) is CancelState.CANCELLED


async def test_wave_of_cancels_costs_few_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each cancel would otherwise cost a connection to each other entry."""
    other = OtherEntry({("r", "300")})
    calls = 0
    call = routed_cancels._CancelSender._call

    async def counted(*arguments: object) -> object:
        nonlocal calls
        calls += 1
        return await call(*arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(routed_cancels._CancelSender, "_call", counted)
    async with cancels_to(other) as cancels:
        keys = [str(number % 600) for number in range(1_200)]
        states = await asyncio.gather(*(cancels.cancel("r", key) for key in keys))
    found = {
        key for key, state in zip(keys, states, strict=True) if state == "cancelled"
    }
    assert found == {"300"}
    assert len(other.cancels) == 600
    assert calls <= 3


async def test_cancels_beyond_the_limit_are_uncertain_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(routed_cancels, "MAX_WAITING_JOBS", 2)
    monkeypatch.setattr(routed_cancels, "CALL_TIMEOUT_S", 10.0)
    async with cancels_to(Silent(set())) as cancels:
        first = [asyncio.create_task(cancels.cancel("r", key)) for key in "ab"]
        await asyncio.sleep(0)
        state = await asyncio.wait_for(cancels.cancel("r", "c"), 1.0)
        assert state is CancelState.UNCERTAIN
    assert set(await asyncio.gather(*first)) == {CancelState.UNCERTAIN}
