"""Logs as JSON lines, and metrics."""

from __future__ import annotations
