from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from entry.messages import SERVICE
from entry.messages import result
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.agent.named_task import decode_task
from verbenaplank.entry.routed_jobs import RoutedJob
from verbenaplank.entry.routed_jobs import RoutedJobState
from verbenaplank.placement.task import Resources
from verbenaplank.protocol import work
from verbenaplank.routing.table import Route
from verbenaplank.routing.table import RoutedService
from verbenaplank.routing.table import RoutingTable

if TYPE_CHECKING:
    from entry.fakes import FakeAgent
    from entry.site import Site
    from verbenaplank.entry.application import EntryInstance

FAILED = work.TaskOutcome.FAILED
ROUTE = Route(
    name="r",
    host="one.example",
    path_prefix="/a/",
    service=SERVICE,
    timeout_ms=1_500,
    target_latency_ms=60,
    stretch=1.6,
    max_attempts=2,
)
TABLE = RoutingTable(
    version=3, routes=(ROUTE,), services=(RoutedService(name=SERVICE),)
)


def routed_job(key: str = "0123456789abcdef", **changes: object) -> RoutedJob:
    job = RoutedJob(
        key=key,
        route=ROUTE,
        tasks=tuple(NamedTask(name=f"{key}.{i}", content="do") for i in range(2)),
        needs=Resources(),
        estimate_s=1.0,
        caller_timeout_s=10.0,
    )
    return attrs.evolve(job, **changes)  # type: ignore[arg-type]


async def served(site: Site) -> tuple[FakeAgent, EntryInstance]:
    agent = await site.agent()
    agent.automatic = False
    site.membership.routing = TABLE
    entry = await site.entry(order_by_goal=True)
    async with asyncio.timeout(10):
        while not entry.ready_for_routed_jobs:  # noqa: ASYNC110
            await asyncio.sleep(0)
    return agent, entry


async def finish(agent: FakeAgent, outcome: work.TaskOutcome) -> None:
    for dispatch in agent.starts[-2:]:
        reply = work.FromAgent(results=(result(dispatch, outcome, b"null"),))
        await agent.streams[dispatch.job_id, dispatch.dispatch_id].send_message(reply)


async def test_job_succeeds_once_all_its_tasks_are_done(site: Site) -> None:
    agent, entry = await served(site)
    running = asyncio.create_task(entry.routed.run(routed_job()))
    await agent.wait_started(2)
    names = {decode_task(dispatch.payload).name for dispatch in agent.starts}
    assert names == {"0123456789abcdef.0", "0123456789abcdef.1"}
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    assert (await running).state is RoutedJobState.SUCCEEDED


async def test_same_id_again_joins_the_job(site: Site) -> None:
    agent, entry = await served(site)
    both = [asyncio.create_task(entry.routed.run(routed_job())) for _ in range(2)]
    await agent.wait_started(2)
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    ends = await asyncio.gather(*both)
    assert {end.state for end in ends} == {RoutedJobState.SUCCEEDED}
    assert len(agent.starts) == 2


async def test_job_that_nobody_waits_for_is_stopped(site: Site) -> None:
    agent, entry = await served(site)
    running = asyncio.create_task(entry.routed.run(routed_job()))
    await agent.wait_started(2)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    await agent.wait_revoked(2)
    async with asyncio.timeout(10):
        await entry.routed.join()


async def test_failed_attempts_use_up_the_job(site: Site) -> None:
    agent, entry = await served(site)
    running = asyncio.create_task(entry.routed.run(routed_job()))
    failed = 0
    while not running.done():
        await agent.wait_started(failed + 1)
        for dispatch in agent.starts[failed:]:
            failed += 1
            reply = work.FromAgent(results=(result(dispatch, FAILED),))
            await agent.streams[dispatch.job_id, dispatch.dispatch_id].send_message(
                reply
            )
        if failed > ROUTE.max_attempts:
            break
    assert (await running).state is RoutedJobState.FAILED


async def test_job_of_a_service_that_nobody_offers_is_refused(site: Site) -> None:
    _, entry = await served(site)
    route = attrs.evolve(ROUTE, service="none")
    end = await entry.routed.run(routed_job(route=route))
    assert end.state is RoutedJobState.REFUSED
    assert end.retry_after_s


