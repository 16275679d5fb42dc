from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from entry.site import job
from verbenaplank.entry.peer_client import OWNER_LOST
from verbenaplank.settings.common import Listen

if TYPE_CHECKING:
    import httpx

    from entry.site import Site


def failure_of(response: httpx.Response) -> tuple[str, str]:
    problem = response.json()
    return problem["kind"], problem["run"]


async def test_resubmission_to_the_owner_gets_the_same_bytes(site: Site) -> None:
    agent = await site.agent()
    caller = await site.caller(await site.entry())
    body = job()

    first, second = await asyncio.gather(
        caller.post("/v1/jobs", json=body), caller.post("/v1/jobs", json=body)
    )
    third = await caller.get(f"/v1/jobs/{body['id']}")

    assert first.status_code == 200
    assert first.content == second.content == third.content
    assert len(agent.starts) == 3


async def test_resubmission_through_another_entry_attaches_to_the_owner(
    site: Site,
) -> None:
    agent = await site.agent()
    agent.automatic = False
    owner, other = await site.two_callers()
    body = job()

    first = asyncio.create_task(owner.post("/v1/jobs", json=body))
    await agent.wait_started(3)
    second = asyncio.create_task(other.post("/v1/jobs", json=body))
    third = asyncio.create_task(other.get(f"/v1/jobs/{body['id']}"))
    await agent.finish(*agent.starts)

    assert (await first).status_code == 200
    assert (await first).content == (await second).content == (await third).content
    assert len(agent.starts) == 3


async def test_caller_hangs_up_and_comes_back_through_another_entry(
    site: Site,
) -> None:
    agent = await site.agent()
    agent.automatic = False
    owner, other = await site.two_callers()
    body = job()

    first = asyncio.create_task(owner.post("/v1/jobs", json=body))
    await agent.wait_started(3)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    await agent.finish(*agent.starts)
    back = await other.post("/v1/jobs", json=body)

    assert back.status_code == 200
    assert len(back.json()["results"]) == 3
    assert len(agent.starts) == 3


async def test_answer_larger_than_a_message_reaches_the_other_entry_whole(
    site: Site,
) -> None:
    await site.agent()
    owner, other = await site.two_callers()
    body = job(tasks=[{"payload": "x" * 15_000}] * 4)
    first = await owner.post("/v1/jobs", json=body)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("verbenaplank.entry.peer_service.MAX_PART_BYTES", 7_000)
        second = await other.post("/v1/jobs", json=body)

    assert first.content == second.content
    assert len(second.content) > 60_000


async def test_lost_owner_leaves_the_outcome_unknown(site: Site) -> None:
    agent = await site.agent()
    lost = await site.entry("entry-1")
    caller = await site.caller(await site.entry("entry-2"))
    body = job()
    await (await site.caller(lost)).post("/v1/jobs", json=body)

    await lost.__aexit__(None, None, None)
    del site.membership.entries["entry-1"]
    response = await caller.post("/v1/jobs", json=body)

    assert failure_of(response) == ("outcome_unknown", "may_have_run")
    assert len(agent.starts) == 3


async def test_restarted_owner_does_not_start_a_job_of_its_former_self(
    site: Site,
) -> None:
    agent = await site.agent()
    body = job()
    first = await site.entry("entry-1")
    await (await site.caller(first)).post("/v1/jobs", json=body)
    await first.__aexit__(None, None, None)

    same_port = Listen(host="127.0.0.1", port=first.rpc_address.port)
    caller = await site.caller(await site.entry("entry-1", rpc=same_port))
    response = await caller.post("/v1/jobs", json=body)

    assert failure_of(response) == ("outcome_unknown", "may_have_run")
    assert response.json()["detail"] == OWNER_LOST.detail
    assert len(agent.starts) == 3


@pytest.mark.parametrize("fault", ["no quorum", "drain ordered", "no lease"])
async def test_resubmission_is_never_told_that_it_was_not_run(
    site: Site, fault: str
) -> None:
    await site.agent()
    owner, other = await site.two_callers()
    body = job()
    first = await owner.post("/v1/jobs", json=body)
    site.registrars.available = fault != "no quorum"
    site.membership.drain_ordered = fault == "drain ordered"
    if fault == "no lease":
        site.membership.lease_since_s = float("inf")

    again = await other.post("/v1/jobs", json=body)
    changed = await other.post("/v1/jobs", json=body | {"tasks": [{"payload": 1}]})
    fresh = await other.post("/v1/jobs", json=job())

    assert again.content == first.content
    assert failure_of(changed) == ("id_reused", "not_run")
    assert failure_of(fresh)[1] == "not_run"


async def test_entries_without_a_quorum_do_not_wait_for_each_other(
    site: Site,
) -> None:
    await site.agent()
    callers = [await site.caller(await site.entry(f"entry-{n}")) for n in range(3)]
    site.registrars.available = False
    body = job()

    refused = await asyncio.gather(
        *(caller.post("/v1/jobs", json=body) for caller in callers * 2),
        callers[0].post("/v1/jobs", json=body | {"tasks": [{"payload": 1}]}),
    )

    assert {failure_of(response) for response in refused} == {("no_quorum", "not_run")}


