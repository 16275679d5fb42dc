from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from entry.fake_cluster import job
from entry.fakes import FakeAgent
from entry.fakes import echo
from verbenaplank.entry.agent_connection import MAX_PAYLOAD_BYTES_PER_MESSAGE
from verbenaplank.entry.agent_connection import pack_messages
from verbenaplank.protocol import work

if TYPE_CHECKING:
    import httpx

    from entry.fake_cluster import FakeCluster


def dispatch(number: int, size_bytes: int) -> work.Dispatch:
    return work.Dispatch(
        job_id="job",
        task_index=number,
        dispatch_id=number,
        agent_incarnation="1",
        service="draw",
        payload=b"x" * size_bytes,
        start_budget_ms=1.0,
        run_budget_ms=1.0,
    )


async def start_job(
    cluster: FakeCluster,
) -> tuple[FakeAgent, asyncio.Task[httpx.Response]]:
    """Submit a job, and return its agent once both of its tasks run there."""
    agent = await cluster.agent()
    agent.automatic = False
    caller = await cluster.caller(await cluster.entry())
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job(count=2)))
    await agent.wait_started(2)
    return agent, posted


def test_items_are_packed_into_messages_below_the_size_limit() -> None:
    """The payloads that are ready are together too large for a single message."""
    third = MAX_PAYLOAD_BYTES_PER_MESSAGE // 3
    revoke = work.Revoke(dispatch_id=9, job_id="job", task_index=9)
    items = [dispatch(number, third) for number in range(7)]

    messages = list(pack_messages([revoke, *items], results_received=4))

    assert [len(message.dispatches) for message in messages] == [3, 3, 1]
    assert messages[0].revokes == (revoke,)
    assert {message.results_received for message in messages} == {4}
    assert [d for message in messages for d in message.dispatches] == items


async def test_stream_is_reopened_and_running_tasks_are_awaited(
    cluster: FakeCluster,
) -> None:
    """A stream breaks while tasks run; they must not be dispatched again."""
    agent, posted = await start_job(cluster)

    await agent.break_streams()
    await agent.wait_revoked(2)
    results = tuple(echo(started) for started in agent.starts)
    await agent.send(work.FromAgent(results=results))

    assert (await posted).status_code == 200
    assert len(agent.starts) == 2


async def test_first_renewal_counts_from_the_clock_reading_of_the_welcome(
    cluster: FakeCluster,
) -> None:
    """A dispatch that a frozen agent reads late started under a new lease.

    The first renewal carried no clock reading, so it counted from its receipt.
    """
    agent = FakeAgent("agent-1")
    agent.welcome_load = work.LoadReport(running=0, queued=0, clock_s=12.5)
    async with agent.serve():
        cluster.membership.join(agent.member())
        entry = await cluster.entry(order_by_goal=True)
        async with asyncio.timeout(10):
            while not agent.open_streams:  # noqa: ASYNC110
                await asyncio.sleep(0)
            while not agent.received:
                entry.agent_connections.send("agent-1", dispatch(1, 1))
                await asyncio.sleep(0.01)

    renewal = agent.received[0].renewal
    assert renewal is not None
    assert renewal.heard_clock_s == 12.5


async def test_reopened_stream_renews_the_lease_of_running_tasks_at_once(
    cluster: FakeCluster,
) -> None:
    """A stream grants no lease of its own, and the former one is about to expire."""
    agent, posted = await start_job(cluster)

    await agent.break_streams()
    await agent.wait_revoked(2)
    first = next(message for message in agent.received if message.revokes)
    assert first.renewal is not None
    await agent.send(work.FromAgent(results=tuple(map(echo, agent.starts))))
    assert (await posted).status_code == 200


async def test_dispatch_lost_with_its_stream_is_revoked_and_resent(
    cluster: FakeCluster,
) -> None:
    """A stream breaks before the agent has accepted the dispatches on it."""
    agent = await cluster.agent()
    agent.ignores_dispatches = True
    caller = await cluster.caller(await cluster.entry())
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job(count=2)))
    await agent.wait_dispatched()

    agent.ignores_dispatches = False
    await agent.break_streams()

    assert (await posted).status_code == 200
    assert len(agent.starts) == 2


async def test_restart_of_an_agent_makes_the_outcome_unknown(
    cluster: FakeCluster,
) -> None:
    """A restarted agent no longer knows which tasks it had started."""
    agent, posted = await start_job(cluster)

    agent.incarnation = "2"
    cluster.membership.join(agent.member())
    await agent.break_streams()
    problem = (await posted).json()

    assert (problem["kind"], problem["run"]) == ("outcome_unknown", "may_have_run")
    assert len(agent.starts) == 2


async def test_retired_stream_is_closed_after_its_tasks_have_ended(
    cluster: FakeCluster,
) -> None:
    """An agent leaves the subset while tasks run there; they must be answered."""
    agent = await cluster.agent()
    agent.automatic = False
    entry = await cluster.entry()
    caller = await cluster.caller(entry)
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job(count=2)))
    await agent.wait_started(2)
    entry.agent_connections.retire(agent.member().member_id)
    assert agent.open_streams

    results = tuple(echo(started) for started in agent.starts)
    await agent.send(work.FromAgent(results=results))

    assert (await posted).status_code == 200
    async with asyncio.timeout(10):
        while agent.open_streams:  # noqa: ASYNC110
            await asyncio.sleep(0)


async def test_own_pause_of_an_entry_is_not_taken_for_silence_of_its_agents(
    cluster: FakeCluster,
) -> None:
    """An entry stands still for 2 s while messages of its agent wait unread.

    Closing the stream would lose their results, and the tasks would run again.
    """
    agent = await cluster.agent()
    agent.automatic = False
    entry = await cluster.entry(order_by_goal=True)
    connection = entry.agent_connections._connections[agent.member().member_id]
    async with asyncio.timeout(10):
        while connection._outbox is None:  # noqa: ASYNC110
            await asyncio.sleep(0)
    now_s = asyncio.get_running_loop().time()

    connection.keep_alive(now_s + 3.0, late_s=3.0)
    assert not connection._close_requested.is_set()
    connection.keep_alive(now_s + 3.0, late_s=0.0)
    assert connection._close_requested.is_set()


async def test_fake_agent_forgets_streams_that_the_entry_closed(
    cluster: FakeCluster,
) -> None:
    """Breaking a stream that the entry has already closed would raise an error."""
    agent = await cluster.agent()
    async with AsyncExitStack() as first:
        entry = await cluster.entry()
        first.push_async_exit(entry)
        async with asyncio.timeout(10):
            while not agent.open_streams:  # noqa: ASYNC110
                await asyncio.sleep(0)
    async with asyncio.timeout(10):
        while agent.open_streams:  # noqa: ASYNC110
            await asyncio.sleep(0)

    await agent.break_streams()


async def test_results_of_a_draining_agent_are_acknowledged_immediately(
    cluster: FakeCluster,
) -> None:
    """A draining agent exits only after its results have been acknowledged."""
    agent = await cluster.agent()
    caller = await cluster.caller(await cluster.entry())
    assert (await caller.post("/v1/jobs", json=job(count=3))).status_code == 200

    await agent.send(
        work.FromAgent(load=work.LoadReport(running=0, queued=0, draining=True))
    )
    await agent.wait_for(lambda: agent.received[-1].results_received == 3)
    refused = asyncio.create_task(caller.post("/v1/jobs", json=job(deadline_ms=60)))

    assert (await refused).json()["run"] == "not_run"
    assert len(agent.starts) == 3
