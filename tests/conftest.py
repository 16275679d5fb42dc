"""Makes Hypothesis draw the same examples in every run."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
