"""Identifiers that callers and processes make."""

from __future__ import annotations
