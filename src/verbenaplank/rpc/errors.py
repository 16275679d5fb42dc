"""Exception types that gRPC calls and streams between processes raise."""

from __future__ import annotations

from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError

RPC_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)
"""Raised if the peer refuses a call, is unreachable or does not answer.

``TimeoutError`` is a subclass of ``OSError``.
"""
