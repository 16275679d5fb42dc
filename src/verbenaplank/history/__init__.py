"""Histories of concurrent runs: typed events and the checks over them."""

from __future__ import annotations
