from __future__ import annotations

import msgspec
import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from verbenaplank.protocol.work import Revoke
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.codec import MAX_MESSAGE_BYTES
from verbenaplank.rpc.codec import MessagePackCodec

REVOKE = Revoke(dispatch_id=1, job_id="j", task_index=2)


def test_encoded_message_decodes_to_an_equal_message() -> None:
    codec = MessagePackCodec()
    message = ToAgent(revokes=(REVOKE,))

    assert codec.decode(codec.encode(message, ToAgent), ToAgent) == message


def test_unknown_field_of_a_newer_release_is_ignored() -> None:
    """Processes of two releases talk to each other during an upgrade."""
    data = msgspec.msgpack.encode({"revokes": [], "added_later": 1})

    assert MessagePackCodec().decode(data, ToAgent) == ToAgent()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\x00",
        msgspec.msgpack.encode({"revokes": [{"dispatch_id": "one"}]}),
        msgspec.msgpack.encode(ToAgent(revokes=(REVOKE,)))[:-3],
    ],
)
def test_truncated_or_mistyped_message_is_rejected_with_the_expected_type(
    data: bytes,
) -> None:
    """A message that fails to decode must be rejected, not passed on in part."""
    with pytest.raises(GRPCError, match="not a ToAgent") as error:
        MessagePackCodec().decode(data, ToAgent)

    assert error.value.status is Status.INVALID_ARGUMENT


def test_too_large_message_is_rejected_on_both_sides() -> None:
    """Guard against memory exhaustion by one large message."""
    codec = MessagePackCodec()

    with pytest.raises(GRPCError) as on_decode:
        codec.decode(b"\x00" * (MAX_MESSAGE_BYTES + 1), ToAgent)
    with pytest.raises(GRPCError) as on_encode:
        codec.encode({"data": b"\x00" * MAX_MESSAGE_BYTES}, ToAgent)

    assert on_decode.value.status is Status.RESOURCE_EXHAUSTED
    assert on_encode.value.status is Status.RESOURCE_EXHAUSTED


def test_deeply_nested_message_is_an_invalid_argument() -> None:
    """It ended the call as an unknown error of the handler."""
    nested = b"\x91" * 100_000
    with pytest.raises(GRPCError) as raised:
        MessagePackCodec().decode(b"\x81\xa1a" + nested, ToAgent)
    assert raised.value.status is Status.INVALID_ARGUMENT
