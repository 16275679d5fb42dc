from __future__ import annotations

import asyncio
import logging
from contextlib import AsyncExitStack
from itertools import pairwise
from typing import TYPE_CHECKING

import attrs
import msgspec
import pytest
from agent_helpers import HELLO
from agent_helpers import LEASE
from agent_helpers import RECEIVE_TIMEOUT_S
from agent_helpers import agent_site
from agent_helpers import dispatch
from agent_helpers import receive
from grpclib.exceptions import GRPCError

from verbenaplank.agent import decision_log
from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.work_service import IDLE_REPORT_PERIOD_S
from verbenaplank.agent.work_service import MAX_ENVELOPE_OUTPUT_BYTES
from verbenaplank.agent.work_service import MAX_REPORT_DELAY_S
from verbenaplank.agent.work_service import REPORT_ADVANCE_S
from verbenaplank.agent.work_service import _split_into_envelopes
from verbenaplank.agent.work_service import report_delay_s
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.entry.renewal import SHORT_LEASE
from verbenaplank.history.event import EventKind
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import RevocationState
from verbenaplank.protocol.work import Revoke
from verbenaplank.protocol.work import Stop
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import TaskResult
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.services import WORK

if TYPE_CHECKING:
    from agent_helpers import WorkStream

    from verbenaplank.rpc.address import Address

LONG_MS = 60_000.0
KEY = EntryKey(HELLO.entry_id, HELLO.incarnation)


async def _receive_until(stream: WorkStream, field: str) -> FromAgent:
    """Receive messages until one has a value in a field, and return it."""
    while not getattr(message := await receive(stream), field):
        pass
    return message


async def test_dispatches_of_one_message_all_run_and_return_results() -> None:
    async with agent_site() as site, site.entry() as stream:
        batch = tuple(dispatch(number) for number in range(5))
        await stream.send_message(ToAgent(dispatches=batch))
        results: list[TaskResult] = []
        while len(results) < len(batch):
            results.extend((await receive(stream)).results)

    assert sorted(result.task_index for result in results) == [0, 1, 2, 3, 4]
    assert {result.outcome for result in results} == {TaskOutcome.SUCCEEDED}
    assert msgspec.json.decode(results[0].output)["server"] == "b1"
    starts = [event for event in site.events if event.kind is EventKind.STARTED]
    assert len(starts) == len(batch)


async def _send_without_hello(address: Address) -> None:
    with open_channel(address) as channel:
        async with WORK.open(channel) as stream:
            await stream.send_message(ToAgent(dispatches=(dispatch(0),)))
            await stream.recv_message()


async def test_stream_that_does_not_begin_with_a_hello_is_refused() -> None:
    """Without a hello the agent does not know whose dispatches it receives."""
    async with agent_site() as site:
        with pytest.raises(GRPCError, match="hello"):
            await _send_without_hello(site.address)


async def test_reconnected_entry_learns_by_revoking_whether_its_tasks_ran() -> None:
    """An entry that lost its stream must not run a task again that has started."""
    async with agent_site(slots=1) as site:
        async with site.entry() as stream:
            batch = (dispatch(0, run_time_ms=1.0), dispatch(1))
            await stream.send_message(ToAgent(dispatches=batch))
            await site.started.wait()
        await site.runner.wait_idle()
        async with site.entry() as stream:
            revokes = tuple(
                Revoke(dispatch_id=number, job_id="job", task_index=number)
                for number in range(2)
            )
            await stream.send_message(ToAgent(revokes=revokes))
            reply = await _receive_until(stream, "revocations")

    states = {each.task_index: each.state for each in reply.revocations}
    finished = {result.task_index for result in reply.results}
    ended = {e.task_index for e in site.events if e.kind is EventKind.ENDED}
    assert states[0] is RevocationState.FINISHED
    assert (states[1] is RevocationState.FINISHED) == (1 in ended)
    assert finished == ended


async def test_drain_informs_the_entry_and_finishes_running_tasks() -> None:
    """A draining agent refuses all dispatches but still delivers the last result."""
    async with agent_site(slots=1) as site, site.entry() as stream:
        batch = (dispatch(0, run_time_ms=50.0), dispatch(1))
        await stream.send_message(ToAgent(dispatches=batch))
        await site.started.wait()
        site.runner.drain()
        refused = await _receive_until(stream, "refusals")
        await site.runner.wait_idle()
        await site.streams.wait_all_delivered()
        finished = await _receive_until(stream, "results")
        await stream.send_message(ToAgent(dispatches=(dispatch(2),)))
        after_drain = await _receive_until(stream, "refusals")

    assert refused.load is not None
    assert refused.load.draining
    assert [each.task_index for each in refused.refusals] == [1]
    assert finished.results[0].outcome is TaskOutcome.SUCCEEDED
    assert after_drain.refusals[0].reason is RefusalReason.DRAINING


