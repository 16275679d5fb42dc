"""The synced journal of the replicated log; each snapshot starts a new segment.

The first record of a segment names the entry before its first one; each further
record is an entry.  An entry replaces earlier ones with the same or a higher
index, so a segment is never truncated except for an incomplete record at its
end.
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
_SEGMENT_NUMBER_DIGITS = 20


@attrs.frozen(kw_only=True)
class SegmentStart:
    """Index and term of the log entry before the first one of a segment."""

    index: int
    term: int


@attrs.frozen(kw_only=True)
class JournalContent:
    """The start and the entries of the newest segment."""

    start: SegmentStart
    entries: tuple[LogEntry, ...]


class Journal:
    """The journal in a data folder; only its newest segment is in use."""

    def __init__(self, folder: Path, files: Files) -> None:
        self._folder = folder
        self._files = files
        self._segment_number = 0
        self._synced_bytes = 0

    def load(self) -> JournalContent | None:
        """Read the newest segment, without an incomplete record at its end.

        Returns
        -------
        JournalContent or None
            ``None`` if the folder has no segment.

        Raises
        ------
        DamagedFileError
            If a record is damaged or the indexes of the entries have a gap.
        """
        numbers = self._segment_numbers()
        if not numbers:
            return None
        self._segment_number = numbers[-1]
        path = self._segment_path(self._segment_number)
        data = self._files.read(path) or b""
        records = list(decode_records(data, str(path)))
        if not records:
            raise DamagedFileError(str(path), 0, "the segment has no start record")
        self._files.sync(path)
        self._synced_bytes = records[-1].end_bytes
        self._remove_older_segments(numbers)
        return _decode_segment(records, str(path))

    def start_segment(self, start: SegmentStart, entries: Sequence[LogEntry]) -> None:
        """Write a new segment with these entries and remove all older ones."""
        data = b"".join([_encode_value(start), *map(_encode_value, entries)])
        number = self._segment_number + 1
        replace_file(self._files, self._segment_path(number), data)
        self._segment_number = number
        self._synced_bytes = len(data)
        self._remove_older_segments(self._segment_numbers())

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries to the newest segment and sync it.

        Bytes after the last synced record are cut off first.  They are left by
        a crash in the middle of a record or by an append that failed.

        Raises
        ------
        OSError
            If the segment cannot be written or synced.
        """
        path = self._segment_path(self._segment_number)
        data = b"".join(map(_encode_value, entries))
        self._files.truncate(path, self._synced_bytes)
        self._files.append(path, data)
        self._files.sync(path)
        self._synced_bytes += len(data)

    def _remove_older_segments(self, numbers: Sequence[int]) -> None:
        for number in numbers:
            if number < self._segment_number:
                self._files.remove(self._segment_path(number))

    def _segment_numbers(self) -> list[int]:
        names = self._files.names(self._folder)
        return [
            int(name[len(SEGMENT_PREFIX) : -len(SEGMENT_SUFFIX)])
            for name in names
            if name.startswith(SEGMENT_PREFIX) and name.endswith(SEGMENT_SUFFIX)
        ]

    def _segment_path(self, number: int) -> Path:
        name = f"{SEGMENT_PREFIX}{number:0{_SEGMENT_NUMBER_DIGITS}d}{SEGMENT_SUFFIX}"
        return self._folder / name


def _encode_value(value: Any) -> bytes:
    return encode_record(msgspec.msgpack.encode(value))


def _decode_segment(records: Sequence[Record], path: str) -> JournalContent:
    start = _decode_value(records[0], SegmentStart, path)
    entries: list[LogEntry] = []
    for record in records[1:]:
        entry = _decode_value(record, LogEntry, path)
        position = entry.index - start.index - 1
        if not 0 <= position <= len(entries):
            reason = f"entry {entry.index} does not follow the previous entry"
            raise DamagedFileError(path, record.offset_bytes, reason)
        del entries[position:]
        entries.append(entry)
    return JournalContent(start=start, entries=tuple(entries))


def _decode_value(record: Record, value_type: Any, path: str) -> Any:
    try:
        return msgspec.msgpack.decode(record.payload, type=value_type)
    except msgspec.MsgspecError as error:
        raise DamagedFileError(path, record.offset_bytes, str(error)) from error
