"""Settings for the speed and the failures of a stand-in backend server."""

from __future__ import annotations

from enum import StrEnum

import attrs
from attrs import validators

MS_PER_S = 1_000.0


class FailureMode(StrEnum):
    """How runs fail: not at all, immediately, or by never ending."""

    NONE = "none"
    FAIL = "fail"
    STALL = "stall"


@attrs.frozen(kw_only=True)
class Behaviour:
    """Speed and failures of the runs of a stand-in backend server.

    Attributes
    ----------
    speed
        Divides the declared run time.
    slow_factor
        Multiplies the run time that follows from ``speed``.
    failure
        How runs fail.
    """

    speed: float = attrs.field(default=1.0, validator=validators.gt(0))
    slow_factor: float = attrs.field(default=1.0, validator=validators.gt(0))
    failure: FailureMode = FailureMode.NONE

    def run_time_s(self, declared_ms: float) -> float:
        """Return the time that a run takes, in seconds, for its declared run time."""
        return declared_ms * self.slow_factor / (self.speed * MS_PER_S)
