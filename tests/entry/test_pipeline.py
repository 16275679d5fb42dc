from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from entry.fake_cluster import job
from entry.messages import SERVICE
from verbenaplank.entry import validation
from verbenaplank.entry.peer_client import OWNER_LOST
from verbenaplank.entry.registry import RequestRegistry
from verbenaplank.settings.common import Listen

if TYPE_CHECKING:
    import httpx

    from entry.fake_cluster import FakeCluster


def failure_of(response: httpx.Response) -> tuple[str, str]:
    problem = response.json()
    return problem["kind"], problem["run"]


async def test_resubmission_to_the_owner_returns_the_same_response(
    cluster: FakeCluster,
) -> None:
    """A job is submitted twice at once and fetched later; it must run only once."""
    agent = await cluster.agent()
    caller = await cluster.caller(await cluster.entry())
    body = job()

    first, second = await asyncio.gather(
        caller.post("/v1/jobs", json=body), caller.post("/v1/jobs", json=body)
    )
    third = await caller.get(f"/v1/jobs/{body['id']}")

    assert first.status_code == 200
    assert first.content == second.content == third.content
    assert len(agent.starts) == 3


async def test_resubmission_through_another_entry_attaches_to_the_owner(
    cluster: FakeCluster,
) -> None:
    """A job is resubmitted to another entry while it runs; it must run only once."""
    agent = await cluster.agent()
    agent.automatic = False
    owner, other = await cluster.two_callers()
    body = job()

    first = asyncio.create_task(owner.post("/v1/jobs", json=body))
    await agent.wait_started(3)
    second = asyncio.create_task(other.post("/v1/jobs", json=body))
    third = asyncio.create_task(other.get(f"/v1/jobs/{body['id']}"))
    await agent.finish(*agent.starts)

    assert (await first).status_code == 200
    assert (await first).content == (await second).content == (await third).content
    assert len(agent.starts) == 3


async def test_response_is_kept_when_the_caller_disconnects(
    cluster: FakeCluster,
) -> None:
    """A caller disconnects during a job and resubmits it to another entry."""
    agent = await cluster.agent()
    agent.automatic = False
    owner, other = await cluster.two_callers()
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


async def test_large_response_is_transferred_between_entries_in_parts(
    cluster: FakeCluster,
) -> None:
    """A response is larger than one reply between entries may be."""
    await cluster.agent()
    owner, other = await cluster.two_callers()
    body = job(tasks=[{"payload": "x" * 15_000}] * 4)
    first = await owner.post("/v1/jobs", json=body)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("verbenaplank.entry.peer_service.MAX_PART_BYTES", 7_000)
        second = await other.post("/v1/jobs", json=body)

    assert first.content == second.content
    assert len(second.content) > 60_000


async def test_loss_of_the_owner_makes_the_outcome_unknown(
    cluster: FakeCluster,
) -> None:
    """The entry that ran a job is lost before the job is resubmitted to another."""
    agent = await cluster.agent()
    lost = await cluster.entry("entry-1")
    caller = await cluster.caller(await cluster.entry("entry-2"))
    body = job()
    await (await cluster.caller(lost)).post("/v1/jobs", json=body)

    await lost.__aexit__(None, None, None)
    del cluster.membership.entries["entry-1"]
    response = await caller.post("/v1/jobs", json=body)

    assert failure_of(response) == ("outcome_unknown", "may_have_run")
    assert len(agent.starts) == 3


async def test_restarted_owner_does_not_rerun_a_job_of_its_earlier_incarnation(
    cluster: FakeCluster,
) -> None:
    """A restarted entry has lost its jobs but still owns their ids."""
    agent = await cluster.agent()
    body = job()
    first = await cluster.entry("entry-1")
    await (await cluster.caller(first)).post("/v1/jobs", json=body)
    await first.__aexit__(None, None, None)

    same_port = Listen(host="127.0.0.1", port=first.rpc_address.port)
    caller = await cluster.caller(await cluster.entry("entry-1", rpc=same_port))
    response = await caller.post("/v1/jobs", json=body)

    assert failure_of(response) == ("outcome_unknown", "may_have_run")
    assert response.json()["detail"] == OWNER_LOST.detail
    assert len(agent.starts) == 3


@pytest.mark.parametrize("fault", ["no quorum", "drain ordered", "no lease"])
async def test_resubmission_is_never_rejected_as_not_run(
    cluster: FakeCluster, fault: str
) -> None:
    """An entry that can't accept a job must first ask whether another one ran it."""
    await cluster.agent()
    owner, other = await cluster.two_callers()
    body = job()
    first = await owner.post("/v1/jobs", json=body)
    cluster.registrars.available = fault != "no quorum"
    cluster.membership.drain_ordered = fault == "drain ordered"
    if fault == "no lease":
        cluster.membership.lease_since_s = float("inf")

    again = await other.post("/v1/jobs", json=body)
    changed = await other.post("/v1/jobs", json=body | {"tasks": [{"payload": 1}]})
    fresh = await other.post("/v1/jobs", json=job())

    assert again.content == first.content
    assert failure_of(changed) == ("id_reused", "not_run")
    unknown = fault == "no quorum"
    assert failure_of(fresh)[1] == ("may_have_run" if unknown else "not_run")


