"""Claims: at most one entry owns a job identifier."""

from __future__ import annotations
