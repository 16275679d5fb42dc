"""Network addresses of the form ``host:port``."""

from __future__ import annotations

import attrs

MAX_PORT = 65_535
MAX_SHOWN_CHARACTERS = 100


class InvalidAddressError(ValueError):
    """A text is not an address of the form ``host:port``."""


@attrs.frozen
class Address:
    """Host and port on which a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address of the form ``host:port``.

    Brackets around the host, as in an IPv6 address, are removed.  A connection to the
    address may fail, but only by an ``OSError``.

    Raises
    ------
    InvalidAddressError
        If a part is missing, the host cannot be a name or an IP address, or the port
        is not between 1 and ``MAX_PORT``.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    if not _is_host(host) or not _is_port(port):
        raise InvalidAddressError(f"{text[:MAX_SHOWN_CHARACTERS]!r} is not host:port")
    return Address(host, int(port))


def _is_host(text: str) -> bool:
    if not text or not text.isascii() or not text.isprintable() or " " in text:
        return False
    try:
        text.encode("idna")
    except UnicodeError:
        return False
    return True


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_PORT))
    return is_number and 0 < int(text) <= MAX_PORT
