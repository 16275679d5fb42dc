"""A durable upper bound that never decreases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.storage.durable_value import load_value
from verbenaplank.storage.durable_value import save_value
from verbenaplank.storage.files import OperatingSystemFiles

if TYPE_CHECKING:
    from pathlib import Path

    from verbenaplank.storage.files import Files


class SyncedCeiling:
    """Upper bound that is synced to disk before the bounded number reaches it.

    Calls block until the disk has answered, so make them from a thread that may
    block.
    """

    def __init__(self, path: Path, files: Files | None = None) -> None:
        self._path = path
        self._files = files or OperatingSystemFiles()
        self._value: int | None = None

    def read(self) -> int:
        """Return the ceiling, or 0 if it was never raised.

        The returned value is durable, even if an earlier process was killed
        while it raised the ceiling.

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
        """Raise the ceiling and sync it; a value below it changes nothing.

        Raises
        ------
        OSError
            If the file cannot be written; the old ceiling stays in force.
        """
        if value <= self.read():
            return
        save_value(self._files, self._path, value)
        self._value = value
