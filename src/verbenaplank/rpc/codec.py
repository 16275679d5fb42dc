"""MessagePack codec for gRPC messages defined as ``attrs`` classes."""

from __future__ import annotations

from typing import Any

import msgspec
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError

from verbenaplank.protocol.decoding import DECODE_ERRORS

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Size limit of an encoded message that a process sends or accepts."""


class MessagePackCodec(CodecBase):
    """Encodes messages as MessagePack and validates their types on decoding."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[type, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message.

        Raises
        ------
        GRPCError
            ``RESOURCE_EXHAUSTED`` if the encoded message is longer than
            ``MAX_MESSAGE_BYTES``.
        """
        data = self._encoder.encode(message)
        _check_size(len(data), message_type)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one message.

        Raises
        ------
        GRPCError
            ``RESOURCE_EXHAUSTED`` if the data is longer than ``MAX_MESSAGE_BYTES``,
            ``INVALID_ARGUMENT`` if it is truncated or not of ``message_type``.
        """
        _check_size(len(data), message_type)
        try:
            return self._decoder_of(message_type).decode(data)
        except DECODE_ERRORS as error:
            detail = f"the message is not a {message_type.__name__}: {error}"
            raise GRPCError(Status.INVALID_ARGUMENT, detail) from error

    def _decoder_of(self, message_type: type) -> msgspec.msgpack.Decoder[Any]:
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder


def _check_size(size_bytes: int, message_type: type) -> None:
    if size_bytes > MAX_MESSAGE_BYTES:
        raise GRPCError(
            Status.RESOURCE_EXHAUSTED,
            f"a {message_type.__name__} of {size_bytes} bytes is over the limit "
            f"of {MAX_MESSAGE_BYTES} bytes",
        )
