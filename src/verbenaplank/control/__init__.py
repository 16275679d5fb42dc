"""The control instance: replicated state, streams to members and administration."""

from __future__ import annotations
