from __future__ import annotations

from typing import TYPE_CHECKING

from entry.fakes import SERVICE
from entry.fakes import TEAM
from verbenaplank.identifiers.job_id import new_job_id

if TYPE_CHECKING:
    from entry.conftest import Site


def job(count: int = 3, **changes: object) -> dict[str, object]:
    body: dict[str, object] = {
        "id": new_job_id(),
        "service": SERVICE,
        "team": TEAM,
        "priority": "urgent",
        "deadline_ms": 10_000,
        "tasks": [{"payload": {"round": index}} for index in range(count)],
    }
    return body | changes


async def test_job_is_answered_whole_and_in_order(site: Site) -> None:
    agents = [await site.agent("agent-1"), await site.agent("agent-2", slots=2)]
    caller = await site.caller(await site.entry())
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
