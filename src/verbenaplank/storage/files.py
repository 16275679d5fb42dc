"""File operations that the storage uses, as an interface that tests can fake."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from pathlib import Path


class Files(Protocol):
    """File operations that the storage uses."""

    def make_folder(self, path: Path) -> None:
        """Create a folder and its parents if they are missing."""

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names of a folder's files."""

    def read(self, path: Path) -> bytes | None:
        """Return a file's content, or ``None`` if there is no such file."""

    def write(self, path: Path, data: bytes) -> None:
        """Create or replace a file, without syncing it."""

    def append(self, path: Path, data: bytes) -> None:
        """Append to a file, without syncing it."""

    def truncate(self, path: Path, size_bytes: int) -> None:
        """Truncate a file to a size, without syncing it."""

    def sync(self, path: Path) -> None:
        """Sync the content of a file to disk."""

    def sync_folder(self, path: Path) -> None:
        """Sync a folder, which makes created and renamed files durable."""

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file; an existing target is replaced."""

    def remove(self, path: Path) -> None:
        """Remove a file; a missing one is no error."""


class OperatingSystemFiles:
    """File operations on the real file system."""

    def make_folder(self, path: Path) -> None:
        """Create a folder and its parents if they are missing."""
        path.mkdir(parents=True, exist_ok=True)

    def names(self, folder: Path) -> list[str]:
        """Return the sorted names of a folder's files."""
        return sorted(item.name for item in folder.iterdir() if item.is_file())

    def read(self, path: Path) -> bytes | None:
        """Return a file's content, or ``None`` if there is no such file."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def write(self, path: Path, data: bytes) -> None:
        """Create or replace a file, without syncing it."""
        path.write_bytes(data)

    def append(self, path: Path, data: bytes) -> None:
        """Append to a file, without syncing it."""
        with path.open("ab") as file:
            file.write(data)

    def truncate(self, path: Path, size_bytes: int) -> None:
        """Truncate a file to a size, without syncing it."""
        os.truncate(path, size_bytes)

    def sync(self, path: Path) -> None:
        """Sync the content of a file to disk."""
        _sync(path, os.O_RDWR)

    def sync_folder(self, path: Path) -> None:
        """Sync a folder, which makes created and renamed files durable."""
        _sync(path, os.O_RDONLY | os.O_DIRECTORY)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file; an existing target is replaced."""
        source.replace(target)

    def remove(self, path: Path) -> None:
        """Remove a file; a missing one is no error."""
        path.unlink(missing_ok=True)


def _sync(path: Path, flags: int) -> None:
    descriptor = os.open(path, flags)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
