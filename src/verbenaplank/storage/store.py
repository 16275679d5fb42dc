"""Reading and writing of the data folder of a control instance."""

from __future__ import annotations

import errno
from contextlib import contextmanager
from typing import TYPE_CHECKING

from verbenaplank.protocol.consensus import StorageState
from verbenaplank.storage.durable_value import load_value
from verbenaplank.storage.durable_value import save_value
from verbenaplank.storage.errors import DamagedFileError
from verbenaplank.storage.errors import StorageFullError
from verbenaplank.storage.errors import WrongInstanceError
from verbenaplank.storage.files import OperatingSystemFiles
from verbenaplank.storage.journal import SEGMENT_PREFIX
from verbenaplank.storage.journal import Journal
from verbenaplank.storage.journal import SegmentStart
from verbenaplank.storage.model import Identity
from verbenaplank.storage.model import Snapshot
from verbenaplank.storage.model import StoredState
from verbenaplank.storage.model import Vote

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence
    from pathlib import Path

    from verbenaplank.protocol.consensus import LogEntry
    from verbenaplank.storage.files import Files
    from verbenaplank.storage.journal import JournalContent
    from verbenaplank.storage.model import Write

IDENTITY_NAME = "identity"
VOTE_NAME = "vote"
SNAPSHOT_NAME = "snapshot"
DAMAGED_FOLDER = "damaged"
_DISK_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})


class Store:
    """The data folder of a control instance; every call blocks on the disk."""

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self._folder = folder
        self._files = files or OperatingSystemFiles()
        self._journal = Journal(folder, self._files)

    def open(self, instance_id: str, new_incarnation: str) -> StoredState:
        """Return the content of the folder; give an empty one a new identity.

        All that is returned is durable, also data that an earlier process had
        written but not yet synced when it was killed.

        Raises
        ------
        DamagedFileError
            If a file is damaged or missing.
        WrongInstanceError
            If the folder belongs to another instance.
        """
        self._files.make_folder(self._folder)
        self._files.sync_folder(self._folder)
        identity = load_value(self._files, self._folder / IDENTITY_NAME, Identity)
        if identity is None:
            self._check_no_data()
            return self._create_identity(
                instance_id, new_incarnation, StorageState.EMPTY
            )
        if identity.instance_id != instance_id:
            raise WrongInstanceError(
                f"data folder {self._folder} belongs to {identity.instance_id},"
                f" not {instance_id}"
            )
        if identity.state is not StorageState.MEMBER:
            self._move_data_aside(identity.incarnation)
            return StoredState(identity=identity)
        return self._load(identity)

    def replace_damaged(self, instance_id: str, new_incarnation: str) -> StoredState:
        """Move damaged data aside and create an identity that has to rejoin.

        The new identity becomes durable before the old files are moved, so that
        a crash in between never leaves a folder that looks new.
        """
        stored = self._create_identity(
            instance_id, new_incarnation, StorageState.REJOINING
        )
        self._move_data_aside(new_incarnation)
        return stored

    def write(self, writes: Sequence[Write]) -> None:
        """Make writes durable in their order.

        Raises
        ------
        StorageFullError
            If the disk or the quota is full; the same writes may be retried.
        OSError
            If the disk failed; it is unknown which of the writes are durable.
        """
        with _report_full_disk():
            for group in _group_by_sync(writes):
                self._write_group(group)

    def _write_group(self, group: Sequence[Write]) -> None:
        vote = next((item.vote for item in reversed(group) if item.vote), None)
        if vote:
            save_value(self._files, self._folder / VOTE_NAME, vote)
        entries = [entry for item in group for entry in item.entries]
        last = group[-1]
        if last.snapshot:
            self._save_snapshot(last.snapshot, entries)
        elif last.identity:
            self._journal.start_segment(SegmentStart(index=0, term=0), entries)
        elif entries:
            self._journal.append(entries)
        if last.identity:
            save_value(self._files, self._folder / IDENTITY_NAME, last.identity)

    def _save_snapshot(self, snapshot: Snapshot, entries: Sequence[LogEntry]) -> None:
        save_value(self._files, self._folder / SNAPSHOT_NAME, snapshot)
        start = SegmentStart(index=snapshot.index, term=snapshot.term)
        self._journal.start_segment(start, entries)

    def _load(self, identity: Identity) -> StoredState:
        vote = load_value(self._files, self._folder / VOTE_NAME, Vote)
        snapshot = load_value(self._files, self._folder / SNAPSHOT_NAME, Snapshot)
        content = self._journal.load()
        if vote is None or content is None:
            raise DamagedFileError(
                str(self._folder), 0, "the vote or the journal is missing"
            )
        entries = self._following_entries(snapshot, content)
        return StoredState(
            identity=identity, vote=vote, snapshot=snapshot, entries=entries
        )

    def _following_entries(
        self, snapshot: Snapshot | None, content: JournalContent
    ) -> tuple[LogEntry, ...]:
        """Return the entries after the snapshot.

        If a crash came between writing the snapshot and starting its segment,
        start the segment now.
        """
        start = content.start
        index = snapshot.index if snapshot else 0
        if start.index > index:
            raise DamagedFileError(
                str(self._folder), 0, f"the snapshot at index {start.index} is missing"
            )
        if snapshot is None or start.index == index:
            return content.entries
        position = index - start.index
        entries = content.entries[position:]
        covered = content.entries[position - 1 : position]
        if not covered or covered[0].term != snapshot.term:
            entries = ()
        self._journal.start_segment(
            SegmentStart(index=index, term=snapshot.term), entries
        )
        return entries

    def _create_identity(
        self, instance_id: str, incarnation: str, state: StorageState
    ) -> StoredState:
        identity = Identity(
            instance_id=instance_id, incarnation=incarnation, state=state
        )
        save_value(self._files, self._folder / IDENTITY_NAME, identity)
        self._files.sync_folder(self._folder.parent)
        return StoredState(identity=identity)

    def _check_no_data(self) -> None:
        names = self._data_file_names()
        if names:
            raise DamagedFileError(
                str(self._folder / IDENTITY_NAME),
                0,
                f"the file is missing, but {names[0]} exists",
            )

    def _move_data_aside(self, incarnation: str) -> None:
        """Move data files aside that no synced member identity covers."""
        names = self._data_file_names()
        if not names:
            return
        aside = self._folder / DAMAGED_FOLDER / incarnation
        self._files.make_folder(aside)
        for name in names:
            self._files.rename(self._folder / name, aside / name)
        self._files.sync_folder(aside)
        self._files.sync_folder(self._folder)

    def _data_file_names(self) -> list[str]:
        return [
            name
            for name in self._files.names(self._folder)
            if name in (VOTE_NAME, SNAPSHOT_NAME) or name.startswith(SEGMENT_PREFIX)
        ]


def _group_by_sync(writes: Sequence[Write]) -> Iterator[list[Write]]:
    """Group consecutive writes that need only one sync of the journal."""
    group: list[Write] = []
    for write in writes:
        if write.snapshot or write.identity:
            if group:
                yield group
            yield [write]
            group = []
        else:
            group.append(write)
    if group:
        yield group


@contextmanager
def _report_full_disk() -> Iterator[None]:
    try:
        yield
    except OSError as error:
        if error.errno in _DISK_FULL_ERRNOS:
            raise StorageFullError(str(error)) from error
        raise
