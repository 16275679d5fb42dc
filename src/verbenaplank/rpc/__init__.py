"""gRPC between the processes of the system: codec, methods, servers, channels."""

from __future__ import annotations
