from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from entry.fake_cluster import LIMITS
from entry.fake_cluster import job

if TYPE_CHECKING:
    import pytest

    from entry.fake_cluster import FakeCluster


async def test_drain_under_load_completes_every_request(cluster: FakeCluster) -> None:
    """Two entries drain together while their jobs run and wait."""
    agent = await cluster.agent(slots=4)
    agent.automatic = False
    entries = [await cluster.entry(f"entry-{number}") for number in range(2)]
    callers = [await cluster.caller(entry) for entry in entries]
    posted = [
        asyncio.create_task(caller.post("/v1/jobs", json=job(count=6)))
        for caller in callers
        for _ in range(5)
    ]
    await agent.wait_started(1)

    drains = [asyncio.create_task(entry.drain()) for entry in entries]
    await asyncio.sleep(0)
    late = [await caller.post("/v1/jobs", json=job()) for caller in callers]
    ready = [await caller.get("/readyz") for caller in callers]
    agent.automatic = True
    await agent.finish(*agent.starts)
    answers = await asyncio.gather(*posted)
    await asyncio.gather(*drains)

    assert [answer.status_code for answer in answers] == [200] * 10
    assert {answer.json()["run"] for answer in late} == {"not_run"}
    assert {answer.status_code for answer in [*late, *ready]} == {503}
    assert len(agent.starts) == 60
    assert cluster.membership.has_left


async def test_drain_delivers_a_response_that_another_entry_waits_for(
    cluster: FakeCluster,
) -> None:
    """The owner of a job drains while another entry is attached to that job."""
    agent = await cluster.agent()
    agent.automatic = False
    owner = await cluster.entry("entry-1")
    other = await cluster.caller(await cluster.entry("entry-2"))
    body = job()
    first = asyncio.create_task(
        (await cluster.caller(owner)).post("/v1/jobs", json=body)
    )
    await agent.wait_started(3)
    second = asyncio.create_task(other.post("/v1/jobs", json=body))
    await cluster.registrars.wait_claims(2)

    drain = asyncio.create_task(owner.drain())
    await agent.finish(*agent.starts)
    await drain

    assert (await first).content == (await second).content


async def test_drain_that_times_out_fails_the_remaining_jobs(
    cluster: FakeCluster,
) -> None:
    """A task does not end within the drain timeout."""
    agent = await cluster.agent(slots=1)
    agent.automatic = False
    limits = attrs.evolve(LIMITS, drain_timeout_s=0.1)
    entry = await cluster.entry(limits=limits)
    caller = await cluster.caller(entry)
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job(count=9)))
    await agent.wait_started(1)

    await entry.drain()
    problem = (await posted).json()

    assert (problem["kind"], problem["run"]) == ("cancelled", "ran")


async def test_drain_ends_a_request_whose_claim_hangs(
    cluster: FakeCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The registrars do not answer, so the engine does not know the job yet."""
    monkeypatch.setattr("verbenaplank.entry.application.STOP_GRACE_S", 0.01)
    agent = await cluster.agent()
    entry = await cluster.entry(limits=attrs.evolve(LIMITS, drain_timeout_s=0.05))
    caller = await cluster.caller(entry)
    cluster.registrars.claims_allowed.clear()
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job()))
    await cluster.registrars.wait_claims(1)

    await entry.drain()
    problem = (await posted).json()

    assert (problem["kind"], problem["run"]) == ("outcome_unknown", "may_have_run")
    assert agent.starts == []
