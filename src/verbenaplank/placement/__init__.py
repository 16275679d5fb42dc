"""Placement: which backend server runs a task."""

from __future__ import annotations
