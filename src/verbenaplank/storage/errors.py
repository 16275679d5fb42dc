"""Errors that the storage raises."""

from __future__ import annotations


class StorageError(Exception):
    """The data folder cannot be used."""


class DamagedFileError(StorageError):
    """A file is missing or does not hold what was synced to it.

    Attributes
    ----------
    path
        The damaged file, or the folder that lacks a file.
    offset_bytes
        Offset in the file at which the damage begins.
    """

    def __init__(self, path: str, offset_bytes: int, reason: str) -> None:
        super().__init__(f"{path}: byte {offset_bytes}: {reason}")
        self.path = path
        self.offset_bytes = offset_bytes


class StorageFullError(StorageError):
    """The disk or the quota has no room for a write; synced data is kept."""


class WrongInstanceError(StorageError):
    """The data folder belongs to another instance."""


class FolderInUseError(StorageError):
    """The data folder is locked by another process, or by this one."""
