"""Network addresses of the form ``host:port``."""

from __future__ import annotations

import attrs


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

    Brackets around the host, as in an IPv6 address, are removed.

    Raises
    ------
    InvalidAddressError
        If a part is missing or the port is not a number.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal():
        raise InvalidAddressError(f"{text!r} is not of the form host:port")
    return Address(host.strip("[]"), int(port))
