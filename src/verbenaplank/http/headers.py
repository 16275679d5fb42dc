"""Header fields of one request in about as much memory as they were sent in."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from functools import lru_cache

SEPARATOR = b":"
END = b"\n"
WHITESPACE = b" \t"
MAX_KEYS = 64
"""Number of names whose encoded form is kept; programs read fewer."""


class HeaderFields(Mapping[str, str]):
    """Header fields by name, whose letters' case does not matter.

    The fields are kept as text and decoded when they are read: few are ever read, and
    objects for each of them would take many times the memory of a short field.
    The last field of a name counts.
    """

    def __init__(self) -> None:
        self._text = bytearray(END)

    def add(self, name: bytes, value: bytes) -> None:
        """Add a field, without the whitespace after its value."""
        text = value.rstrip(WHITESPACE)
        if END in text:
            text = text.replace(END, b" ")
        self._text += name.lower() + SEPARATOR + text + END

    @property
    def size_bytes(self) -> int:
        """Return the memory that the fields take."""
        return len(self._text)

    def raw_items(self) -> list[tuple[bytes, bytes]]:
        """Return all fields as they were received, with names in lower case."""
        lines = bytes(self._text).split(END)[1:-1]
        return [_split(line) for line in lines]

    def find(self, name: str) -> str | None:
        """Return the last field of a name, or ``None`` if there is none."""
        key = _key(name)
        begin = self._text.rfind(key)
        if begin < 0:
            return None
        begin += len(key)
        end = self._text.index(END, begin)
        return self._text[begin:end].decode("latin-1")

    def __getitem__(self, name: str) -> str:
        value = self.find(name)
        if value is None:
            raise KeyError(name)
        return value

    def __iter__(self) -> Iterator[str]:
        return iter({name.decode("latin-1") for name, _ in self.raw_items()})

    def __len__(self) -> int:
        return sum(1 for _ in self)


@lru_cache(maxsize=MAX_KEYS)
def _key(name: str) -> bytes:
    return END + name.lower().encode("latin-1") + SEPARATOR


def _split(line: bytes) -> tuple[bytes, bytes]:
    name, _, value = line.partition(SEPARATOR)
    return name, value
