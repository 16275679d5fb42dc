from __future__ import annotations

import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING
from typing import Any
from uuid import UUID

import msgspec
import pytest
import pytest_asyncio

from entry.fakes import TOKEN
from entry.fakes import TOKEN_TEAM
from entry.site import Site
from entry.site import job
from verbenaplank.identifiers.job_id import new_job_id

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import httpx

pytestmark = pytest.mark.asyncio(loop_scope="module")

UUID7_VERSION_BITS = 7 << 76 | 2 << 62


def stamped_id(age_s: float) -> str:
    stamp_ms = int((time.time() - age_s) * 1000)
    return str(UUID(int=stamp_ms << 80 | UUID7_VERSION_BITS | 5))


def assert_problem(
    response: httpx.Response, status: int, kind: str, *places: str
) -> dict[str, Any]:
    problem: dict[str, Any] = response.json()
    assert response.headers["content-type"] == "application/problem+json"
    assert (response.status_code, problem["status"]) == (status, status)
    assert (problem["kind"], problem["run"]) == (kind, "not_run")
    found = tuple(finding["place"] for finding in problem.get("findings", []))
    assert found == places
    return problem


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def caller() -> AsyncIterator[httpx.AsyncClient]:
    async with AsyncExitStack() as stack:
        site = Site(stack)
        await site.agent()
        yield await site.caller(await site.entry())


@pytest.mark.parametrize(
    ("changes", "kind", "place"),
    [
        ({"id": 7}, "invalid", "id"),
        ({"id": "draw-1"}, "invalid", "id"),
        ({"id": "c232ab00-9414-41ec-b3c8-9f6bdeced846"}, "invalid", "id"),
        ({"id": stamped_id(age_s=3_600)}, "invalid", "id"),
        ({"id": stamped_id(age_s=-3_600)}, "invalid", "id"),
        ({"service": "umpire"}, "unknown_service", "service"),
        ({"team": "greenkeepers"}, "unknown_team", "team"),
        ({"priority": "soon"}, "invalid", "priority"),
        ({"deadline_ms": "soon"}, "invalid", "deadline_ms"),
        ({"deadline_ms": 0}, "invalid", "deadline_ms"),
        ({"needs": {"cores": -1}}, "invalid", "needs.cores"),
        ({"needs": {"discs": 1}}, "invalid", "needs.discs"),
        ({"needs": {"cores": 1_000}}, "impossible_needs", "needs"),
        ({"tasks": []}, "invalid", "tasks"),
        ({"tasks": {}}, "invalid", "tasks"),
        ({"tasks": [{"payload": 1}, 3]}, "invalid", "tasks[1]"),
        ({"tasks": [{"payload": 1}, {}]}, "invalid", "tasks[1].payload"),
        ({"tasks": [{"payload": 1, "x": 2}]}, "invalid", "tasks[0].x"),
        ({"tasks": [{"payload": 1}] * 351}, "invalid", "tasks"),
        ({"task": 1}, "invalid", "task"),
    ],
)
async def test_fault_is_named_with_its_place(
    caller: httpx.AsyncClient, changes: dict[str, Any], kind: str, place: str
) -> None:
    response = await caller.post("/v1/jobs", json=job(**changes))

    status = 400 if kind == "invalid" else 422
    assert_problem(response, status, kind, place)


async def test_all_faults_are_reported_at_once(caller: httpx.AsyncClient) -> None:
    faulty = job(id=1, service=None, team="nobody", priority="x", tasks=[1, {"y": 2}])

    response = await caller.post("/v1/jobs", json=faulty)

    assert_problem(
        response,
        400,
        "invalid",
        *("id", "tasks[0]", "tasks[1].y", "tasks[1].payload"),
        *("service", "priority", "team"),
    )


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b"\xff", b'{"id": "\xff"}', b'{"id": 1}}']
)
@pytest.mark.parametrize("path", ["/v1/jobs", "/v1/requests"])
async def test_broken_json_is_refused(
    caller: httpx.AsyncClient, body: bytes, path: str
) -> None:
    assert_problem(await caller.post(path, content=body), 400, "invalid", "body")


@pytest.mark.parametrize("declared", [True, False])
async def test_body_over_the_limit_is_refused(
    caller: httpx.AsyncClient, declared: bool
) -> None:
    body = msgspec.json.encode(job(tasks=[{"payload": "x" * 65_536}]))

    async def parts() -> Any:
        yield body

    content = body if declared else parts()
    response = await caller.post("/v1/jobs", content=content)

    assert_problem(response, 413, "too_large", "body")


@pytest.mark.parametrize(
    ("header", "status"),
    [(f"Bearer {TOKEN}", 200), ("Bearer wrong", 401), (TOKEN, 401), (None, 401)],
)
async def test_token_of_the_team_is_asked(
    caller: httpx.AsyncClient, header: str | None, status: int
) -> None:
    headers = {"Authorization": header} if header else {}

    response = await caller.post("/v1/jobs", json=job(team=TOKEN_TEAM), headers=headers)

    assert response.status_code == status
    if status == 401:
        assert_problem(response, 401, "unauthorized", "Authorization")


async def test_several_runs_are_for_idempotent_requests_only(
    caller: httpx.AsyncClient,
) -> None:
    body = job(payload=1, max_runs=2)
    del body["tasks"]

    refused = await caller.post("/v1/requests", json=body)
    accepted = await caller.post("/v1/requests", json=body | {"idempotent": True})

    assert_problem(refused, 400, "invalid", "max_runs")
    assert accepted.json()["result"] == {"echo": 1}


async def test_used_id_with_other_content_is_refused(
    caller: httpx.AsyncClient,
) -> None:
    body = job()
    await caller.post("/v1/jobs", json=body)

    response = await caller.post("/v1/jobs", json=body | {"tasks": [{"payload": 2}]})

    assert_problem(response, 409, "id_reused")


async def test_payload_and_output_pass_byte_for_byte(
    caller: httpx.AsyncClient,
) -> None:
    payload = b'{ "big": 12345678901234567890123, "f": 1.10, "u": "\\u00e9" }'
    body = msgspec.json.encode(job(tasks=[{"payload": msgspec.Raw(payload)}]))

    response = await caller.post("/v1/jobs", content=body)

    assert b'{"echo":' + payload + b"}" in response.content


@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_path_that_names_no_job_is_refused(
    caller: httpx.AsyncClient, method: str
) -> None:
    response = await caller.request(method, "/v1/jobs/draw-1")
    unknown = await caller.request(method, f"/v1/jobs/{new_job_id()}")

    assert_problem(response, 400, "invalid", "id")
    assert unknown.status_code == 404
    assert unknown.json()["run"] == "may_have_run"


async def test_unknown_path_and_method_are_problems(caller: httpx.AsyncClient) -> None:
    assert_problem(await caller.get("/v2"), 404, "invalid")
    assert_problem(await caller.put("/v1/jobs"), 405, "invalid")
