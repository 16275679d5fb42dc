"""Accepting connections, and limits of how many there are and what they hold."""

from __future__ import annotations
