"""The configuration: one document of sections, each owned by a team."""

from __future__ import annotations
