"""Raises a registrar's ceiling, the largest timestamp that it may grant.

The ceiling is raised ahead of the clock, so that no claim waits for the disk.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from verbenaplank.concurrency.cancellation import cancel_and_wait
from verbenaplank.concurrency.restarting import create_restarting_task

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from verbenaplank.claims.registrar import Registrar
    from verbenaplank.clock.sources import WallClock

SYNC_PERIOD_S = 1.0
HEADROOM_MS = 2_000
"""How far the ceiling is raised above the latest timestamp that may be claimed."""

SyncCeiling = Callable[[int], Awaitable[None]]
"""Stores a ceiling, in milliseconds since the Unix epoch; returns once it is synced."""

logger = logging.getLogger(__name__)


class CeilingUpdater:
    """Raises a registrar's ceiling periodically while its context is active.

    Entering the context syncs the first ceiling.  While syncs fail, the ceiling
    stays unchanged, and the registrar abstains on timestamps above it.
    """

    def __init__(
        self,
        registrar: Registrar,
        max_clock_skew_ms: int,
        sync_ceiling: SyncCeiling,
        wall_clock: WallClock,
    ) -> None:
        self._registrar = registrar
        self._margin_ms = max_clock_skew_ms + HEADROOM_MS
        self._sync_ceiling = sync_ceiling
        self._wall_clock = wall_clock
        self._running: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        await self.raise_if_due()
        self._running = create_restarting_task(self._raise_periodically)
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._running is not None:
            await cancel_and_wait(self._running)

    async def raise_if_due(self) -> None:
        """Sync and then raise the ceiling if the clock requires a higher one.

        If the sync fails, log a warning and leave the ceiling unchanged.
        """
        ceiling_ms = self._wall_clock() + self._margin_ms
        if ceiling_ms <= self._registrar.ceiling_ms:
            return
        try:
            await self._sync_ceiling(ceiling_ms)
        except OSError as error:
            logger.warning("the claim ceiling cannot be synced to disk: %s", error)
            return
        self._registrar.raise_ceiling(ceiling_ms)

    async def _raise_periodically(self) -> None:
        while True:
            await asyncio.sleep(SYNC_PERIOD_S)
            await self.raise_if_due()
