"""Job identifiers: version 7 UUIDs, whose first 48 bits are a timestamp."""

from __future__ import annotations

from uuid import UUID

from uuid_utils import uuid7

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80


class InvalidJobIdError(ValueError):
    """The text is not a UUID of version 7."""


def new_job_id() -> str:
    """Return a new identifier with the current time as its timestamp."""
    return str(uuid7())


def parse_job_id(text: str) -> str:
    """Return the canonical form of a job identifier.

    Raises
    ------
    InvalidJobIdError
        If the text is not a UUID of version 7.
    """
    try:
        value = UUID(text)
    except ValueError as error:
        raise InvalidJobIdError(f"{text!r} is not a UUID") from error
    if value.version != UUID_VERSION:
        raise InvalidJobIdError(f"{text!r} is not a UUID of version 7")
    return str(value)


def job_timestamp_ms(job_id: str) -> int:
    """Return the timestamp of an identifier, in milliseconds since the Unix epoch.

    Parameters
    ----------
    job_id
        Identifier in canonical form.
    """
    return UUID(job_id).int >> TIMESTAMP_SHIFT_BITS
