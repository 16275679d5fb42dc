from __future__ import annotations

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from verbenaplank.rpc.address import Address
from verbenaplank.rpc.address import InvalidAddressError
from verbenaplank.rpc.address import parse_address

ADDRESS_LIKE = st.from_regex(r"[a-z.\[\]:]{0,70}:[0-9]{1,7}", fullmatch=True)


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("10.0.0.9:8080", Address("10.0.0.9", 8080)),
        ("[::1]:1", Address("::1", 1)),
        ("one.example:65535", Address("one.example", 65535)),
    ],
)
def test_address_is_parsed(text: str, address: Address) -> None:
    assert parse_address(text) == address


@pytest.mark.parametrize(
    "text",
    [
        "",
        "nowhere",
        ":80",
        "[]:80",
        "host:",
        "host:0",
        "host:65536",
        "10.0.0.9:808080",
        "host:" + "9" * 5_000,
        "host:-1",
        "host:\u0663",
        "a..b:80",
        "a" * 64 + ":80",
        "h\u00f6st:80",
        "ho st:80",
        "host\r\nX:80",
        "host\x00:80",
    ],
)
def test_text_that_is_no_address_is_rejected(text: str) -> None:
    """Each of them ended the caller by an error that no connection raises.

    The event loop raises OverflowError for a port and UnicodeError or ValueError for
    a host that cannot be.
    """
    with pytest.raises(InvalidAddressError):
        parse_address(text)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(max_size=30) | ADDRESS_LIKE)
@example("xn--\udcff:1")
def test_parsed_address_can_be_connected_to_or_refused(text: str) -> None:
    try:
        address = parse_address(text)
    except InvalidAddressError:
        return
    assert 0 < address.port < 65_536
    assert address.host.encode("idna").decode("latin-1").isprintable()
