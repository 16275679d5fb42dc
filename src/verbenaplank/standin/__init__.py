"""Stand-in backend server for tests, the demonstration and load tests."""

from __future__ import annotations
