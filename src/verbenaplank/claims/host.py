"""The registrar of a control instance, with its ceiling on disk."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING
from typing import Protocol

from verbenaplank.claims.ceiling import CeilingUpdater
from verbenaplank.claims.registrar import Registrar
from verbenaplank.claims.registrar import RegistrarLimits
from verbenaplank.claims.registrar import initial_abstain_until_ms
from verbenaplank.claims.service import registrar_service
from verbenaplank.storage.errors import DamagedFileError

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from verbenaplank.clock.sources import WallClock
    from verbenaplank.rpc.method import Service

logger = logging.getLogger(__name__)


class CeilingFile(Protocol):
    """File that durably stores a number that never decreases; its methods block."""

    def read(self) -> int:
        """Return the number, in milliseconds; 0 if it was never raised.

        Raises
        ------
        DamagedFileError
            If the number cannot be read back.
        """

    def raise_to(self, value: int) -> None:
        """Store a number durably before returning; a lower one changes nothing."""


class RegistrarHost:
    """Runs a registrar and keeps its ceiling on disk ahead of the clock.

    It is an async context manager, which raises the ceiling periodically.

    Parameters
    ----------
    first_start
        Whether this instance has certainly never granted a claim, since the
        cluster is being created rather than joined or restarted.

    Attributes
    ----------
    registrar
        The registrar, which grants nothing before an epoch is opened.
    """

    def __init__(
        self,
        limits: RegistrarLimits,
        ceiling_file: CeilingFile,
        wall_clock: WallClock,
        *,
        first_start: bool,
    ) -> None:
        self._ceiling_file = ceiling_file
        self._wall_clock = wall_clock
        synced_ms = _read_ceiling_ms(ceiling_file, first_start=first_start)
        abstain_until_ms = initial_abstain_until_ms(synced_ms, wall_clock(), limits)
        self.registrar = Registrar(limits, abstain_until_ms, ceiling_ms=synced_ms or 0)
        self._ceiling_updater = CeilingUpdater(
            self.registrar, limits.max_clock_skew_ms, self._sync_ceiling, wall_clock
        )

    async def __aenter__(self) -> Self:
        """Sync the first ceiling, and start raising it ahead of the clock."""
        await self._ceiling_updater.__aenter__()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._ceiling_updater.__aexit__(exception_type, exception, traceback)

    def service(self) -> Service:
        """Return the service through which entries claim identifiers."""
        return registrar_service(self.registrar, self._wall_clock)

    async def open_epoch(
        self, epoch: int, latest_grant_ms: int, *, is_new_member: bool
    ) -> None:
        """Open an epoch, after syncing the ceiling of a new member if necessary.

        See :meth:`Registrar.open_epoch` for the parameters.

        Raises
        ------
        OSError
            If the ceiling of a new member cannot be synced.
        """
        if is_new_member and latest_grant_ms > self.registrar.ceiling_ms:
            await self._sync_ceiling(latest_grant_ms)
            self.registrar.raise_ceiling(latest_grant_ms)
        self.registrar.open_epoch(epoch, latest_grant_ms, is_new_member=is_new_member)

    async def _sync_ceiling(self, ceiling_ms: int) -> None:
        await asyncio.to_thread(self._ceiling_file.raise_to, ceiling_ms)


def _read_ceiling_ms(ceiling_file: CeilingFile, *, first_start: bool) -> int | None:
    """Return the synced ceiling, or ``None`` if it is unknown."""
    try:
        ceiling_ms = ceiling_file.read()
    except DamagedFileError as error:
        logger.warning("the file of the claim ceiling is damaged: %s", error)
        return None
    if ceiling_ms == 0 and not first_start:
        return None
    return ceiling_ms
