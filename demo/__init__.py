"""A demonstration: every role as a process of its own, on free ports."""

from __future__ import annotations
