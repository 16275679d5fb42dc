"""Typed access to JSON fields that collects all errors with their location."""

from __future__ import annotations

from typing import Any

import msgspec

from verbenaplank.outcome.finding import Finding
from verbenaplank.protocol.decoding import DECODE_ERRORS

MAX_ITEMS = 10_000
"""Limit of the items of a list, each of which has a reader and its findings."""

JsonObject = dict[str, msgspec.Raw]

_OBJECT = msgspec.json.Decoder(JsonObject)
_OBJECTS = msgspec.json.Decoder(list[JsonObject])
_ITEMS = msgspec.json.Decoder(list[msgspec.Raw])
_TEXT = msgspec.json.Decoder(str)
_INTEGER = msgspec.json.Decoder(int)
_BOOLEAN = msgspec.json.Decoder(bool)


class FieldReader:
    """Reads the fields of one JSON object.

    An invalid field is added to the findings and its default is returned, so that
    one pass finds all errors.

    Parameters
    ----------
    fields
        The undecoded fields of the object.
    findings
        The list that errors are appended to.
    place
        Path of the object within the body; empty for the body itself.
    """

    def __init__(
        self, fields: JsonObject, findings: list[Finding], place: str = ""
    ) -> None:
        self._fields = fields
        self._findings = findings
        self._place = place

    def text(
        self, name: str, *, required: bool = False, longest: int | None = None
    ) -> str:
        """Return a string; ``""`` if the field is missing, empty or invalid."""
        value = self._read(name, _TEXT, required=required)
        if value is None:
            return ""
        if not value:
            self._add_finding(name, "must not be empty")
        if longest is not None and len(value) > longest:
            self._add_finding(name, f"must have at most {longest} characters")
            return ""
        return str(value)

    def integer(self, name: str, *, low: int, high: int) -> int | None:
        """Return an integer in the given range; ``None`` if missing or invalid."""
        value = self._read(name, _INTEGER)
        if value is None:
            return None
        if not low <= value <= high:
            self._add_finding(name, f"must be from {low} to {high}, got {value}")
            return None
        return int(value)

    def boolean(self, name: str) -> bool:
        """Return a boolean, or ``False`` if the field is missing or invalid."""
        return bool(self._read(name, _BOOLEAN))

    def choice(self, name: str, choices: tuple[str, ...]) -> str:
        """Return one of the allowed strings; the first one is the default."""
        value = self._read(name, _TEXT)
        if value is None:
            return choices[0]
        if value not in choices:
            self._add_finding(
                name, f"must be one of {', '.join(choices)}; got {value!r}"
            )
            return choices[0]
        return str(value)

    def nested(self, name: str) -> FieldReader:
        """Return a reader for a nested object, without fields if missing or invalid."""
        fields = self._read(name, _OBJECT) or {}
        return FieldReader(fields, self._findings, self._place_of(name))

    def raw(self, name: str) -> bytes:
        """Return the undecoded JSON text of a required field."""
        value = self._fields.get(name)
        if value is None:
            self._add_finding(name, "missing")
            return b""
        return bytes(value)

    def objects(self, name: str) -> list[FieldReader]:
        """Return a reader for each object in a required list."""
        value = self._fields.get(name)
        if value is None:
            self._add_finding(name, "missing")
            return []
        items = self._decode_objects(name, value)
        place = self._place_of(name)
        return [
            FieldReader(fields, self._findings, f"{place}[{index}]")
            for index, fields in enumerate(items)
        ]

    def reject_unknown(self, names: frozenset[str]) -> None:
        """Add a finding for each field that is not in ``names``."""
        for name in self._fields.keys() - names:
            self._add_finding(name, "unknown field")

    def _decode_objects(self, name: str, value: msgspec.Raw) -> list[JsonObject]:
        try:
            items = _ITEMS.decode(value)
        except DECODE_ERRORS as error:
            self._add_finding(name, str(error))
            return []
        if len(items) > MAX_ITEMS:
            self._add_finding(name, f"must have at most {MAX_ITEMS} items")
            return []
        try:
            return _OBJECTS.decode(value)
        except DECODE_ERRORS:
            return [
                self._decode_object(f"{name}[{i}]", item)
                for i, item in enumerate(items)
            ]

    def _decode_object(self, name: str, value: msgspec.Raw) -> JsonObject:
        try:
            return _OBJECT.decode(value)
        except DECODE_ERRORS as error:
            self._add_finding(name, str(error))
            # With a payload, the reader adds no second finding that it is missing.
            return {"payload": value}

    def _read(
        self, name: str, decoder: msgspec.json.Decoder[Any], *, required: bool = False
    ) -> Any:
        value = self._fields.get(name)
        if value is None:
            if required:
                self._add_finding(name, "missing")
            return None
        try:
            return decoder.decode(value)
        except DECODE_ERRORS as error:
            self._add_finding(name, str(error))
            return None

    def _add_finding(self, name: str, message: str) -> None:
        self._findings.append(Finding(self._place_of(name), message))

    def _place_of(self, name: str) -> str:
        return f"{self._place}.{name}" if self._place else name
