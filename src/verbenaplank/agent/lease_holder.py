"""Whose lease a run depends on."""

from __future__ import annotations

import math
from typing import Protocol

import attrs


class LeaseHolder(Protocol):
    """An entry that owns runs.

    Attributes
    ----------
    lease_until_s
        Monotonic time at which its lease at the agent expires.
    """

    lease_until_s: float


@attrs.define
class UnlimitedLeaseHolder:
    """Owner of runs that need not end with their entry."""

    lease_until_s: float = math.inf
