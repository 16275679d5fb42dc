"""Settings of each program, read from TOML files and validated as a whole."""

from __future__ import annotations
