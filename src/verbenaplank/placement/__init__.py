"""Choice of the backend server that runs a task."""

from __future__ import annotations
