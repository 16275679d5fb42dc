"""Helpers for asyncio tasks."""

from __future__ import annotations