@pytest.mark.parametrize(
    "cause",
    [
        "drain ordered",
        "no lease",
        "registry full",
        "no agent",
        "no quorum",
        "history lost",
        "unknown service",
        "too old",
    ],
)
async def test_id_that_a_killed_entry_ran_is_not_called_unused(
    cluster: FakeCluster, monkeypatch: pytest.MonkeyPatch, cause: str
) -> None:
    """A refusal said ``not_run`` of a job whose tasks had run at an entry now gone."""
    await cluster.agent()
    killed = await cluster.entry("entry-1")
    caller = await cluster.caller(await cluster.entry("entry-2"))
    body = job()
    await (await cluster.caller(killed)).post("/v1/jobs", json=body)
    await killed.__aexit__(None, None, None)
    del cluster.membership.entries["entry-1"]
    cluster.membership.drain_ordered = cause == "drain ordered"
    cluster.registrars.available = cause != "no quorum"
    cluster.registrars.history_lost = cause == "history lost"
    if cause in ("no lease", "history lost"):
        cluster.membership.lease_since_s = float("inf")
    if cause == "registry full":
        monkeypatch.setattr(RequestRegistry, "is_full", True)
    if cause == "no agent":
        cluster.membership.agents.clear()
        cluster.membership.changed()
    if cause == "unknown service":
        body |= {"service": "unknown"}
    if cause == "too old":
        monkeypatch.setattr(validation, "job_timestamp_ms", lambda _: 0)

    refused = await caller.post("/v1/jobs", json=body)

    assert failure_of(refused)[1] == "may_have_run"
    if cause not in ("no quorum", "history lost", "too old"):
        fresh = await caller.post("/v1/jobs", json=body | {"id": job()["id"]})
        assert failure_of(fresh) == (failure_of(refused)[0], "not_run")


async def test_refused_idempotent_request_with_an_id_may_have_run(
    cluster: FakeCluster,
) -> None:
    """Its id is not claimed, so that nobody knows of an earlier submission."""
    caller = await cluster.caller(await cluster.entry())
    body = job(payload=5, idempotent=True)
    del body["tasks"]
    unnamed = {name: value for name, value in body.items() if name != "id"}

    named = await caller.post("/v1/requests", json=body)
    fresh = await caller.post("/v1/requests", json=unnamed)

    assert failure_of(named)[1] == "may_have_run"
    assert failure_of(fresh)[1] == "not_run"


async def test_malformed_id_cannot_have_run(cluster: FakeCluster) -> None:
    cluster.registrars.available = False
    caller = await cluster.caller(await cluster.entry())

    refused = await caller.post("/v1/jobs", json=job(id="no id"))

    assert failure_of(refused) == ("invalid", "not_run")


async def test_entries_without_a_quorum_do_not_deadlock(
    cluster: FakeCluster,
) -> None:
    """Several entries fail to claim the same id and ask each other about it."""
    await cluster.agent()
    callers = [
        await cluster.caller(await cluster.entry(f"entry-{n}")) for n in range(3)
    ]
    cluster.registrars.available = False
    body = job()

    refused = await asyncio.gather(
        *(caller.post("/v1/jobs", json=body) for caller in callers * 2),
        callers[0].post("/v1/jobs", json=body | {"tasks": [{"payload": 1}]}),
    )

    kinds = {failure_of(response) for response in refused}
    assert kinds == {("no_quorum", "may_have_run")}


async def test_nothing_starts_without_a_majority_of_registrars(
    cluster: FakeCluster,
) -> None:
    """The registrars are unavailable; the same id must be accepted afterwards."""
    agent = await cluster.agent()
    caller = await cluster.caller(await cluster.entry())
    cluster.registrars.available = False
    body = job()

    refused = await caller.post("/v1/jobs", json=body)
    cluster.registrars.available = True
    accepted = await caller.post("/v1/jobs", json=body)

    assert failure_of(refused) == ("no_quorum", "may_have_run")
    assert refused.headers["retry-after"] == "1"
    assert accepted.status_code == 200
    assert len(agent.starts) == 3


async def test_conflicting_content_is_rejected_only_after_the_claim(
    cluster: FakeCluster,
) -> None:
    """Until the claim ends, the id may turn out to belong to either content."""
    await cluster.agent()
    owner = await cluster.caller(await cluster.entry("entry-1"))
    other = await cluster.entry("entry-2")
    body = job()
    first = await owner.post("/v1/jobs", json=body)
    wrong = body | {"tasks": [{"payload": "other"}]}

    cluster.registrars.claims_allowed.clear()
    refused, attached = [
        asyncio.create_task(
            other.pipeline.submit(msgspec.json.encode(content), "", single=False)
        )
        for content in (wrong, body)
    ]
    await cluster.registrars.wait_claims(2)
    cluster.registrars.claims_allowed.set()

    assert (await refused).status == 409
    assert (await attached).body == first.content


