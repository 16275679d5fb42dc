"""How a stand-in backend server behaves."""

from __future__ import annotations

from enum import StrEnum

import attrs
from attrs import validators

MS_PER_S = 1_000.0


class FailureMode(StrEnum):
    """How runs go wrong: not at all, all failing at once, or never ending."""

    NONE = "none"
    FAIL = "fail"
    STALL = "stall"


@attrs.frozen(kw_only=True)
class Behaviour:
    """Behaviour of a stand-in backend server, for the runs that start from now.

    Attributes
    ----------
    speed
        A run takes its declared run time divided by this.
    slow_factor
        A run takes this many times longer than its speed implies.
    """

    speed: float = attrs.field(default=1.0, validator=validators.gt(0))
    slow_factor: float = attrs.field(default=1.0, validator=validators.gt(0))
    failure: FailureMode = FailureMode.NONE

    def run_time_s(self, declared_ms: float) -> float:
        """Return how many seconds a run of a declared run time takes."""
        return declared_ms * self.slow_factor / (self.speed * MS_PER_S)
