from __future__ import annotations

from typing import TYPE_CHECKING

from entry.site import job

if TYPE_CHECKING:
    from entry.site import Site


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