async def test_id_that_may_have_been_granted_before_may_have_run(
    cluster: FakeCluster,
) -> None:
    """A registrar has lost its history, so an earlier submission may have run."""
    await cluster.agent()
    caller = await cluster.caller(await cluster.entry())
    cluster.registrars.available = False
    cluster.registrars.history_lost = True

    refused = await caller.post("/v1/jobs", json=job())

    assert failure_of(refused) == ("outcome_unknown", "may_have_run")


async def test_idempotent_requests_and_those_without_an_id_need_no_claim(
    cluster: FakeCluster,
) -> None:
    """The registrars are unavailable; only requests that need a claim may fail."""
    agent = await cluster.agent()
    caller = await cluster.caller(await cluster.entry())
    cluster.registrars.available = False
    body = job(payload=5)
    del body["tasks"]
    unnamed = {name: value for name, value in body.items() if name != "id"}

    idempotent = await caller.post("/v1/requests", json=body | {"idempotent": True})
    fresh = await caller.post("/v1/requests", json=unnamed)
    claimed = await caller.post("/v1/requests", json=body | {"id": job()["id"]})

    assert idempotent.json()["result"] == fresh.json()["result"] == {"echo": 5}
    assert failure_of(claimed) == ("no_quorum", "may_have_run")
    assert len(agent.starts) == 2


async def test_cancel_through_another_entry_stops_the_job(cluster: FakeCluster) -> None:
    """A caller cancels a running job at an entry that does not own it."""
    agent = await cluster.agent(slots=1)
    agent.automatic = False
    owner, other = await cluster.two_callers()
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
async def test_unready_entry_reports_not_run_only_if_it_is_certain(
    cluster: FakeCluster, state: str, run: str
) -> None:
    """Without the newest state, an entry can't exclude that the id has run."""
    agent = await cluster.agent()
    caller = await cluster.caller(await cluster.entry())
    ready = await caller.get("/readyz")
    cluster.membership.ready = state != "not ready"
    cluster.membership.drain_ordered = state == "drain ordered"
    if state == "no lease":
        cluster.membership.lease_since_s = float("inf")

    response = await caller.post("/v1/jobs", json=job())
    not_ready = await caller.get("/readyz")

    assert (ready.status_code, not_ready.status_code) == (200, 503)
    assert failure_of(response) == ("not_ready", run)
    assert (await caller.get("/healthz")).status_code == 200
    assert agent.starts == []


async def test_service_without_agents_is_rejected_with_retry_after(
    cluster: FakeCluster,
) -> None:
    """A service is configured, but no agent offers it at the moment."""
    caller = await cluster.caller(await cluster.entry())

    response = await caller.post("/v1/jobs", json=job())

    assert failure_of(response) == ("not_ready", "not_run")
    assert response.json()["retry_after_s"] > 0


async def test_deadline_fails_a_job_whose_tasks_do_not_end(
    cluster: FakeCluster,
) -> None:
    """An agent has started the tasks but does not return results."""
    agent = await cluster.agent()
    agent.automatic = False
    caller = await cluster.caller(await cluster.entry())

    response = await caller.post("/v1/jobs", json=job(deadline_ms=50))

    assert response.status_code == 504
    assert failure_of(response) == ("deadline_exceeded", "ran")


async def test_entry_without_configuration_rejects_nothing_as_invalid(
    cluster: FakeCluster,
) -> None:
    """A restarted entry has no configuration before it receives the newest state.

    Until then it can't say that a service is unknown or that an id has not run.
    """
    agent = await cluster.agent()
    entry = await cluster.entry()
    caller = await cluster.caller(entry)
    cluster.membership.ready = False
    known = cluster.membership.configuration
    cluster.membership.configuration = type(known)()

    early = await caller.post("/v1/jobs", json=job())
    assert early.status_code == 503
    assert early.headers["Retry-After"]
    assert failure_of(early) == ("not_ready", "may_have_run")

    cluster.membership.ready = True
    cluster.membership.configuration = known
    assert (await caller.post("/v1/jobs", json=job())).status_code == 200
    assert len(agent.starts) == 3


async def test_request_beyond_the_maximum_is_counted_as_refused(
    cluster: FakeCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusals of a full entry that no metric shows."""
    monkeypatch.setattr(RequestRegistry, "is_full", True)
    await cluster.agent()
    entry = await cluster.entry()
    caller = await cluster.caller(entry)

    response = await caller.post("/v1/jobs", json=job())

    assert failure_of(response) == ("overloaded", "not_run")
    (refused,) = entry.job_counts.refused()
    assert refused == (
        {"route": SERVICE, "priority": "0", "cause": "queue_full"},
        1,
    )
