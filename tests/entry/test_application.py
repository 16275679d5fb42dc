from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from entry.fake_cluster import job
from entry.fakes import configuration
from entry.messages import TEAM
from verbenaplank.clock.sources import non_decreasing
from verbenaplank.configuration.effective import TeamRules
from verbenaplank.history.event import Event
from verbenaplank.history.event import EventKind

if TYPE_CHECKING:
    from entry.fake_cluster import FakeCluster


async def test_job_response_holds_all_results_in_order(cluster: FakeCluster) -> None:
    """A job of many tasks is spread over agents with different numbers of slots."""
    agents = [await cluster.agent("agent-1"), await cluster.agent("agent-2", slots=2)]
    caller = await cluster.caller(await cluster.entry())
    body = job(350)

    response = await caller.post("/v1/jobs", json=body)

    assert response.status_code == 200
    assert response.json() == {
        "id": body["id"],
        "state": "complete",
        "results": [{"echo": {"round": index}} for index in range(350)],
    }
    assert sum(len(agent.starts) for agent in agents) == 350
    assert all(agent.starts for agent in agents)


async def test_quota_is_released_when_a_request_has_ended(cluster: FakeCluster) -> None:
    """If a request kept its quota, the next job of its team would be rejected."""
    await cluster.agent()
    rules = TeamRules(name=TEAM, max_in_progress=3)
    cluster.membership.configuration = attrs.evolve(
        configuration(), teams={TEAM: rules}
    )
    caller = await cluster.caller(await cluster.entry())

    accepted = [await caller.post("/v1/jobs", json=job(3)) for _ in range(3)]
    refused = await caller.post("/v1/jobs", json=job(4))

    assert [response.status_code for response in accepted] == [200] * 3
    assert refused.status_code == 429
    assert refused.json()["run"] == "not_run"
    assert int(refused.headers["retry-after"]) >= 1


async def test_configuration_change_takes_effect_immediately(
    cluster: FakeCluster,
) -> None:
    """An operator drains a backend server and removes a service at run time."""
    agent = await cluster.agent()
    caller = await cluster.caller(await cluster.entry())
    cluster.membership.configuration = attrs.evolve(
        configuration(), drained_backend_servers=frozenset({agent.agent_id})
    )
    cluster.membership.changed()

    drained = await caller.post("/v1/jobs", json=job(deadline_ms=50))
    cluster.membership.configuration = attrs.evolve(configuration(), services={})
    unknown = await caller.post("/v1/jobs", json=job())

    assert drained.json()["run"] == unknown.json()["run"] == "not_run"
    assert unknown.json()["kind"] == "unknown_service"
    assert agent.starts == []


async def test_each_dispatch_is_recorded_and_metrics_are_served(
    cluster: FakeCluster,
) -> None:
    """Each dispatch must yield one event; the metrics must keep their media type."""
    agent = await cluster.agent()
    events: list[Event] = []
    media_type = "text/plain; version=1.0.0; charset=utf-8"
    entry = await cluster.entry(
        record=events.append, metrics=lambda: (b"x 1", media_type)
    )
    caller = await cluster.caller(entry)

    body = job(3)
    await caller.post("/v1/jobs", json=body)
    metrics = await caller.get("/metrics")

    assert [event.task_index for event in events] == [0, 1, 2]
    assert {(event.kind, event.job_id, event.detail) for event in events} == {
        (EventKind.DISPATCHED, body["id"], agent.agent_id)
    }
    assert (metrics.content, metrics.headers["content-type"]) == (b"x 1", media_type)


def test_wall_clock_never_goes_back() -> None:
    """The system clock is set back, so an expired id would look valid again."""
    times_ms = iter([5, 3, 9])
    clock = non_decreasing(lambda: next(times_ms))

    assert [clock(), clock(), clock()] == [5, 5, 9]
