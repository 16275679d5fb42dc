"""The durable journal of the replicated log, with one segment for each snapshot.

The first record of a segment identifies the entry that precedes it; every further
record is an entry.  An entry replaces earlier records with the same and higher
indexes.  A segment is therefore never truncated, except for an incomplete end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs
import msgspec

from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.storage.durable_value import replace_file
from verbenaplank.storage.errors import DamagedFileError
from verbenaplank.storage.records import decode_records
from verbenaplank.storage.records import encode_record

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from verbenaplank.storage.files import Files
    from verbenaplank.storage.records import Record

SEGMENT_PREFIX = "journal-"
SEGMENT_SUFFIX = ".log"
_NUMBER_DIGITS = 20


@attrs.frozen(kw_only=True)
class SegmentStart:
    """Index and term of the entry that precedes the first one of a segment."""

    index: int
    term: int


@attrs.frozen(kw_only=True)
class JournalContent:
    """Content of the newest segment, without entries that were replaced."""

    start: SegmentStart
    entries: tuple[LogEntry, ...]


class Journal:
    """Appends entries to the newest segment of a folder."""

    def __init__(self, folder: Path, files: Files) -> None:
        self._folder = folder
        self._files = files
        self._number = 0
        self._synced_bytes = 0

    def load(self) -> JournalContent | None:
        """Read the newest segment, without a last record that is incomplete.

        Returns
        -------
        JournalContent or None
            ``None`` if the folder has no segment.

        Raises
        ------
        DamagedFileError
            If a record is damaged or an index is skipped.
        """
        numbers = self._segment_numbers()
        if not numbers:
            return None
        self._number = numbers[-1]
        path = self._path(self._number)
        data = self._files.read(path) or b""
        records = list(decode_records(data, str(path)))
        if not records:
            raise DamagedFileError(str(path), 0, "the segment has no start record")
        self._files.sync(path)
        self._synced_bytes = records[-1].end_bytes
        self._remove_older(numbers)
        return _decode_content(records, str(path))

    def start_segment(self, start: SegmentStart, entries: Sequence[LogEntry]) -> None:
        """Begin a new segment with these entries, and remove all older segments."""
        data = b"".join([_encode(start), *map(_encode, entries)])
        number = self._number + 1
        replace_file(self._files, self._path(number), data)
        self._number = number
        self._synced_bytes = len(data)
        self._remove_older(self._segment_numbers())

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries, and block until they are durable.

        Bytes after the last complete record, which an interrupted or failed
        append can leave, are truncated first.

        Raises
        ------
        OSError
            If the segment cannot be truncated, written or synced.
        """
        path = self._path(self._number)
        data = b"".join(map(_encode, entries))
        self._files.truncate(path, self._synced_bytes)
        self._files.append(path, data)
        self._files.sync(path)
        self._synced_bytes += len(data)

    def _remove_older(self, numbers: Sequence[int]) -> None:
        for number in numbers:
            if number < self._number:
                self._files.remove(self._path(number))

    def _segment_numbers(self) -> list[int]:
        names = self._files.names(self._folder)
        return [
            int(name[len(SEGMENT_PREFIX) : -len(SEGMENT_SUFFIX)])
            for name in names
            if name.startswith(SEGMENT_PREFIX) and name.endswith(SEGMENT_SUFFIX)
        ]

    def _path(self, number: int) -> Path:
        name = f"{SEGMENT_PREFIX}{number:0{_NUMBER_DIGITS}d}{SEGMENT_SUFFIX}"
        return self._folder / name


def _encode(value: Any) -> bytes:
    return encode_record(msgspec.msgpack.encode(value))


def _decode_content(records: Sequence[Record], path: str) -> JournalContent:
    start = _decode(records[0], SegmentStart, path)
    entries: list[LogEntry] = []
    for record in records[1:]:
        entry = _decode(record, LogEntry, path)
        position = entry.index - start.index - 1
        if not 0 <= position <= len(entries):
            reason = f"entry {entry.index} does not follow the one before it"
            raise DamagedFileError(path, record.offset_bytes, reason)
        del entries[position:]
        entries.append(entry)
    return JournalContent(start=start, entries=tuple(entries))


def _decode(record: Record, value_type: Any, path: str) -> Any:
    try:
        return msgspec.msgpack.decode(record.payload, type=value_type)
    except msgspec.MsgspecError as error:
        raise DamagedFileError(path, record.offset_bytes, str(error)) from error
