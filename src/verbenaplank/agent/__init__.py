"""The agent beside a backend server: the last gate before a task starts."""

from __future__ import annotations
