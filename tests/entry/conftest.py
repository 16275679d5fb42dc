from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import pytest

from entry.site import Site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    async with AsyncExitStack() as stack:
        yield Site(stack)
