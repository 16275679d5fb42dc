"""Identifiers of jobs, created by callers or by entries."""

from __future__ import annotations
