from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import pytest

from entry.fake_cluster import FakeCluster

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def cluster() -> AsyncIterator[FakeCluster]:
    async with AsyncExitStack() as stack:
        yield FakeCluster(stack)
