from __future__ import annotations

import pytest

from verbenaplank.http.headers import HeaderFields

SHORT_FIELDS = 4_000


def _fields(*items: tuple[bytes, bytes]) -> HeaderFields:
    fields = HeaderFields()
    for name, value in items:
        fields.add(name, value)
    return fields


def test_fields_are_read_by_names_of_any_case() -> None:
    fields = _fields((b"Host", b"desk:80 \t"), (b"X", b""), (b"Ost", b"\xe9"))
    assert (fields["host"], fields["HOST"]) == ("desk:80", "desk:80")
    assert (fields["x"], fields["ost"]) == ("", "é")
    assert fields.get("desk") is None
    assert dict(fields) == {"host": "desk:80", "x": "", "ost": "é"}


def test_last_field_of_a_name_counts() -> None:
    fields = _fields((b"a", b"1"), (b"A", b"2"))
    assert (fields["a"], len(fields)) == ("2", 1)
    assert fields.raw_items() == [(b"a", b"1"), (b"a", b"2")]


def test_value_cannot_contain_another_field() -> None:
    """Guards against a folded value that is read as a field of its own."""
    fields = _fields((b"a", b"1\nhost:other"), (b"host", b"desk"))
    assert fields["a"] == "1 host:other"
    with pytest.raises(KeyError):
        fields["1"]


def test_many_short_fields_take_little_more_memory_than_they_were_sent_in() -> None:
    """An object for each field took many times the bytes that were sent."""
    fields = HeaderFields()
    for number in range(SHORT_FIELDS):
        fields.add(b"%x" % number, b"")
    assert fields.size_bytes <= SHORT_FIELDS * len(b"fff:\r\n")
