"""Benchmarks that run a fleet of processes on this machine."""

from __future__ import annotations
