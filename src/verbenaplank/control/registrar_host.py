"""Runs this instance's registrar; the first group only."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from verbenaplank.claims.registrar import Registrar
from verbenaplank.claims.registrar import RegistrarLimits
from verbenaplank.claims.registrar import amnesia_after_start_ms
from verbenaplank.claims.service import registrar_service

if TYPE_CHECKING:
    from verbenaplank.clock.sources import WallClock
    from verbenaplank.rpc.method import Service
    from verbenaplank.settings.control import ControlSettings

FIRST_EPOCH = 1
MS_PER_S = 1_000


def first_group_service(settings: ControlSettings, wall_clock: WallClock) -> Service:
    """Return the claim service; after a restart it abstains on older claims."""
    limits = RegistrarLimits(
        retention_ms=round(settings.claims.retention_s * MS_PER_S),
        max_clock_skew_ms=round(settings.claims.max_clock_skew_s * MS_PER_S),
    )
    ran_before = Path(settings.data_folder).exists()
    amnesia_ms = amnesia_after_start_ms(None if ran_before else 0, wall_clock(), limits)
    registrar = Registrar(limits, amnesia_ms)
    registrar.enter_epoch(FIRST_EPOCH)
    registrar.open_epoch(FIRST_EPOCH, 0, newcomer=False)
    return registrar_service(registrar, wall_clock)
