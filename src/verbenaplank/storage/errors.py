"""Errors of the storage."""

from __future__ import annotations


class StorageError(Exception):
    """The data folder cannot be used."""


class DamagedFileError(StorageError):
    """A file holds something else than what was synced to it.

    Attributes
    ----------
    path
        The damaged file.
    offset_bytes
        Where the damage begins.
    """

    def __init__(self, path: str, offset_bytes: int, reason: str) -> None:
        super().__init__(f"{path}: byte {offset_bytes}: {reason}")
        self.path = path
        self.offset_bytes = offset_bytes


class StorageFullError(StorageError):
    """There is no room for a write; nothing that was synced is lost."""


class WrongInstanceError(StorageError):
    """The data folder belongs to another instance."""


class FolderInUseError(StorageError):
    """Another process holds the data folder."""
