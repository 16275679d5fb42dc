"""The programs' command lines."""

from __future__ import annotations
