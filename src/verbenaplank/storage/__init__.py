"""Crash-safe files: the journal of the replicated log, snapshots, small values."""

from __future__ import annotations
