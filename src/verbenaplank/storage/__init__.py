"""Crash-safe files: the journal of the log, snapshots and small durable values."""

from __future__ import annotations
