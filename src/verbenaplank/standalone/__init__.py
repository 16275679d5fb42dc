"""All roles in one event loop, for trying the system out."""

from __future__ import annotations
