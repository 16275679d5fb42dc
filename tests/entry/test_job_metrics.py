"""An operator must see which jobs are refused, why, and where capacity is idle."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import pytest

from entry.test_routed_jobs import ROUTE
from entry.test_routed_jobs import TABLE
from entry.test_routed_jobs import finish
from entry.test_routed_jobs import routed_job
from entry.test_routed_jobs import served
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.observability.entry_metrics import register_entry_metrics
from verbenaplank.observability.metrics import Metrics
from verbenaplank.overload.lag_readiness import MAX_LEAVE_DELAY_S
from verbenaplank.overload.lag_readiness import MAX_NOT_READY_S
from verbenaplank.overload.loop_lag import MAX_LAG_S
from verbenaplank.protocol import work
from verbenaplank.settings.entry import EntryPlacement

if TYPE_CHECKING:
    from entry.fake_cluster import FakeCluster


async def test_jobs_are_counted_by_route_priority_and_cause(
    cluster: FakeCluster,
) -> None:
    """A total alone does not show which route is refused, and what to change."""
    agent, entry = await served(cluster)
    metrics = Metrics("entry-1", "Kochi")
    register_entry_metrics(metrics, entry)
    for key, late_s in (("good", 0.0), ("late", 10.0)):
        job = routed_job(key)
        received_s = entry.routed.now_s - late_s
        job = attrs.evolve(job, caller_timeout_s=100.0, estimate_s=job.estimate_s * 3)
        started = len(agent.starts)
        running = asyncio.create_task(entry.routed.run(job, received_s))
        await agent.wait_started(started + 2)
        await finish(agent, work.TaskOutcome.SUCCEEDED)
        await running
    low = attrs.evolve(ROUTE, name="low", priority=2, service="none")
    await entry.routed.run(routed_job("refused", route=low))
    text = metrics.render()[0].decode()
    metrics.close()
    served_name = "verbenaplank_entry_jobs_served_total"
    assert f'{served_name}{{answered="within_goal",priority="0",route="r"}} 1.0' in text
    assert f'{served_name}{{answered="late",priority="0",route="r"}} 1.0' in text
    refused = 'jobs_refused_total{cause="no_server",priority="2",route="low"} 1.0'
    assert refused in text
    assert 'verbenaplank_entry_cores{data_centre="Kochi",state="idle"}' in text


async def test_job_in_progress_is_not_refused_for_lag(cluster: FakeCluster) -> None:
    """Its caller sends it again while the entry lags; it would count as refused."""
    agent, entry = await served(cluster)
    running = asyncio.create_task(entry.routed.run(routed_job("known")))
    await agent.wait_started(2)
    for _ in range(3):
        entry.routed.loop_lag.record(2 * MAX_LAG_S)
    assert entry.routed.refusal_for_lag(ROUTE, "known") is None
    assert entry.routed.refusal_for_lag(ROUTE, "new") is not None
    refused = list(entry.job_counts.refused())
    assert refused == [({"route": "r", "priority": "0", "cause": "event_loop"}, 1)]
    await finish(agent, work.TaskOutcome.SUCCEEDED)
    await running


@pytest.mark.parametrize("stretch", [1.6, 3.0])
async def test_lagging_entry_reports_not_ready_where_a_route_weighs_waits(
    cluster: FakeCluster, stretch: float
) -> None:
    """Callers kept their connections to the busiest entry."""
    await cluster.agent()
    route = attrs.evolve(ROUTE, stretch=stretch)
    cluster.membership.routing = attrs.evolve(TABLE, routes=(route,))
    ahead_s = 0.0
    entry = await cluster.entry(
        order_by_goal=True,
        placement=EntryPlacement(remote_factor=2.0),
        clock=lambda: monotonic_s() + ahead_s,
    )
    async with asyncio.timeout(10):
        while not entry.ready_for_routed_jobs:  # noqa: ASYNC110
            await asyncio.sleep(0)
    for _ in range(3):
        entry.routed.loop_lag.record(2 * MAX_LAG_S)
    assert entry.ready_for_routed_jobs
    ahead_s = MAX_LEAVE_DELAY_S
    assert entry.ready_for_routed_jobs is (stretch > 2.0)
    ahead_s += MAX_NOT_READY_S
    assert entry.ready_for_routed_jobs
