"""Small files that are replaced atomically, so that a crash damages none."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from verbenaplank.storage.errors import DamagedFileError
from verbenaplank.storage.records import decode_single_record
from verbenaplank.storage.records import encode_record

if TYPE_CHECKING:
    from pathlib import Path

    from verbenaplank.storage.files import Files

TEMPORARY_SUFFIX = ".tmp"


def replace_file(files: Files, path: Path, data: bytes) -> None:
    """Replace a file atomically: after a crash it is the old or the new one."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    files.write(temporary, data)
    files.sync(temporary)
    files.rename(temporary, path)
    files.sync_folder(path.parent)


def save_value(files: Files, path: Path, value: Any) -> None:
    """Replace a file atomically by one that holds an encoded value."""
    replace_file(files, path, encode_record(msgspec.msgpack.encode(value)))


def load_value(files: Files, path: Path, value_type: Any) -> Any:
    """Return the value in a file, or ``None`` if there is no such file.

    Raises
    ------
    DamagedFileError
        If the file is damaged or does not hold exactly one value of that type.
    """
    data = files.read(path)
    if data is None:
        return None
    payload = decode_single_record(data, str(path))
    try:
        return msgspec.msgpack.decode(payload, type=value_type)
    except msgspec.MsgspecError as error:
        raise DamagedFileError(str(path), 0, str(error)) from error
