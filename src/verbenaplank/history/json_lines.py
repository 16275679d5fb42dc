"""Reads and writes files of events, with one JSON object per line."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import BinaryIO

import attrs
import msgspec

from verbenaplank.history.event import Event

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path
    from types import TracebackType
    from typing import Self


class InvalidHistoryError(ValueError):
    """A line of a history file cannot be decoded as an event."""


@attrs.frozen
class LocatedEvent:
    """An event with the file and line that it was read from.

    Attributes
    ----------
    location
        File name and line number, such as ``agent.jsonl:7``.
    """

    location: str
    event: Event


class EventWriter:
    """Appends events to a file, without buffering; a context manager."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._encoder = msgspec.json.Encoder()
        self._file: BinaryIO | None = None

    def __enter__(self) -> Self:
        self._file = self._path.open("ab", buffering=0)
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._file is not None:
            self._file.close()

    def write(self, event: Event) -> None:
        """Append one event.

        Raises
        ------
        RuntimeError
            If the writer has not been entered.
        OSError
            If the file cannot be written.
        """
        if self._file is None:
            raise RuntimeError("the event writer is not open")
        self._file.write(self._encoder.encode(event) + b"\n")


def read_events(path: Path) -> Iterator[LocatedEvent]:
    """Read the events of one file in order.

    An incomplete last line is skipped, because a process may be killed while it
    writes.

    Raises
    ------
    InvalidHistoryError
        If a complete line is not an event.
    OSError
        If the file cannot be read.
    """
    decoder = msgspec.json.Decoder(Event)
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines[:-1], start=1):
        location = f"{path.name}:{number}"
        try:
            yield LocatedEvent(location, decoder.decode(line))
        except msgspec.MsgspecError as error:
            raise InvalidHistoryError(f"{location}: {error}") from error
