from __future__ import annotations

import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import httpx
import pytest

from entry.fakes import FakeAgent
from entry.fakes import FakeMembership
from entry.fakes import FakeRegistrars
from verbenaplank.entry.application import EntryInstance
from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.common import Listen
from verbenaplank.settings.entry import EntryLimits
from verbenaplank.settings.entry import EntrySettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ANYWHERE = Listen(host="127.0.0.1", port=0)
LIMITS = EntryLimits(max_body_bytes=64 * 1024, drain_timeout_s=5.0)


class Site:
    """Entries with fake neighbours; everything ends with the test."""

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
        self, name: str = "entry-1", limits: EntryLimits = LIMITS
    ) -> EntryInstance:
        settings = EntrySettings(
            instance_id=name,
            data_centre="Kochi",
            http=ANYWHERE,
            rpc=ANYWHERE,
            control=(ControlPeer(instance_id="control-1", host="127.0.0.1", port=1),),
            limits=limits,
        )
        instance = EntryInstance(
            settings,
            random=random.Random(name),
            open_membership=self.membership.open,
            open_claims=self.registrars.open,
        )
        return await self._stack.enter_async_context(instance)

    async def caller(self, entry: EntryInstance) -> httpx.AsyncClient:
        client = httpx.AsyncClient(
            base_url=f"http://{entry.http_address}", timeout=20.0, trust_env=False
        )
        return await self._stack.enter_async_context(client)


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    async with AsyncExitStack() as stack:
        yield Site(stack)
