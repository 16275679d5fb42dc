"""Load tests, simulations of placement policies, and cost measurements."""

from __future__ import annotations
