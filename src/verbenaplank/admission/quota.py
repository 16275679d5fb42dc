"""Quotas of teams, enforced at each entry without a message per task."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenaplank.configuration.effective import TeamRules

BURST_S = 1.0
MIN_RATE_PER_S = 1e-3


class QuotaState(StrEnum):
    """What a quota says to a request."""

    WITHIN = "within"
    TOO_MANY_STARTS = "too_many_starts"
    TOO_MANY_IN_PROGRESS = "too_many_in_progress"
    UNKNOWN_TEAM = "unknown_team"


@attrs.frozen(kw_only=True)
class QuotaDecision:
    """A quota's answer, with the time after which a retry makes sense."""

    state: QuotaState
    retry_after_s: float = 0.0


@attrs.define
class _TeamUse:
    tokens: float
    refilled_s: float
    in_progress: int = 0


class TeamQuotas:
    """Starts a second and tasks in progress of each team, at one entry.

    Every entry enforces its equal part of a team's quota; ``entries`` is how
    many entries there are.
    """

    def __init__(self) -> None:
        self._rules: Mapping[str, TeamRules] = {}
        self._entries = 1
        self._uses: dict[str, _TeamUse] = {}

    def configure(self, rules: Mapping[str, TeamRules], entries: int = 1) -> None:
        """Take the rules in force and the number of entries."""
        self._rules = rules
        self._entries = max(entries, 1)
        for team in [team for team in self._uses if team not in rules]:
            del self._uses[team]

    def admit(self, team: str, tasks: int, now_s: float) -> QuotaDecision:
        """Admit all tasks of a request, or none.

        A request larger than the whole burst is admitted when the burst is
        untouched, and the team's later requests wait for it.
        """
        rules = self._rules.get(team)
        if rules is None:
            return QuotaDecision(state=QuotaState.UNKNOWN_TEAM)
        rate_per_s = max(rules.max_starts_per_s / self._entries, MIN_RATE_PER_S)
        burst = rate_per_s * BURST_S
        use = self._refilled(team, rate_per_s, now_s)
        if use.in_progress + tasks > max(rules.max_in_progress / self._entries, 1):
            return QuotaDecision(
                state=QuotaState.TOO_MANY_IN_PROGRESS, retry_after_s=BURST_S
            )
        missing = min(float(tasks), burst) - use.tokens
        if missing > 0.0:
            return QuotaDecision(
                state=QuotaState.TOO_MANY_STARTS, retry_after_s=missing / rate_per_s
            )
        use.tokens -= tasks
        use.in_progress += tasks
        return QuotaDecision(state=QuotaState.WITHIN)

    def record_ended(self, team: str, tasks: int = 1) -> None:
        """Note that tasks which were admitted are no longer in progress."""
        use = self._uses.get(team)
        if use is not None:
            use.in_progress = max(0, use.in_progress - tasks)

    def _refilled(self, team: str, rate_per_s: float, now_s: float) -> _TeamUse:
        burst = rate_per_s * BURST_S
        use = self._uses.get(team)
        if use is None:
            use = _TeamUse(burst, now_s)
            self._uses[team] = use
        grown = use.tokens + rate_per_s * (now_s - use.refilled_s)
        use.tokens = min(burst, grown)
        use.refilled_s = now_s
        return use
