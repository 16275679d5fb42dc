"""The entry: HTTP for callers, and one pipeline from a request to its answer."""

from __future__ import annotations
