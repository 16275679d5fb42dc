"""Choice of the agents that an entry keeps streams to, without I/O."""

from __future__ import annotations
