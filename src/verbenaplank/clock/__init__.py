"""Clocks that are passed to decision-making code, so that tests can set the time."""

from __future__ import annotations
