"""Demonstration that runs each instance as a process, on free ports."""

from __future__ import annotations
