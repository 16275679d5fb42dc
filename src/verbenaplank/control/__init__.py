"""The control instance: replicated state, member streams, administration."""

from __future__ import annotations
