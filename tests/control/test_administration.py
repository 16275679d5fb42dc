from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import httpx
import pytest
from control_helpers import ADMINISTRATOR_TOKEN
from control_helpers import FIXTURES_TOKEN
from control_helpers import agent
from control_helpers import connect_client
from control_helpers import control_settings
from control_helpers import sha256
from control_helpers import wait_until

from verbenaplank.control.application import ControlInstance

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

SECTION = "/v1/configuration/sections/fixtures"
NEW_TEXT = "[services.draw]\nrun_time_ms = 99\n"


@pytest.fixture
async def control(tmp_path: Path) -> AsyncIterator[ControlInstance]:
    async with ControlInstance(control_settings(tmp_path)) as instance:
        await wait_until(instance.is_ready)
        yield instance


@pytest.fixture
async def http(control: ControlInstance) -> AsyncIterator[httpx.AsyncClient]:
    base_url = f"http://{control.http_address}"
    async with httpx.AsyncClient(
        base_url=base_url, trust_env=False, verify=False
    ) as client:
        yield client


def apply_body(command_id: str, expected_version: int = 1) -> dict[str, Any]:
    return {
        "text": NEW_TEXT,
        "expected_version": expected_version,
        "command_id": command_id,
    }


def bearer(token: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {token}"}


async def test_apply_is_versioned_idempotent_and_audited(
    http: httpx.AsyncClient,
) -> None:
    """A repeated command must not be applied or audited again.

    A command with an outdated version is refused, and the refusal is audited.
    """
    first = await http.put(
        SECTION, json=apply_body("c1"), headers=bearer(FIXTURES_TOKEN)
    )
    again = await http.put(
        SECTION, json=apply_body("c1"), headers=bearer(FIXTURES_TOKEN)
    )
    stale = await http.put(
        SECTION, json=apply_body("c2"), headers=bearer(FIXTURES_TOKEN)
    )
    document = (await http.get("/v1/configuration")).json()
    history = (await http.get(f"{SECTION}/history")).json()
    audit = (await http.get("/v1/audit")).json()

    assert first.status_code == 200
    assert again.json() == first.json()
    assert stale.status_code == 409
    assert stale.headers["content-type"] == "application/problem+json"
    assert stale.json()["section_version"] == 2
    assert stale.json()["run"] == "not_run"
    assert document["version"] == 2
    assert [version["version"] for version in history["versions"]] == [1, 2]
    assert history["versions"][-1]["text"] == NEW_TEXT
    assert audit["verified"]
    applied = [r for r in audit["records"] if r["action"] == "apply"]
    assert [(r["command_id"], r["outcome"]) for r in applied] == [
        ("c1", "accepted"),
        ("c2", "conflict"),
    ]


async def test_only_the_owner_and_administrators_can_change_a_section(
    http: httpx.AsyncClient,
) -> None:
    """No token, an unknown token and another team's token are refused."""
    tokens = ("wrong", "on-call-token", ADMINISTRATOR_TOKEN)
    replies = [await http.put(SECTION, json=apply_body("c1"))]
    for token in tokens:
        headers = bearer(token)
        replies.append(await http.put(SECTION, json=apply_body("c1"), headers=headers))

    assert [reply.status_code for reply in replies] == [401, 401, 403, 200]


async def test_invalid_body_is_refused_with_the_place_of_the_fault(
    http: httpx.AsyncClient,
) -> None:
    bodies = {
        b"{": "body",
        b'{"text": 1, "expected_version": 1, "command_id": "c"}': "text",
        b'{"text": "", "expected_version": 1, "command_id": ""}': "command_id",
    }
    for body, place in bodies.items():
        reply = await http.put(SECTION, content=body, headers=bearer(FIXTURES_TOKEN))

        assert reply.status_code == 400
        assert reply.json()["findings"][0]["place"] == place


async def test_invalid_text_is_refused_with_every_finding(
    http: httpx.AsyncClient,
) -> None:
    text = "[services.draw]\nmax_runs = 0\nzz = 1\n[teams.fixtures]\n"
    body = {**apply_body("c1"), "text": text}
    reply = await http.put(SECTION, json=body, headers=bearer(FIXTURES_TOKEN))

    assert reply.status_code == 422
    assert len(reply.json()["findings"]) == 4


async def test_administrator_creates_and_removes_a_section(
    http: httpx.AsyncClient,
) -> None:
    owner = {"team": "enrolment", "token_sha256": sha256("e"), "command_id": "c1"}
    section = "/v1/configuration/sections/enrolment"
    admin = bearer(ADMINISTRATOR_TOKEN)
    text = {"text": "", "expected_version": 1, "command_id": "c2"}
    removal = {"expected_version": 2, "command_id": "c3"}

    created = await http.put(
        "/v1/configuration/owners/enrolment", json=owner, headers=admin
    )
    applied = await http.put(section, json=text, headers=bearer("e"))
    removed = await http.request("DELETE", section, json=removal, headers=admin)

    assert [r.status_code for r in (created, applied, removed)] == [200, 200, 200]
    assert (await http.get(section)).status_code == 404


async def test_drain_order_reaches_the_member_and_can_be_withdrawn(
    http: httpx.AsyncClient, control: ControlInstance
) -> None:
    """The order is sent on the member's stream.  An unknown member id is refused."""
    async with connect_client(agent(), control) as client:
        await client.wait_ready()
        for action, expected in (("drain", True), ("undrain", False)):
            reply = await http.post(
                f"/v1/members/agent-1/{action}",
                json={"command_id": action},
                headers=bearer("on-call-token"),
            )
            assert reply.status_code == 200
            await wait_until(lambda expected=expected: client.drain_ordered is expected)
        unknown = await http.post(
            "/v1/members/nobody/drain",
            json={"command_id": "c9"},
            headers=bearer("on-call-token"),
        )

    assert unknown.status_code == 404


async def test_status_lists_members_without_the_newest_configuration(
    http: httpx.AsyncClient, control: ControlInstance
) -> None:
    """A member without a heartbeat has an unknown version and counts as behind."""
    async with connect_client(agent(), control) as client:
        await client.wait_ready()
        versions: list[int | None] = [None]
        while versions != [1]:
            status = (await http.get("/v1/configuration/status")).json()
            versions = [member["version"] for member in status["members"]]
            assert status["in_force_everywhere"] is (versions == [1])

    metrics = (await http.get("/metrics")).text
    assert "verbenaplank_control_configuration_version 1.0" in metrics
    assert "verbenaplank_control_leads 1.0" in metrics
    assert (await http.get("/readyz")).status_code == 200
    assert (await http.get("/v1/nothing")).json()["status"] == 404
