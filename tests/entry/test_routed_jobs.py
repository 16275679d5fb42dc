from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from entry.messages import SERVICE
from entry.messages import result
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.agent.named_task import decode_task
from verbenaplank.entry.routed_job import RoutedJob
from verbenaplank.entry.routed_job import RoutedJobState
from verbenaplank.overload.refusal import RefusalCause
from verbenaplank.placement.task import Resources
from verbenaplank.protocol import work
from verbenaplank.routing.table import Route
from verbenaplank.routing.table import RoutedService
from verbenaplank.routing.table import RoutingTable
from verbenaplank.settings.clients import ClientSettings

if TYPE_CHECKING:
    from entry.fake_cluster import FakeCluster
    from entry.fakes import FakeAgent
    from verbenaplank.entry.application import EntryInstance

CLIENTS = ClientSettings()
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


async def served(cluster: FakeCluster) -> tuple[FakeAgent, EntryInstance]:
    agent = await cluster.agent()
    agent.automatic = False
    cluster.membership.routing = TABLE
    entry = await cluster.entry(order_by_goal=True)
    async with asyncio.timeout(10):
        while not entry.ready_for_routed_jobs:  # noqa: ASYNC110
            await asyncio.sleep(0)
    return agent, entry


async def finish(agent: FakeAgent, outcome: work.TaskOutcome) -> None:
    for dispatch in agent.starts[-2:]:
        reply = work.FromAgent(results=(result(dispatch, outcome, b"null"),))
        await agent.streams[dispatch.job_id, dispatch.dispatch_id].send_message(reply)


async def test_routed_job_succeeds_when_all_its_tasks_have_succeeded(
    cluster: FakeCluster,
) -> None:
    """The tasks must reach the backend server under their names."""
    agent, entry = await served(cluster)
    running = asyncio.create_task(entry.routed.run(routed_job()))
    await agent.wait_started(2)
    names = {decode_task(dispatch.payload).name for dispatch in agent.starts}
    assert names == {"0123456789abcdef.0", "0123456789abcdef.1"}
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    assert (await running).state is RoutedJobState.SUCCEEDED


async def test_job_is_refused_while_those_in_progress_use_up_the_memory(
    cluster: FakeCluster,
) -> None:
    """Guards against an entry that runs out of memory; the job must not have run."""
    agent, entry = await served(cluster)
    content = "x" * (CLIENTS.max_memory_bytes // 8)
    job = routed_job(
        tasks=tuple(NamedTask(name=f"t{i}", content=content) for i in "ab")
    )
    running = asyncio.create_task(entry.routed.run(job))
    await agent.wait_started(2)
    refused = await entry.routed.run(attrs.evolve(job, key="fedcba9876543210"))
    assert refused.state is RoutedJobState.REFUSED
    assert refused.cause is RefusalCause.QUEUE_FULL
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    assert (await running).state is RoutedJobState.SUCCEEDED
    again = asyncio.create_task(entry.routed.run(job))
    await agent.wait_started(4)
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    assert (await again).state is RoutedJobState.SUCCEEDED


async def test_duplicate_routed_job_joins_the_running_one(cluster: FakeCluster) -> None:
    """A caller resends a job that is still running; its tasks must run only once."""
    agent, entry = await served(cluster)
    both = [asyncio.create_task(entry.routed.run(routed_job())) for _ in range(2)]
    await agent.wait_started(2)
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    ends = await asyncio.gather(*both)
    assert {end.state for end in ends} == {RoutedJobState.SUCCEEDED}
    assert len(agent.starts) == 2


async def test_routed_job_is_cancelled_when_its_last_caller_is_gone(
    cluster: FakeCluster,
) -> None:
    """A caller disconnects; its tasks would otherwise run for nobody."""
    agent, entry = await served(cluster)
    running = asyncio.create_task(entry.routed.run(routed_job()))
    await agent.wait_started(2)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    await agent.wait_revoked(2)
    async with asyncio.timeout(10):
        await entry.routed.join()


async def test_routed_job_fails_when_its_attempts_are_used_up(
    cluster: FakeCluster,
) -> None:
    """Every run of the job's tasks fails; it must not be retried forever."""
    agent, entry = await served(cluster)
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


async def test_routed_job_of_an_unoffered_service_is_refused(
    cluster: FakeCluster,
) -> None:
    """No agent offers the service; the caller must learn when to retry."""
    _, entry = await served(cluster)
    route = attrs.evolve(ROUTE, service="none")
    end = await entry.routed.run(routed_job(route=route))
    assert end.state is RoutedJobState.REFUSED
    assert end.retry_after_s


async def test_routed_job_is_refused_if_its_wait_would_exceed_its_goal(
    cluster: FakeCluster,
) -> None:
    """One worker has a backlog; running a job that will be late wastes capacity."""
    agent = await cluster.agent(slots=1)
    agent.automatic = False
    cluster.membership.routing = TABLE
    entry = await cluster.entry(order_by_goal=True)
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


async def test_draining_entry_finishes_routed_jobs_and_then_refuses_new_ones(
    cluster: FakeCluster,
) -> None:
    """An entry drains while a job runs; a job after the drain must be refused."""
    agent, entry = await served(cluster)
    running = asyncio.create_task(entry.routed.run(routed_job()))
    await agent.wait_started(2)
    draining = asyncio.create_task(entry.drain_routed_jobs(0.0, 10.0))
    async with asyncio.timeout(10):
        while not entry.is_draining:  # noqa: ASYNC110
            await asyncio.sleep(0)
    assert not entry.ready_for_routed_jobs
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    assert (await running).state is RoutedJobState.SUCCEEDED
    await draining
    late = await entry.routed.run(routed_job("late"))
    assert late.state is RoutedJobState.REFUSED


async def test_starting_entry_holds_a_routed_job_until_it_can_run(
    cluster: FakeCluster,
) -> None:
    """A job arrives before the entry knows the routes or an agent."""
    entry = await cluster.entry(order_by_goal=True)
    waiting = asyncio.create_task(entry.routed.wait_for_routes())
    await asyncio.sleep(0)
    assert not waiting.done()
    entry.routed.set_routing_table(TABLE)
    async with asyncio.timeout(10):
        await waiting
    running = asyncio.create_task(entry.routed.run(routed_job()))
    agent = await cluster.agent()
    agent.automatic = False
    await agent.wait_started(2)
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    assert (await running).state is RoutedJobState.SUCCEEDED


async def test_draining_entry_admits_routed_jobs_that_end_in_time(
    cluster: FakeCluster,
) -> None:
    """Callers still arrive while the entry drains; only short jobs can finish."""
    agent, entry = await served(cluster)
    first = asyncio.create_task(entry.routed.run(routed_job()))
    await agent.wait_started(2)
    draining = asyncio.create_task(entry.drain_routed_jobs(0.0, 10.0))
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
    await draining


async def test_starting_entry_counts_workers_that_are_not_connected_yet(
    cluster: FakeCluster,
) -> None:
    """Most agents are still connecting; ignoring their cores would refuse jobs."""
    agent = await cluster.agent(slots=1)
    agent.automatic = False
    for number in range(99):
        absent = attrs.evolve(agent.member(), member_id=f"absent-{number}")
        cluster.membership.join(attrs.evolve(absent, address="127.0.0.1:1"))
    cluster.membership.routing = TABLE
    entry = await cluster.entry(order_by_goal=True)
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
