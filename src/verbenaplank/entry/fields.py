"""Typed reading of JSON objects that collects every fault with its place."""

from __future__ import annotations

from typing import Any

import msgspec

from verbenaplank.outcome.finding import Finding

Object = dict[str, msgspec.Raw]

_OBJECT = msgspec.json.Decoder(Object)
_OBJECTS = msgspec.json.Decoder(list[Object])
_ITEMS = msgspec.json.Decoder(list[msgspec.Raw])
_TEXT = msgspec.json.Decoder(str)
_INTEGER = msgspec.json.Decoder(int)
_BOOLEAN = msgspec.json.Decoder(bool)


class FieldReader:
    """Reads the fields of one JSON object.

    A fault is noted as a finding and the field's default is returned, so that
    one pass finds all faults.
    """

    def __init__(
        self, fields: Object, findings: list[Finding], place: str = ""
    ) -> None:
        self._fields = fields
        self._findings = findings
        self._place = place

    def text(self, name: str, *, required: bool = False) -> str:
        """Return a text, or an empty one."""
        value = self._read(name, _TEXT, required=required)
        if value is None:
            return ""
        if not value:
            self._note(name, "must not be empty")
        return str(value)

    def integer(self, name: str, *, low: int, high: int) -> int | None:
        """Return a whole number within bounds, or ``None``."""
        value = self._read(name, _INTEGER)
        if value is None:
            return None
        if not low <= value <= high:
            self._note(name, f"must be from {low} to {high}, got {value}")
            return None
        return int(value)

    def boolean(self, name: str) -> bool:
        """Return a truth value, or ``False``."""
        return bool(self._read(name, _BOOLEAN))

    def choice(self, name: str, choices: tuple[str, ...]) -> str:
        """Return one of several texts, or the first one."""
        value = self._read(name, _TEXT)
        if value is None:
            return choices[0]
        if value not in choices:
            self._note(name, f"must be one of {', '.join(choices)}; got {value!r}")
            return choices[0]
        return str(value)

    def nested(self, name: str) -> FieldReader:
        """Return a reader of an object; of an empty one if there is none."""
        fields = self._read(name, _OBJECT) or {}
        return FieldReader(fields, self._findings, self._place_of(name))

    def raw(self, name: str) -> bytes:
        """Return the JSON text of a required field."""
        value = self._fields.get(name)
        if value is None:
            self._note(name, "missing")
            return b""
        return bytes(value)

    def objects(self, name: str) -> list[FieldReader]:
        """Return a reader for each object of a required list."""
        value = self._fields.get(name)
        if value is None:
            self._note(name, "missing")
            return []
        try:
            items = _OBJECTS.decode(value)
        except msgspec.MsgspecError:
            items = self._objects_one_by_one(name, value)
        place = self._place_of(name)
        return [
            FieldReader(fields, self._findings, f"{place}[{index}]")
            for index, fields in enumerate(items)
        ]

    def only(self, names: frozenset[str]) -> None:
        """Note each field that is not among ``names``."""
        for name in self._fields.keys() - names:
            self._note(name, "unknown field")

    def _objects_one_by_one(self, name: str, value: msgspec.Raw) -> list[Object]:
        try:
            items = _ITEMS.decode(value)
        except msgspec.MsgspecError as error:
            self._note(name, str(error))
            return []
        return [self._object(f"{name}[{i}]", item) for i, item in enumerate(items)]

    def _object(self, name: str, value: msgspec.Raw) -> Object:
        try:
            return _OBJECT.decode(value)
        except msgspec.MsgspecError as error:
            self._note(name, str(error))
            return {"payload": value}

    def _read(
        self, name: str, decoder: msgspec.json.Decoder[Any], *, required: bool = False
    ) -> Any:
        value = self._fields.get(name)
        if value is None:
            if required:
                self._note(name, "missing")
            return None
        try:
            return decoder.decode(value)
        except msgspec.MsgspecError as error:
            self._note(name, str(error))
            return None

    def _note(self, name: str, message: str) -> None:
        self._findings.append(Finding(self._place_of(name), message))

    def _place_of(self, name: str) -> str:
        return f"{self._place}.{name}" if self._place else name
