"""Runs the whole system in one process and one event loop, for trials."""

from __future__ import annotations