async def test_without_a_majority_nothing_starts(site: Site) -> None:
    agent = await site.agent()
    caller = await site.caller(await site.entry())
    site.registrars.available = False
    body = job()

    refused = await caller.post("/v1/jobs", json=body)
    site.registrars.available = True
    accepted = await caller.post("/v1/jobs", json=body)

    assert failure_of(refused) == ("no_quorum", "not_run")
    assert refused.headers["retry-after"] == "1"
    assert accepted.status_code == 200
    assert len(agent.starts) == 3


async def test_content_is_told_from_another_only_once_the_claim_has_ended(
    site: Site,
) -> None:
    """While the claim runs, the id may turn out to belong to either content."""
    await site.agent()
    owner = await site.caller(await site.entry("entry-1"))
    other = await site.entry("entry-2")
    body = job()
    first = await owner.post("/v1/jobs", json=body)
    wrong = body | {"tasks": [{"payload": "other"}]}

    site.registrars.gate.clear()
    refused, attached = [
        asyncio.create_task(
            other.pipeline.submit(msgspec.json.encode(content), "", single=False)
        )
        for content in (wrong, body)
    ]
    await site.registrars.wait_claims(2)
    site.registrars.gate.set()

    assert (await refused).status == 409
    assert (await attached).body == first.content


async def test_id_that_registrars_may_have_granted_before_is_not_told_as_not_run(
    site: Site,
) -> None:
    await site.agent()
    caller = await site.caller(await site.entry())
    site.registrars.available = False
    site.registrars.forgetful = True

    refused = await caller.post("/v1/jobs", json=job())

    assert failure_of(refused) == ("outcome_unknown", "may_have_run")


async def test_request_without_an_id_and_idempotent_ones_need_no_claim(
    site: Site,
) -> None:
    agent = await site.agent()
    caller = await site.caller(await site.entry())
    site.registrars.available = False
    body = job(payload=5)
    del body["tasks"]
    unnamed = {name: value for name, value in body.items() if name != "id"}

    idempotent = await caller.post("/v1/requests", json=body | {"idempotent": True})
    fresh = await caller.post("/v1/requests", json=unnamed)
    claimed = await caller.post("/v1/requests", json=body | {"id": job()["id"]})

    assert idempotent.json()["result"] == fresh.json()["result"] == {"echo": 5}
    assert failure_of(claimed) == ("no_quorum", "not_run")
    assert len(agent.starts) == 2


async def test_cancel_through_another_entry_stops_the_job(site: Site) -> None:
    agent = await site.agent(slots=1)
    agent.automatic = False
    owner, other = await site.two_callers()
    body = job(count=20)
    first = asyncio.create_task(owner.post("/v1/jobs", json=body))
    await agent.wait_started(1)

    cancelled = await other.delete(f"/v1/jobs/{body['id']}")

    assert failure_of(cancelled) == ("cancelled", "ran")
    assert (await first).content == cancelled.content
    assert len(agent.starts) < 20


@pytest.mark.parametrize(
    ("state", "run"),
    [
        ("not ready", "may_have_run"),
        ("no lease", "not_run"),
        ("drain ordered", "not_run"),
    ],
)
async def test_entry_that_is_not_ready_says_what_it_can_vouch_for(
    site: Site, state: str, run: str
) -> None:
    agent = await site.agent()
    caller = await site.caller(await site.entry())
    ready = await caller.get("/readyz")
    site.membership.ready = state != "not ready"
    site.membership.drain_ordered = state == "drain ordered"
    if state == "no lease":
        site.membership.lease_since_s = float("inf")

    response = await caller.post("/v1/jobs", json=job())
    not_ready = await caller.get("/readyz")

    assert (ready.status_code, not_ready.status_code) == (200, 503)
    assert failure_of(response) == ("not_ready", run)
    assert (await caller.get("/healthz")).status_code == 200
    assert agent.starts == []


async def test_service_that_nobody_offers_is_refused_for_now(site: Site) -> None:
    caller = await site.caller(await site.entry())

    response = await caller.post("/v1/jobs", json=job())

    assert failure_of(response) == ("not_ready", "not_run")
    assert response.json()["retry_after_s"] > 0


async def test_deadline_fails_a_job_whose_agent_is_silent(site: Site) -> None:
    agent = await site.agent()
    agent.automatic = False
    caller = await site.caller(await site.entry())

    response = await caller.post("/v1/jobs", json=job(deadline_ms=50))

    assert response.status_code == 504
    assert failure_of(response) == ("deadline_exceeded", "ran")


async def test_entry_without_configuration_judges_nothing(site: Site) -> None:
    """A restarted entry vouches for no id until it knows the newest state."""
    agent = await site.agent()
    entry = await site.entry()
    caller = await site.caller(entry)
    site.membership.ready = False
    known = site.membership.configuration
    site.membership.configuration = type(known)()

    early = await caller.post("/v1/jobs", json=job())
    assert early.status_code == 503
    assert early.headers["Retry-After"]
    assert failure_of(early) == ("not_ready", "may_have_run")

    site.membership.ready = True
    site.membership.configuration = known
    assert (await caller.post("/v1/jobs", json=job())).status_code == 200
    assert len(agent.starts) == 3
