"""Admission: what may enter, and in which order it leaves the queue."""

from __future__ import annotations
