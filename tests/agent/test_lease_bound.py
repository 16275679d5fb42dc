"""Runs end in time though requests to stop them are never carried out."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
from fake_worker import LeasingBackendServer
from fake_worker import wait_until

from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.gate import Gate
from verbenaplank.agent.gate_limits import GateLimits
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.agent.leased_backend import LeasedBackend
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.agent.named_task import encode_task
from verbenaplank.agent.runner import TaskRunner
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.entry.renewal import SHORT_LEASE
from verbenaplank.history.event import ignore_event
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import Stop
from verbenaplank.rpc.outbox import Outbox

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from verbenaplank.agent.runner import ReplyOutbox

LEASE_S = 1.0
RENEWAL_S = 0.1
CALLERS_RETURN_S = 1.3
"""Time from the loss of an entry until its callers send their jobs again."""

CANCEL_S = 3.0
"""Time from the acknowledgement of a cancel until the job's tasks must have ended."""

LIMITS = GateLimits(slots=32, max_queued_tasks=64, retention_s=300.0)
STAYING = EntryKey("staying", "1")
LOST = EntryKey("lost", "1")


@attrs.frozen
class Fixture:
    server: LeasingBackendServer
    runner: TaskRunner

    def dispatch(self, key: EntryKey, number: int) -> None:
        """Dispatch a task for an entry."""
        dispatch = Dispatch(
            job_id=key.entry_id,
            task_index=number,
            dispatch_id=number + 1,
            agent_incarnation="a1",
            service="draw",
            payload=encode_task(NamedTask(name=f"{key.entry_id}.{number}", content="")),
            start_budget_ms=10_000.0,
            run_budget_ms=10_000.0,
        )
        now_s = self.runner.clock()
        self.runner.apply_effects(self.runner.gate.on_dispatch(key, dispatch, now_s))

    def runs_of(self, key: EntryKey) -> list[str]:
        """Return the active tasks of an entry."""
        return [
            run.task for run in self.server.active if run.task.startswith(key.entry_id)
        ]


@asynccontextmanager
async def runner_with_two_entries() -> AsyncIterator[Fixture]:
    """Run a task of each entry; the one that stays goes on to renew its lease."""
    server = LeasingBackendServer()
    gate = Gate("a1", frozenset({"draw"}), LIMITS)
    async with (
        LeasedBackend(server, LEASE_S, monotonic_s, lambda: None) as backend,
        TaskRunner("a", gate, backend, monotonic_s, ignore_event) as runner,
    ):
        outbox: ReplyOutbox = Outbox()
        for key in (STAYING, LOST):
            runner.attach(key, outbox)
            gate.on_renewal(key, SHORT_LEASE.lease_s, monotonic_s())
        fixture = Fixture(server, runner)
        renewing = asyncio.create_task(renew_forever(gate, STAYING))
        fixture.dispatch(STAYING, 0)
        fixture.dispatch(LOST, 0)
        await wait_until(server, lambda: len(server.active) == 2)
        yield fixture
        renewing.cancel()


async def renew_forever(gate: Gate, key: EntryKey) -> None:
    while True:
        gate.on_renewal(key, SHORT_LEASE.lease_s, monotonic_s())
        await asyncio.sleep(RENEWAL_S)


async def test_runs_of_a_killed_entry_end_before_its_callers_return() -> None:
    """Stops got no answer, and polls for another entry went on to extend the lease.

    Tasks of the killed entry ran on until a stop was carried out, beside their next
    runs elsewhere.
    """
    async with runner_with_two_entries() as fixture:
        lost_ms = fixture.server.clock_ms
        fixture.server.loses_stops = True
        await asyncio.sleep(CALLERS_RETURN_S)
        await wait_until(fixture.server, lambda: not fixture.runs_of(LOST))
        assert fixture.server.lease_until_ms - lost_ms < CALLERS_RETURN_S * 1_000


async def test_lease_is_extended_again_after_the_run_has_ended() -> None:
    """Otherwise the agent would start nothing any more after the loss of one entry."""
    async with runner_with_two_entries() as fixture:
        fixture.server.loses_stops = True
        await asyncio.sleep(CALLERS_RETURN_S)
        await wait_until(fixture.server, lambda: not fixture.server.active)
        fixture.server.loses_stops = False
        fixture.dispatch(STAYING, 1)
        await wait_until(fixture.server, lambda: bool(fixture.runs_of(STAYING)))
        started_ms = fixture.server.clock_ms
        await asyncio.sleep(1.2 * LEASE_S)
        assert fixture.runs_of(STAYING)
        assert fixture.server.lease_until_ms > started_ms + 1_000 * LEASE_S


async def test_start_that_would_prolong_a_run_that_must_end_is_not_sent() -> None:
    """A start extends the lease of all runs, as a poll does."""
    async with runner_with_two_entries() as fixture:
        fixture.server.loses_stops = True
        lost_ms = fixture.server.clock_ms
        for number in range(1, 14):
            await asyncio.sleep(CALLERS_RETURN_S / 13)
            fixture.dispatch(STAYING, number)
        await wait_until(fixture.server, lambda: not fixture.runs_of(LOST))
        while_lost = [
            until_ms
            for at_ms, until_ms in fixture.server.lease_granted_ms
            if at_ms < lost_ms + 1_000 * SHORT_LEASE.lease_s
        ]
        assert max(while_lost) - lost_ms < CALLERS_RETURN_S * 1_000


async def test_run_of_a_cancelled_job_ends_in_time_though_stops_are_lost() -> None:
    """A stop that its entry asked for was repeated, but nothing bounded its time."""
    async with runner_with_two_entries() as fixture:
        fixture.server.loses_stops = True
        stopped_ms = fixture.server.clock_ms
        keeping = asyncio.create_task(renew_forever(fixture.runner.gate, LOST))
        stop = Stop(dispatch_id=1, job_id=LOST.entry_id, task_index=0)
        fixture.runner.apply_effects(fixture.runner.gate.on_stop(LOST, stop))
        async with asyncio.timeout(CANCEL_S):
            await wait_until(fixture.server, lambda: not fixture.runs_of(LOST))
        assert fixture.server.lease_until_ms - stopped_ms < CANCEL_S * 1_000
        keeping.cancel()


async def test_run_that_the_agent_did_not_start_ends_though_stops_are_lost() -> None:
    """Polls extended its lease, though its task may run elsewhere."""
    async with runner_with_two_entries() as fixture:
        keeping = asyncio.create_task(renew_forever(fixture.runner.gate, LOST))
        fixture.server.loses_stops = True
        stray = RunId(task="elsewhere", number=1)
        listed_ms = fixture.server.clock_ms
        fixture.server.active[stray] = 10
        fixture.server.state_changed.set()
        async with asyncio.timeout(CANCEL_S):
            await wait_until(fixture.server, lambda: stray not in fixture.server.active)
        assert fixture.server.lease_until_ms - listed_ms < 1_300
        keeping.cancel()
