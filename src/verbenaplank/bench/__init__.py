"""Measurements: load on running processes, policies compared, and slopes."""

from __future__ import annotations
