"""Record format of all storage files: length, checksums and payload.

A record is a header of three little-endian 32-bit numbers (length, CRC-32 of
the payload, CRC-32 of the first two numbers) and the payload.  The header has
a checksum of its own: without it, a damaged length would look like a record
that a crash has cut short.
"""

from __future__ import annotations

import struct
import zlib
from typing import TYPE_CHECKING

import attrs

from verbenaplank.storage.errors import DamagedFileError

if TYPE_CHECKING:
    from collections.abc import Iterator

_LENGTH_AND_CHECKSUM = struct.Struct("<II")
_HEADER = struct.Struct("<III")
HEADER_BYTES = _HEADER.size


@attrs.frozen
class Record:
    """A payload and the offset in bytes at which its record begins."""

    offset_bytes: int
    payload: bytes

    @property
    def end_bytes(self) -> int:
        """Return the offset in bytes at which the record ends."""
        return self.offset_bytes + HEADER_BYTES + len(self.payload)


def encode_record(payload: bytes) -> bytes:
    """Return a payload with its record header."""
    length = len(payload)
    checksum = zlib.crc32(payload)
    header_checksum = zlib.crc32(_LENGTH_AND_CHECKSUM.pack(length, checksum))
    return _HEADER.pack(length, checksum, header_checksum) + payload


def decode_records(data: bytes, path: str) -> Iterator[Record]:
    """Yield the complete records of a file, up to one that was cut short.

    A crash can also leave zeros that were never overwritten at the end of the
    file; they are skipped.

    Raises
    ------
    DamagedFileError
        If a record has its full length but a checksum does not match.
    """
    offset = 0
    while offset < len(data):
        record = _decode_record(data, offset, path)
        if record is None:
            return
        yield record
        offset = record.end_bytes


def decode_single_record(data: bytes, path: str) -> bytes:
    """Return the payload of a file that holds exactly one record.

    Raises
    ------
    DamagedFileError
        If the file is damaged or holds anything but one complete record.
    """
    records = list(decode_records(data, path))
    if len(records) != 1 or records[0].end_bytes != len(data):
        raise DamagedFileError(path, 0, "expected exactly one complete record")
    return records[0].payload


def _decode_record(data: bytes, offset: int, path: str) -> Record | None:
    start = offset + HEADER_BYTES
    if start > len(data) or not any(data[offset:]):
        return None
    length, checksum, header_checksum = _HEADER.unpack_from(data, offset)
    if header_checksum != zlib.crc32(_LENGTH_AND_CHECKSUM.pack(length, checksum)):
        raise DamagedFileError(path, offset, "the record's header is damaged")
    if start + length > len(data):
        return None
    payload = data[start : start + length]
    if zlib.crc32(payload) != checksum:
        raise DamagedFileError(
            path, offset, "the checksum of the record's payload does not match"
        )
    return Record(offset, payload)
