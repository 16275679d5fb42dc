from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import httpx

from entry.fakes import FakeAgent
from entry.fakes import FakeMembership
from entry.fakes import FakeRegistrars
from entry.messages import SERVICE
from entry.messages import TEAM
from verbenaplank.entry.application import EntryInstance
from verbenaplank.identifiers.job_id import new_job_id
from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.common import Listen
from verbenaplank.settings.entry import EntryLimits
from verbenaplank.settings.entry import EntryPlacement
from verbenaplank.settings.entry import EntrySettings

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

ANYWHERE = Listen(host="127.0.0.1", port=0)
LIMITS = EntryLimits(max_body_bytes=64 * 1024, drain_timeout_s=5.0)


class FakeCluster:
    """Real entries with fake agents, membership and registrars for one test."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self.membership = FakeMembership()
        self.registrars = FakeRegistrars()
        self._stack = stack

    async def agent(self, name: str = "agent-1", *, slots: int = 8) -> FakeAgent:
        agent = FakeAgent(name, slots=slots)
        await self._stack.enter_async_context(agent.serve())
        self.membership.join(agent.member())
        return agent

    async def entry(
        self,
        name: str = "entry-1",
        limits: EntryLimits = LIMITS,
        rpc: Listen = ANYWHERE,
        placement: EntryPlacement | None = None,
        **hooks: Any,
    ) -> EntryInstance:
        settings = EntrySettings(
            instance_id=name,
            data_centre="Kochi",
            http=ANYWHERE,
            rpc=rpc,
            control=(ControlPeer(instance_id="control-1", host="127.0.0.1", port=1),),
            limits=limits,
            placement=placement or EntryPlacement(),
        )
        instance = EntryInstance(
            settings,
            random=random.Random(name),
            open_membership=self.membership.open,
            open_claims=self.registrars.open,
            **hooks,
        )
        return await self._stack.enter_async_context(instance)

    async def two_callers(self) -> list[httpx.AsyncClient]:
        names = ("entry-1", "entry-2")
        return [await self.caller(await self.entry(name)) for name in names]

    async def caller(self, entry: EntryInstance) -> httpx.AsyncClient:
        client = httpx.AsyncClient(
            base_url=f"http://{entry.http_address}", timeout=20.0, trust_env=False
        )
        return await self._stack.enter_async_context(client)


def job(count: int = 3, **changes: object) -> dict[str, object]:
    """Return the body of a valid job."""
    body: dict[str, object] = {
        "id": new_job_id(),
        "service": SERVICE,
        "team": TEAM,
        "priority": "urgent",
        "deadline_ms": 10_000,
        "tasks": [{"payload": {"round": index}} for index in range(count)],
    }
    return body | changes
