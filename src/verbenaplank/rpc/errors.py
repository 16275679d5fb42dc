"""What a call or stream between two processes fails with."""

from __future__ import annotations

from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError

RPC_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)
"""The peer refused, is gone, or did not answer; ``OSError`` covers timeouts."""
