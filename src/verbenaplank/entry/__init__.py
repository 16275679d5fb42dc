"""The entry: serves callers over HTTP and dispatches their tasks to agents."""

from __future__ import annotations
