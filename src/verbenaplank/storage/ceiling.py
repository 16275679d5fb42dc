"""A crash-safe number that never decreases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.storage.durable_value import load_value
from verbenaplank.storage.durable_value import save_value
from verbenaplank.storage.files import OperatingSystemFiles

if TYPE_CHECKING:
    from pathlib import Path

    from verbenaplank.storage.files import Files


class SyncedCeiling:
    """A durable upper bound, to be raised before the values that it bounds.

    The methods block on the disk, so call them from a thread that may block.
    """

    def __init__(self, path: Path, files: Files | None = None) -> None:
        self._path = path
        self._files = files or OperatingSystemFiles()
        self._value: int | None = None

    def read(self) -> int:
        """Return the ceiling; 0 if it was never raised.

        The returned value is durable, even if a process was killed while raising
        it and before syncing it.

        Raises
        ------
        DamagedFileError
            If the file is damaged.
        """
        if self._value is None:
            self._files.make_folder(self._path.parent)
            self._files.sync_folder(self._path.parent)
            loaded = load_value(self._files, self._path, int)
            self._value = 0 if loaded is None else int(loaded)
        return self._value

    def raise_to(self, value: int) -> None:
        """Make a higher ceiling durable; a lower one changes nothing.

        Raises
        ------
        OSError
            If the file cannot be written; the ceiling then stays as it was.
        """
        if value <= self.read():
            return
        save_value(self._files, self._path, value)
        self._value = value
