"""Settings of each program, read from TOML and checked in one pass."""

from __future__ import annotations
