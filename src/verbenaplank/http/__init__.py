"""HTTP server and ASGI adapter for the interfaces of callers and operators."""

from __future__ import annotations
