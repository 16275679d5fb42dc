"""A lock that prevents two processes from using the same data folder."""

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
    """Lock a data folder while the context is open; create it if it is missing.

    The operating system releases the lock when the process ends, also when it
    is killed.

    Raises
    ------
    FolderInUseError
        If another process, or another context of this one, has locked it.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / LOCK_NAME).open("wb") as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise FolderInUseError(f"data folder {folder} is in use") from error
        yield
