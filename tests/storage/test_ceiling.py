from __future__ import annotations

from pathlib import Path

import pytest
from tests.storage.memory_files import KilledError
from tests.storage.memory_files import MemoryFiles

from verbenaplank.storage.ceiling import SyncedCeiling
from verbenaplank.storage.errors import DamagedFileError

PATH = Path("/data/ceiling")


def test_ceiling_survives_a_power_loss_and_never_decreases() -> None:
    """A lost or lowered ceiling would permit numbers that were used before."""
    files = MemoryFiles()
    ceiling = SyncedCeiling(PATH, files)
    assert ceiling.read() == 0
    ceiling.raise_to(7)
    ceiling.raise_to(5)

    assert SyncedCeiling(PATH, files.after_power_loss(0.0)).read() == 7


@pytest.mark.parametrize("kept_share", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("kill_after", range(6))
def test_crash_while_raising_leaves_the_old_or_the_new_ceiling(
    kill_after: int, kept_share: float
) -> None:
    """Guards against a value that is neither, after a crash at any operation.

    A value that was read after a kill has to survive a power loss that follows:
    the killed process may have renamed the file without syncing the folder.
    """
    files = MemoryFiles()
    ceiling = SyncedCeiling(PATH, files)
    ceiling.raise_to(7)
    files.kill_at = files.operations + kill_after
    expected = {7, 9}
    try:
        ceiling.raise_to(9)
        expected = {9}
    except KilledError:
        pass

    assert SyncedCeiling(PATH, files.after_power_loss(kept_share)).read() in expected
    found = files.after_kill()
    value = SyncedCeiling(PATH, found).read()
    assert value in expected
    assert SyncedCeiling(PATH, found.after_power_loss(0.0)).read() == value


def test_damaged_ceiling_file_is_rejected() -> None:
    """Guards against a changed bit that yields another ceiling."""
    files = MemoryFiles()
    SyncedCeiling(PATH, files).raise_to(7)
    files.write(PATH, (files.read(PATH) or b"")[:-1] + b"\x08")

    with pytest.raises(DamagedFileError, match="checksum"):
        SyncedCeiling(PATH, files).read()
