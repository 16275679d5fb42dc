"""Claims, by which at most one entry becomes the owner of a job identifier."""

from __future__ import annotations
