"""Budgets that keep retries and hedges a small part of all starts."""

from __future__ import annotations

RETRY_SHARE = 0.1
HEDGE_SHARE = 0.02
MAX_SAVED = 10.0


class StartBudget:
    """Allows extra starts as a share of the first starts.

    Parameters
    ----------
    share
        Extra starts allowed per first start.
    max_saved
        How many unused extra starts are saved up; also the first allowance.
    """

    def __init__(self, share: float, max_saved: float = MAX_SAVED) -> None:
        self._share = share
        self._max_saved = max_saved
        self._saved = max_saved

    def record_starts(self, tasks: int = 1) -> None:
        """Note first starts, which earn extra ones."""
        self._saved = min(self._max_saved, self._saved + self._share * tasks)

    def try_take(self) -> bool:
        """Take one extra start; return whether there was one."""
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
