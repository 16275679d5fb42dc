from __future__ import annotations

import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING
from typing import Any
from uuid import UUID

import msgspec
import pytest
import pytest_asyncio

from entry.fake_cluster import FakeCluster
from entry.fake_cluster import job
from entry.fakes import TOKEN
from entry.fakes import TOKEN_TEAM
from verbenaplank.identifiers.job_id import new_job_id

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import httpx

DEEP = b"[" * 60_000
"""Lists that no recursive decoder reads to their end."""

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
        cluster = FakeCluster(stack)
        await cluster.agent()
        yield await cluster.caller(await cluster.entry())


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
async def test_invalid_field_is_reported_with_its_location(
    caller: httpx.AsyncClient, changes: dict[str, Any], kind: str, place: str
) -> None:
    """A caller must learn the path and the kind of each error in a job."""
    response = await caller.post("/v1/jobs", json=job(**changes))

    status = 400 if kind == "invalid" else 422
    assert_problem(response, status, kind, place)


async def test_all_invalid_fields_are_reported_at_once(
    caller: httpx.AsyncClient,
) -> None:
    """A caller must not have to fix a body one field at a time."""
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
    "body",
    [b"", b"{", b"[]", b"\xff", b'{"id": "\xff"}', b'{"id": 1}}', b'{"a":' + DEEP],
)
@pytest.mark.parametrize("path", ["/v1/jobs", "/v1/requests"])
async def test_malformed_json_is_rejected(
    caller: httpx.AsyncClient, body: bytes, path: str
) -> None:
    """A body that is not one JSON object in UTF-8 must not cause a server error."""
    assert_problem(await caller.post(path, content=body), 400, "invalid", "body")


@pytest.mark.parametrize("declared", [True, False])
async def test_body_above_the_size_limit_is_rejected(
    caller: httpx.AsyncClient, declared: bool
) -> None:
    """A body is too large, with and without a Content-Length header."""
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
async def test_request_requires_the_token_of_its_team(
    caller: httpx.AsyncClient, header: str | None, status: int
) -> None:
    """A missing, wrong or malformed token must not be accepted."""
    headers = {"Authorization": header} if header else {}

    response = await caller.post("/v1/jobs", json=job(team=TOKEN_TEAM), headers=headers)

    assert response.status_code == status
    if status == 401:
        assert_problem(response, 401, "unauthorized", "Authorization")


async def test_several_runs_require_an_idempotent_request(
    caller: httpx.AsyncClient,
) -> None:
    """A request that is not idempotent must not be allowed to run twice."""
    body = job(payload=1, max_runs=2)
    del body["tasks"]

    refused = await caller.post("/v1/requests", json=body)
    accepted = await caller.post("/v1/requests", json=body | {"idempotent": True})

    assert_problem(refused, 400, "invalid", "max_runs")
    assert accepted.json()["result"] == {"echo": 1}


async def test_reused_id_with_other_content_is_rejected(
    caller: httpx.AsyncClient,
) -> None:
    """A caller sends a different job under an id that has already been used."""
    body = job()
    await caller.post("/v1/jobs", json=body)

    response = await caller.post("/v1/jobs", json=body | {"tasks": [{"payload": 2}]})

    assert_problem(response, 409, "id_reused")


async def test_payload_and_output_are_passed_on_unchanged(
    caller: httpx.AsyncClient,
) -> None:
    """Re-encoding JSON would change large integers, decimals and escapes."""
    payload = b'{ "big": 12345678901234567890123, "f": 1.10, "u": "\\u00e9" }'
    body = msgspec.json.encode(job(tasks=[{"payload": msgspec.Raw(payload)}]))

    response = await caller.post("/v1/jobs", content=body)

    assert b'{"echo":' + payload + b"}" in response.content


@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_invalid_or_unknown_job_id_in_the_path_is_rejected(
    caller: httpx.AsyncClient, method: str
) -> None:
    """An invalid id is a client error; a job with an unknown id may have run."""
    response = await caller.request(method, "/v1/jobs/draw-1")
    unknown = await caller.request(method, f"/v1/jobs/{new_job_id()}")

    assert_problem(response, 400, "invalid", "id")
    assert unknown.status_code == 404
    assert unknown.json()["run"] == "may_have_run"


async def test_unknown_path_and_method_return_problem_documents(
    caller: httpx.AsyncClient,
) -> None:
    """Errors of the web framework must have the format of the entry's own errors."""
    assert_problem(await caller.get("/v2"), 404, "invalid")
    assert_problem(await caller.put("/v1/jobs"), 405, "invalid")
