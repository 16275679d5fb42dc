"""Budgets that limit retries and hedges to a small share of all starts."""

from __future__ import annotations

RETRY_SHARE = 0.1
HEDGE_SHARE = 0.02
MAX_SAVED_STARTS = 10.0


class StartBudget:
    """Token bucket of extra starts, filled in proportion to the first starts.

    Parameters
    ----------
    share
        Extra starts allowed per first start.
    max_saved
        Largest number of unused extra starts; also the number at the beginning.
    """

    def __init__(self, share: float, max_saved: float = MAX_SAVED_STARTS) -> None:
        self._share = share
        self._max_saved = max_saved
        self._saved = max_saved

    def record_starts(self, tasks: int = 1) -> None:
        """Record first starts, each of which adds a share of an extra start."""
        self._saved = min(self._max_saved, self._saved + self._share * tasks)

    def try_take(self) -> bool:
        """Take one extra start if there is one; return whether there was."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def retry_budget() -> StartBudget:
    """Return the budget of an entry's retries."""
    return StartBudget(RETRY_SHARE)


def hedge_budget() -> StartBudget:
    """Return the budget of an entry's hedges."""
    return StartBudget(HEDGE_SHARE)
