from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from entry.fakes import echo
from entry.site import job
from verbenaplank.entry.agent_connection import MAX_PAYLOAD_BYTES_PER_MESSAGE
from verbenaplank.entry.agent_connection import pack_messages
from verbenaplank.protocol import work

if TYPE_CHECKING:
    from entry.site import Site


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


def test_envelopes_hold_what_is_ready_within_the_largest_message() -> None:
    third = MAX_PAYLOAD_BYTES_PER_MESSAGE // 3
    revoke = work.Revoke(dispatch_id=9, job_id="job", task_index=9)
    items = [dispatch(number, third) for number in range(7)]

    messages = list(pack_messages([revoke, *items], results_received=4))

    assert [len(message.dispatches) for message in messages] == [3, 3, 1]
    assert messages[0].revokes == (revoke,)
    assert {message.results_received for message in messages} == {4}
    assert [d for message in messages for d in message.dispatches] == items


async def test_broken_stream_is_opened_again_and_started_tasks_are_awaited(
    site: Site,
) -> None:
    agent = await site.agent()
    agent.automatic = False
    caller = await site.caller(await site.entry())
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job(count=2)))
    await agent.wait_started(2)

    await agent.break_streams()
    await agent.wait_revoked(2)
    results = tuple(echo(started) for started in agent.starts)
    await agent.say(work.FromAgent(results=results))

    assert (await posted).status_code == 200
    assert len(agent.starts) == 2


async def test_dispatch_that_never_arrived_is_revoked_and_sent_again(
    site: Site,
) -> None:
    agent = await site.agent()
    agent.deaf = True
    caller = await site.caller(await site.entry())
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job(count=2)))
    await agent.wait_dispatched()

    agent.deaf = False
    await agent.break_streams()

    assert (await posted).status_code == 200
    assert len(agent.starts) == 2


async def test_agent_that_comes_back_as_another_leaves_the_outcome_unknown(
    site: Site,
) -> None:
    agent = await site.agent()
    agent.automatic = False
    caller = await site.caller(await site.entry())
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job(count=2)))
    await agent.wait_started(2)

    agent.incarnation = "2"
    site.membership.join(agent.member())
    await agent.break_streams()
    problem = (await posted).json()

    assert (problem["kind"], problem["run"]) == ("outcome_unknown", "may_have_run")
    assert len(agent.starts) == 2


async def test_streams_that_an_entry_has_ended_are_not_broken_again(
    site: Site,
) -> None:
    agent = await site.agent()
    async with AsyncExitStack() as first:
        entry = await site.entry()
        first.push_async_exit(entry)
        async with asyncio.timeout(10):
            while not agent.open_streams:  # noqa: ASYNC110
                await asyncio.sleep(0)
    async with asyncio.timeout(10):
        while agent.open_streams:  # noqa: ASYNC110
            await asyncio.sleep(0)

    await agent.break_streams()


async def test_draining_agent_hears_at_once_which_results_arrived(site: Site) -> None:
    agent = await site.agent()
    caller = await site.caller(await site.entry())
    assert (await caller.post("/v1/jobs", json=job(count=3))).status_code == 200

    await agent.say(
        work.FromAgent(load=work.LoadReport(running=0, queued=0, draining=True))
    )
    await agent.wait_for(lambda: agent.received[-1].results_received == 3)
    refused = asyncio.create_task(caller.post("/v1/jobs", json=job(deadline_ms=60)))

    assert (await refused).json()["run"] == "not_run"
    assert len(agent.starts) == 3
