from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
from claims_model import LIMITS
from claims_model import START_MS
from claims_model import job_id_at

from verbenaplank.claims.ceiling import HEADROOM_MS
from verbenaplank.claims.host import RegistrarHost
from verbenaplank.protocol.claims import Claim
from verbenaplank.protocol.claims import ClaimVerdict
from verbenaplank.storage.ceiling import SyncedCeiling

if TYPE_CHECKING:
    from pathlib import Path

CLAIM = Claim(
    job_id=job_id_at(START_MS, 1),
    entry_id="e1",
    entry_incarnation="1",
    attempt=1,
    digest=b"d",
    epoch=1,
    owner_address="e1:1",
)


class FullDisk:
    def read(self) -> int:
        return 0

    def raise_to(self, value: int) -> None:
        raise OSError("no space left on device")


def _start_ms() -> int:
    return START_MS


def _clock_set_back_ms() -> int:
    return START_MS - 60_000


async def _verdict(host: RegistrarHost, claim: Claim = CLAIM) -> ClaimVerdict:
    host.registrar.enter_epoch(1)
    await host.open_epoch(1, 0, is_new_member=False)
    return host.registrar.claim(claim, START_MS).verdict


async def test_first_start_grants_and_a_restart_abstains(tmp_path: Path) -> None:
    file = SyncedCeiling(tmp_path / "ceiling")
    async with RegistrarHost(LIMITS, file, _start_ms, first_start=True) as host:
        first = await _verdict(host)
    file = SyncedCeiling(tmp_path / "ceiling")
    async with RegistrarHost(
        LIMITS, file, _clock_set_back_ms, first_start=False
    ) as host:
        restarted = await _verdict(host)

    assert first is ClaimVerdict.GRANTED
    assert restarted is ClaimVerdict.ABSTAINED


@pytest.mark.parametrize("content", [None, b"damaged"])
async def test_missing_or_damaged_ceiling_file_abstains_up_to_the_clock_skew(
    tmp_path: Path, content: bytes | None
) -> None:
    path = tmp_path / "ceiling"
    if content is not None:
        path.write_bytes(content)
    file = SyncedCeiling(path)
    host = RegistrarHost(LIMITS, file, _start_ms, first_start=False)

    assert await _verdict(host) is ClaimVerdict.ABSTAINED


async def test_full_disk_grants_nothing() -> None:
    async with RegistrarHost(LIMITS, FullDisk(), _start_ms, first_start=True) as host:
        assert await _verdict(host) is ClaimVerdict.ABSTAINED


async def test_new_member_syncs_its_ceiling_before_it_opens_an_epoch(
    tmp_path: Path,
) -> None:
    latest_ms = START_MS + LIMITS.max_clock_skew_ms + HEADROOM_MS + 1
    path = tmp_path / "ceiling"
    file = SyncedCeiling(path)
    async with RegistrarHost(LIMITS, file, _start_ms, first_start=True) as host:
        host.registrar.enter_epoch(2)
        await host.open_epoch(2, latest_ms, is_new_member=True)
        claim = attrs.evolve(CLAIM, epoch=2)
        verdict = host.registrar.claim(claim, START_MS).verdict

    assert SyncedCeiling(path).read() == latest_ms
    assert verdict is ClaimVerdict.ABSTAINED
