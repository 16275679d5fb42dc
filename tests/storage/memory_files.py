from __future__ import annotations

import errno
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from pathlib import Path


class KilledError(Exception):
    """Stands for the end of the process in the middle of a file operation."""


@attrs.define
class _File:
    content: bytes = b""
    synced: bytes = b""


class MemoryFiles:
    """In-memory files; only synced content and names survive a power loss.

    Attributes
    ----------
    operations
        Number of operations so far that change or sync files.
    kill_at
        Number of operations after which the next one raises ``KilledError``;
        a write or append that is the last one before writes half of its data.
    room_bytes
        Longest write or append that fits on the disk.
    sync_error
        Raised by each sync of a file, if set.
    """

    def __init__(self) -> None:
        self._names: dict[Path, _File] = {}
        self._synced_names: dict[Path, _File] = {}
        self.operations = 0
        self.kill_at = math.inf
        self.room_bytes = math.inf
        self.sync_error: OSError | None = None

    def after_power_loss(self, kept_share: float) -> MemoryFiles:
        """Return the files after a power loss.

        ``kept_share`` is the share of unsynced appended data that survives.
        """
        found = MemoryFiles()
        for path, file in self._synced_names.items():
            content = file.synced
            if file.content.startswith(file.synced):
                unsynced = file.content[len(file.synced) :]
                content += unsynced[: round(len(unsynced) * kept_share)]
            found._names[path] = _File(content, content)
        found._synced_names = dict(found._names)
        return found

    def after_kill(self) -> MemoryFiles:
        """Return the files after the process was killed; unsynced data stays."""
        found = MemoryFiles()
        copies = {
            id(file): _File(file.content, file.synced)
            for file in (*self._names.values(), *self._synced_names.values())
        }
        found._names = {path: copies[id(file)] for path, file in self._names.items()}
        found._synced_names = {
            path: copies[id(file)] for path, file in self._synced_names.items()
        }
        return found

    def make_folder(self, path: Path) -> None:
        self._count()

    def names(self, folder: Path) -> list[str]:
        return sorted(path.name for path in self._names if path.parent == folder)

    def read(self, path: Path) -> bytes | None:
        file = self._names.get(path)
        return file.content if file else None

    def write(self, path: Path, data: bytes) -> None:
        self._count()
        file = self._names.setdefault(path, _File())
        file.content = b""
        self._add(file, data)

    def append(self, path: Path, data: bytes) -> None:
        self._count()
        self._add(self._names[path], data)

    def truncate(self, path: Path, size_bytes: int) -> None:
        self._count()
        file = self._names[path]
        file.content = file.content[:size_bytes]

    def sync(self, path: Path) -> None:
        self._count()
        if self.sync_error:
            raise self.sync_error
        file = self._names[path]
        file.synced = file.content

    def sync_folder(self, path: Path) -> None:
        self._count()
        kept = {
            name: file
            for name, file in self._synced_names.items()
            if name.parent != path
        }
        now = {name: file for name, file in self._names.items() if name.parent == path}
        self._synced_names = {**kept, **now}

    def rename(self, source: Path, target: Path) -> None:
        self._count()
        self._names[target] = self._names.pop(source)

    def remove(self, path: Path) -> None:
        self._count()
        self._names.pop(path, None)

    def _add(self, file: _File, data: bytes) -> None:
        if self.kill_at == self.operations:
            data = data[: len(data) // 2]
        file.content += data[: int(min(len(data), self.room_bytes))]
        if len(data) > self.room_bytes:
            raise OSError(errno.ENOSPC, "no space left on device")

    def _count(self) -> None:
        self.operations += 1
        if self.operations > self.kill_at:
            raise KilledError
