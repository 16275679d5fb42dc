"""A lock that keeps a second process out of a data folder."""

from __future__ import annotations

import fcntl
from contextlib import contextmanager
from typing import TYPE_CHECKING

from verbenaplank.storage.errors import FolderInUseError

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

LOCK_NAME = "lock"


@contextmanager
def folder_lock(folder: Path) -> Iterator[None]:
    """Hold a folder for as long as the context lasts; create it if missing.

    The system drops the lock when the process ends, however it ends.

    Raises
    ------
    FolderInUseError
        If another process, or another part of this one, holds the folder.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / LOCK_NAME).open("wb") as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise FolderInUseError(f"{folder} is in use") from error
        yield
