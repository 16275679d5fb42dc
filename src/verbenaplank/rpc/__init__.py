"""gRPC between the system's own processes: codec, methods, servers, channels."""

from __future__ import annotations
