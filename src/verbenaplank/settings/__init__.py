"""Settings of each program, read from TOML; all faults are reported at once."""

from __future__ import annotations
