"""Keeps a registrar's ceiling ahead of the clock, synced off the path."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from verbenaplank.claims.registrar import Registrar
    from verbenaplank.clock.sources import WallClock

SYNC_PERIOD_S = 1.0
HEADROOM_MS = 2_000
"""How far the ceiling stays above the latest timestamp that may be claimed."""

SyncCeiling = Callable[[int], Awaitable[None]]
"""Returns once a ceiling, in milliseconds since the Unix epoch, is on disk."""

logger = logging.getLogger(__name__)


class CeilingUpdater:
    """Raises a registrar's ceiling for as long as its context lasts.

    On entering, the first ceiling is synced.  While the disk refuses, the
    ceiling stays, and the registrar abstains once timestamps have reached it.
    """

    def __init__(
        self,
        registrar: Registrar,
        max_clock_skew_ms: int,
        sync_ceiling: SyncCeiling,
        wall_clock: WallClock,
    ) -> None:
        self._registrar = registrar
        self._lead_ms = max_clock_skew_ms + HEADROOM_MS
        self._sync_ceiling = sync_ceiling
        self._wall_clock = wall_clock
        self._running: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        await self.raise_once()
        self._running = asyncio.create_task(self._raise_periodically())
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._running is not None:
            self._running.cancel()
            with suppress(asyncio.CancelledError):
                await self._running

    async def raise_once(self) -> None:
        """Sync the ceiling that is due now, then put it in force."""
        ceiling_ms = self._wall_clock() + self._lead_ms
        if ceiling_ms <= self._registrar.ceiling_ms:
            return
        try:
            await self._sync_ceiling(ceiling_ms)
        except OSError as error:
            logger.warning("the ceiling of claims cannot be synced: %s", error)
            return
        self._registrar.raise_ceiling(ceiling_ms)

    async def _raise_periodically(self) -> None:
        while True:
            await asyncio.sleep(SYNC_PERIOD_S)
            await self.raise_once()
