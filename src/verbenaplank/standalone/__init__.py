"""Runs the whole system in one event loop, for trials."""

from __future__ import annotations
