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
    """Lock a folder while the context is active; create the folder if missing.

    The operating system releases the lock when the process ends, also after a
    crash.

    Raises
    ------
    FolderInUseError
        If the folder is locked by another process or elsewhere in this one.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / LOCK_NAME).open("wb") as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise FolderInUseError(f"{folder} is in use") from error
        yield
