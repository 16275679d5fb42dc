from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from entry.site import LIMITS
from entry.site import job

if TYPE_CHECKING:
    import pytest

    from entry.site import Site


async def test_stop_under_load_answers_every_request_in_progress(site: Site) -> None:
    """Two entries stop together while jobs run and wait."""
    agent = await site.agent(slots=4)
    agent.automatic = False
    entries = [await site.entry(f"entry-{number}") for number in range(2)]
    callers = [await site.caller(entry) for entry in entries]
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
    assert site.membership.has_left


async def test_stop_delivers_an_answer_that_another_entry_waits_for(
    site: Site,
) -> None:
    agent = await site.agent()
    agent.automatic = False
    owner = await site.entry("entry-1")
    other = await site.caller(await site.entry("entry-2"))
    body = job()
    first = asyncio.create_task((await site.caller(owner)).post("/v1/jobs", json=body))
    await agent.wait_started(3)
    second = asyncio.create_task(other.post("/v1/jobs", json=body))
    await site.registrars.wait_claims(2)

    drain = asyncio.create_task(owner.drain())
    await agent.finish(*agent.starts)
    await drain

    assert (await first).content == (await second).content


async def test_stop_that_takes_too_long_fails_what_is_left(site: Site) -> None:
    agent = await site.agent(slots=1)
    agent.automatic = False
    limits = attrs.evolve(LIMITS, drain_timeout_s=0.1)
    entry = await site.entry(limits=limits)
    caller = await site.caller(entry)
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job(count=9)))
    await agent.wait_started(1)

    await entry.drain()
    problem = (await posted).json()

    assert (problem["kind"], problem["run"]) == ("cancelled", "ran")


async def test_stop_answers_a_request_whose_claim_does_not_end(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("verbenaplank.entry.application.STOP_GRACE_S", 0.01)
    agent = await site.agent()
    entry = await site.entry(limits=attrs.evolve(LIMITS, drain_timeout_s=0.05))
    caller = await site.caller(entry)
    site.registrars.gate.clear()
    posted = asyncio.create_task(caller.post("/v1/jobs", json=job()))
    await site.registrars.wait_claims(1)

    await entry.drain()
    problem = (await posted).json()

    assert (problem["kind"], problem["run"]) == ("outcome_unknown", "may_have_run")
    assert agent.starts == []
