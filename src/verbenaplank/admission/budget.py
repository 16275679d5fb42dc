"""Budgets that limit retries and hedges to a small share of all starts."""

from __future__ import annotations

RETRY_SHARE = 0.1
HEDGE_SHARE = 0.02
MAX_TOKENS = 10.0


class StartBudget:
    """Token bucket of extra starts, filled in proportion to first starts.

    A retry or a hedge is an extra start and takes one token.

    Parameters
    ----------
    share
        Tokens added, and so extra starts allowed, per first start.
    max_tokens
        Capacity of the bucket, which is full at the beginning.
    """

    def __init__(self, share: float, max_tokens: float = MAX_TOKENS) -> None:
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def record_starts(self, tasks: int = 1) -> None:
        """Record first starts, each of which adds ``share`` tokens."""
        self._tokens = min(self._max_tokens, self._tokens + self._share * tasks)

    def try_take(self) -> bool:
        """Take the token for one extra start; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def retry_budget() -> StartBudget:
    """Return the budget of an entry's retries."""
    return StartBudget(RETRY_SHARE)


def hedge_budget() -> StartBudget:
    """Return the budget of an entry's hedges."""
    return StartBudget(HEDGE_SHARE)
