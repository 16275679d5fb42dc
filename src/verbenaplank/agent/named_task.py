"""Payload of a dispatch to a backend server that identifies tasks by name."""

from __future__ import annotations

import attrs
import msgspec


@attrs.frozen(kw_only=True)
class NamedTask:
    """Name and content of a task for the backend server.

    Attributes
    ----------
    name
        Name by which the backend server identifies the task.
    content
        Specification of the work, which the agent does not interpret.
    workload
        Name of a kind of task; empty if unknown.
    """

    name: str
    content: str
    workload: str = ""


_decoder = msgspec.msgpack.Decoder(NamedTask)


def encode_task(task: NamedTask) -> bytes:
    """Encode a task as the payload of a dispatch."""
    return msgspec.msgpack.encode(task)


def decode_task(payload: bytes) -> NamedTask:
    """Decode the task in the payload of a dispatch.

    Raises
    ------
    msgspec.MsgspecError
        If the payload is not a named task in MessagePack.
    """
    return _decoder.decode(payload)
