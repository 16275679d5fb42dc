"""Clocks, injected into the code that makes decisions so that tests set the time."""

from __future__ import annotations
