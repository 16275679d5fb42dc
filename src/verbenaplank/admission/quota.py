"""Team quotas that each entry enforces without exchanging a message per task."""

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
    """Result of the check of a request against its team's quota."""

    WITHIN = "within"
    TOO_MANY_STARTS = "too_many_starts"
    TOO_MANY_IN_PROGRESS = "too_many_in_progress"
    UNKNOWN_TEAM = "unknown_team"


@attrs.frozen(kw_only=True)
class QuotaDecision:
    """Result of a quota check, with the time after which a retry may succeed."""

    state: QuotaState
    retry_after_s: float = 0.0


@attrs.define
class _TeamUsage:
    tokens: float
    refilled_s: float
    in_progress: int = 0


class TeamQuotas:
    """Limits each team's starts per second and tasks in progress at one entry.

    A token bucket per team, which holds ``BURST_S`` seconds of its rate, limits the
    starts.  Every entry enforces an equal part of a team's quota: the limits divided by
    the number of entries.
    """

    def __init__(self) -> None:
        self._rules: Mapping[str, TeamRules] = {}
        self._entries = 1
        self._usages: dict[str, _TeamUsage] = {}

    def configure(self, rules: Mapping[str, TeamRules], entries: int = 1) -> None:
        """Set the rules in force and the number of entries that share the quotas."""
        self._rules = rules
        self._entries = max(entries, 1)
        for team in [team for team in self._usages if team not in rules]:
            del self._usages[team]

    def copy_for(self, team: str) -> TeamQuotas:
        """Return quotas with the same rules, and with a copy of one team's usage."""
        copied = TeamQuotas()
        copied.configure(self._rules, self._entries)
        usage = self._usages.get(team)
        if usage is not None:
            copied._usages[team] = attrs.evolve(usage)
        return copied

    def admit(self, team: str, tasks: int, now_s: float) -> QuotaDecision:
        """Admit all tasks of a request, or none.

        A request larger than the bucket is admitted while the bucket is full.
        Its tokens then become negative, so that the team's later requests are
        refused until enough tokens have been added again.
        """
        rules = self._rules.get(team)
        if rules is None:
            return QuotaDecision(state=QuotaState.UNKNOWN_TEAM)
        rate_per_s = max(rules.max_starts_per_s / self._entries, MIN_RATE_PER_S)
        burst = rate_per_s * BURST_S
        usage = self._refill_tokens(team, rate_per_s, now_s)
        if usage.in_progress + tasks > max(rules.max_in_progress / self._entries, 1):
            return QuotaDecision(
                state=QuotaState.TOO_MANY_IN_PROGRESS, retry_after_s=BURST_S
            )
        missing = min(float(tasks), burst) - usage.tokens
        if missing > 0.0:
            return QuotaDecision(
                state=QuotaState.TOO_MANY_STARTS, retry_after_s=missing / rate_per_s
            )
        usage.tokens -= tasks
        usage.in_progress += tasks
        return QuotaDecision(state=QuotaState.WITHIN)

    def record_ended(self, team: str, tasks: int = 1) -> None:
        """Record that admitted tasks are no longer in progress."""
        usage = self._usages.get(team)
        if usage is not None:
            usage.in_progress = max(0, usage.in_progress - tasks)

    def _refill_tokens(self, team: str, rate_per_s: float, now_s: float) -> _TeamUsage:
        burst = rate_per_s * BURST_S
        usage = self._usages.get(team)
        if usage is None:
            usage = _TeamUsage(burst, now_s)
            self._usages[team] = usage
        grown = usage.tokens + rate_per_s * (now_s - usage.refilled_s)
        usage.tokens = min(burst, grown)
        usage.refilled_s = now_s
        return usage
