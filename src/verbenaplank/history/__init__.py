"""Histories of the events of all processes, and a checker for their guarantees."""

from __future__ import annotations
