"""The agent beside a backend server, which decides whether and when a task starts."""

from __future__ import annotations
