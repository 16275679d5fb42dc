"""Settings and validators that several programs share."""

from __future__ import annotations

from typing import Any

import attrs
from attrs import validators

from verbenaplank.rpc.address import Address

MAX_PORT = 65_535


def port_number(instance: object, attribute: attrs.Attribute[Any], value: Any) -> None:
    """Check that a value is a port number; 0 lets the system choose a port.

    Raises
    ------
    ValueError
        If the value is out of range.
    """
    validators.ge(0)(instance, attribute, value)
    validators.le(MAX_PORT)(instance, attribute, value)


def positive(instance: object, attribute: attrs.Attribute[Any], value: Any) -> None:
    """Check that a number is greater than zero.

    Raises
    ------
    ValueError
        If it is zero or less.
    """
    validators.gt(0)(instance, attribute, value)


def not_empty(instance: object, attribute: attrs.Attribute[Any], value: Any) -> None:
    """Check that a string is not empty.

    Raises
    ------
    ValueError
        If it is empty.
    """
    validators.min_len(1)(instance, attribute, value)


@attrs.frozen(kw_only=True)
class Listen:
    """Address that a program listens on; port 0 lets the system choose a port."""

    host: str = attrs.field(validator=not_empty)
    port: int = attrs.field(validator=port_number)

    @property
    def address(self) -> Address:
        """Return the host and port as an address."""
        return Address(self.host, self.port)


@attrs.frozen(kw_only=True)
class ControlPeer:
    """Id, RPC address and data centre of a control instance, for its callers."""

    instance_id: str = attrs.field(validator=not_empty)
    host: str = attrs.field(validator=not_empty)
    port: int = attrs.field(validator=port_number)
    data_centre: str = ""

    @property
    def address(self) -> Address:
        """Return the host and port as an address."""
        return Address(self.host, self.port)


@attrs.frozen(kw_only=True)
class TlsSettings:
    """Paths of the PEM files for mutual TLS between the processes."""

    key_path: str = attrs.field(validator=not_empty)
    certificate_path: str = attrs.field(validator=not_empty)
    authority_path: str = attrs.field(validator=not_empty)


@attrs.frozen(kw_only=True)
class LoggingSettings:
    """Logging as JSON lines to stdout, from the given level upwards."""

    level: str = attrs.field(
        default="INFO",
        validator=validators.in_(("DEBUG", "INFO", "WARNING", "ERROR")),
    )
