"""A stand-in backend server for tests, the demo and load runs."""

from __future__ import annotations