async def test_agent_that_was_frozen_beyond_the_lease_refuses_dispatches() -> None:
    """A frozen agent must not start a dispatch of an entry whose lease has expired.

    The entry may have given up on it; the agent starts dispatches again after a
    renewal.
    """
    frozen_s = 0.0

    def clock() -> float:
        return monotonic_s() + frozen_s

    async with agent_site(clock=clock) as site, site.entry() as stream:
        frozen_s = 1_000.0
        await stream.send_message(ToAgent(dispatches=(dispatch(0),)))
        refused = await _receive_until(stream, "refusals")
        await stream.send_message(ToAgent(renewal=LEASE, dispatches=(dispatch(1),)))
        accepted = await _receive_until(stream, "results")

    assert refused.refusals[0].reason is RefusalReason.LEASE_EXPIRED
    assert accepted.results[0].task_index == 1
    starts = [event for event in site.events if event.kind is EventKind.STARTED]
    assert [event.task_index for event in starts] == [1]


async def test_running_task_is_stopped_if_the_backend_server_can_stop_runs() -> None:
    async with agent_site(stoppable=True) as site, site.entry() as stream:
        await stream.send_message(ToAgent(dispatches=(dispatch(0, LONG_MS),)))
        await site.started.wait()
        stop = Stop(dispatch_id=0, job_id="job", task_index=0)
        await stream.send_message(ToAgent(stops=(stop,)))
        reply = await _receive_until(stream, "results")

    assert reply.results[0].outcome is TaskOutcome.STOPPED


async def test_acknowledged_results_are_not_retained() -> None:
    """A later revocation gets a result that is reported as lost."""
    async with agent_site() as site, site.entry() as stream:
        await stream.send_message(ToAgent(dispatches=(dispatch(0),)))
        await _receive_until(stream, "results")
        await stream.send_message(ToAgent(results_received=1))
        revoke = Revoke(dispatch_id=0, job_id="job", task_index=0)
        await stream.send_message(ToAgent(revokes=(revoke,)))
        reply = await _receive_until(stream, "revocations")

    assert reply.results[0].outcome is TaskOutcome.CONNECTION_LOST


async def test_second_stream_of_an_entry_survives_the_end_of_the_first() -> None:
    """The late end of an old stream must not disconnect the entry's new stream."""
    async with agent_site() as site, AsyncExitStack() as first_stream:
        await first_stream.enter_async_context(site.entry())
        async with site.entry() as second_stream:
            await first_stream.aclose()
            await second_stream.send_message(ToAgent(dispatches=(dispatch(0),)))
            reply = await _receive_until(second_stream, "results")

    assert reply.results[0].outcome is TaskOutcome.SUCCEEDED


def test_large_results_are_split_into_envelopes() -> None:
    """One envelope with all results would exceed the size limit of a message."""
    result = TaskResult(
        job_id="job",
        task_index=0,
        dispatch_id=0,
        outcome=TaskOutcome.SUCCEEDED,
        output=b" " * (MAX_ENVELOPE_OUTPUT_BYTES // 2),
    )

    assert [len(part) for part in _split_into_envelopes([result] * 5)] == [2, 2, 1]


def test_report_delay_grows_with_the_number_of_entries_up_to_its_limit() -> None:
    """Load reports to many entries must not take up the agent."""
    assert report_delay_s(3) < 0.02
    assert report_delay_s(14) * 1_000 > 14 * 20
    assert report_delay_s(1_000) == MAX_REPORT_DELAY_S


async def test_idle_entries_get_reports_at_intervals() -> None:
    """An entry closes a stream that is silent, and pays for each report."""
    other = attrs.evolve(HELLO, entry_id="e2")
    async with agent_site() as site, site.entry() as one, site.entry(other) as two:
        reports = asyncio.create_task(site.streams.report_periodically())
        for stream in (one, two):
            clocks_s = []
            for _ in range(3):
                message = await receive(stream)
                assert message.load is not None
                clocks_s.append(message.load.clock_s or 0.0)
            gaps_s = [later - sooner for sooner, later in pairwise(clocks_s)]
            least_s = IDLE_REPORT_PERIOD_S - REPORT_ADVANCE_S
            longest_s = SHORT_LEASE.idle_timeout_s
            assert all(least_s <= gap_s <= longest_s for gap_s in gaps_s)
        reports.cancel()


async def test_entry_whose_connection_is_lost_is_detached() -> None:
    """The connection that closes cancels the stream twice, which skipped the detach.

    Queued dispatches of the lost entry then kept their places until the lease
    expired, and replies to it piled up.
    """
    async with agent_site(slots=1) as site:
        async with site.entry() as stream:
            batch = (dispatch(0, LONG_MS), dispatch(1))
            await stream.send_message(ToAgent(dispatches=batch))
            await site.started.wait()
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while site.runner.load().queued:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


async def test_streams_of_entries_are_logged_with_the_lease_that_is_left(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against runs of a lost entry whose log lines cannot tell their lease."""
    caplog.set_level(logging.INFO, decision_log.__name__)
    async with agent_site() as site:
        async with site.entry() as stream:
            await stream.send_message(ToAgent(dispatches=(dispatch(0, LONG_MS),)))
            await site.started.wait()
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while "entry disconnected" not in caplog.messages:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    lines = {record.msg: vars(record) for record in caplog.records}
    assert lines["entry connected"]["entry"] == HELLO.entry_id
    lost = lines["entry disconnected"]
    assert lost["runs"] == 1
    assert LEASE.lease_ms - 10_000.0 < lost["lease_left_ms"] <= LEASE.lease_ms