async def test_job_that_would_wait_beyond_its_goal_is_refused_at_once(
    site: Site,
) -> None:
    agent = await site.agent(slots=1)
    agent.automatic = False
    site.membership.routing = TABLE
    entry = await site.entry(order_by_goal=True)
    async with asyncio.timeout(10):
        while not entry.ready_for_routed_jobs:  # noqa: ASYNC110
            await asyncio.sleep(0)
    needs = Resources(cores=1.0)
    first = [
        asyncio.create_task(entry.routed.run(routed_job(f"job-{number}", needs=needs)))
        for number in range(3)
    ]
    await agent.wait_started(1)
    ends = [await entry.routed.run(routed_job("last", needs=needs))]
    assert ends[0].state is RoutedJobState.REFUSED
    for task in first:
        task.cancel()
    await asyncio.gather(*first, return_exceptions=True)


async def test_entry_that_closes_finishes_its_jobs_and_takes_no_more(
    site: Site,
) -> None:
    agent, entry = await served(site)
    running = asyncio.create_task(entry.routed.run(routed_job()))
    await agent.wait_started(2)
    closing = asyncio.create_task(entry.drain_routed_jobs(0.0, 10.0))
    async with asyncio.timeout(10):
        while not entry.is_draining:  # noqa: ASYNC110
            await asyncio.sleep(0)
    assert not entry.ready_for_routed_jobs
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    assert (await running).state is RoutedJobState.SUCCEEDED
    await closing
    late = await entry.routed.run(routed_job("late"))
    assert late.state is RoutedJobState.REFUSED


async def test_entry_that_has_just_started_holds_a_job_until_it_can_run(
    site: Site,
) -> None:
    entry = await site.entry(order_by_goal=True)
    waiting = asyncio.create_task(entry.routed.wait_for_routes())
    await asyncio.sleep(0)
    assert not waiting.done()
    entry.routed.set_routing_table(TABLE)
    async with asyncio.timeout(10):
        await waiting
    running = asyncio.create_task(entry.routed.run(routed_job()))
    agent = await site.agent()
    agent.automatic = False
    await agent.wait_started(2)
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    assert (await running).state is RoutedJobState.SUCCEEDED


async def test_entry_that_closes_takes_on_what_ends_in_time(site: Site) -> None:
    agent, entry = await served(site)
    first = asyncio.create_task(entry.routed.run(routed_job()))
    await agent.wait_started(2)
    closing = asyncio.create_task(entry.drain_routed_jobs(0.0, 10.0))
    await asyncio.sleep(0)
    long = await entry.routed.run(routed_job("long", estimate_s=8.0))
    assert long.state is RoutedJobState.REFUSED
    short = asyncio.create_task(entry.routed.run(routed_job("short", estimate_s=0.1)))
    await agent.wait_started(4)
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    assert (await short).state is RoutedJobState.SUCCEEDED
    for dispatch in agent.starts[:2]:
        reply = work.FromAgent(results=(result(dispatch, output=b"null"),))
        await agent.streams[dispatch.job_id, dispatch.dispatch_id].send_message(reply)
    assert (await first).state is RoutedJobState.SUCCEEDED
    await closing


async def test_opening_entry_counts_on_workers_that_are_not_connected_yet(
    site: Site,
) -> None:
    agent = await site.agent(slots=1)
    agent.automatic = False
    for number in range(99):
        absent = attrs.evolve(agent.member(), member_id=f"absent-{number}")
        site.membership.join(attrs.evolve(absent, address="127.0.0.1:1"))
    site.membership.routing = TABLE
    entry = await site.entry(order_by_goal=True)
    needs = Resources(cores=1.0)
    jobs = [
        asyncio.create_task(entry.routed.run(routed_job(f"job-{number}", needs=needs)))
        for number in range(3)
    ]
    await agent.wait_started(1)
    jobs.append(asyncio.create_task(entry.routed.run(routed_job("last", needs=needs))))
    await asyncio.wait(jobs, timeout=0.1)
    assert not any(job.done() for job in jobs)
    for job in jobs:
        job.cancel()
    await asyncio.gather(*jobs, return_exceptions=True)
