"""Injected time: the decisions never read a clock of their own."""

from __future__ import annotations
