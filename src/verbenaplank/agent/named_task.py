"""The payload of a dispatch for a backend server that knows tasks by name."""

from __future__ import annotations

import attrs
import msgspec


@attrs.frozen(kw_only=True)
class NamedTask:
    """A task under the name that the backend server knows.

    Attributes
    ----------
    content
        What the backend server is to run, passed on unread.
    """

    name: str
    content: str


_decoder = msgspec.msgpack.Decoder(NamedTask)


def encode_task(task: NamedTask) -> bytes:
    """Encode a task as a dispatch's payload."""
    return msgspec.msgpack.encode(task)


def decode_task(payload: bytes) -> NamedTask:
    """Decode a dispatch's payload.

    Raises
    ------
    msgspec.MsgspecError
        If it is not a named task.
    """
    return _decoder.decode(payload)
