"""Fencing tokens, by which a backend server tells its agent from earlier ones."""

from __future__ import annotations

MAX_FENCING_TOKEN = 2**53 - 1
"""Largest integer that every JSON decoder reads exactly."""


class TokensExhaustedError(Exception):
    """No higher fencing token can be sent."""


class FencingTokens:
    """Issues the fencing tokens of one agent, each above all that it issued before.

    An order that is carried out late, also in a later life of the backend server,
    therefore carries a lower token than the agent uses by then.
    """

    def __init__(self) -> None:
        self._highest = 0

    def issue(self, at_least: int) -> int:
        """Return a new token that is not below ``at_least``.

        Raises
        ------
        TokensExhaustedError
            If the token would exceed ``MAX_FENCING_TOKEN``.
        """
        token = max(at_least, self._highest + 1)
        if token > MAX_FENCING_TOKEN:
            raise TokensExhaustedError(f"fencing token {token} is too high")
        self._highest = token
        return token
