from __future__ import annotations

import pytest

from verbenaplank.agent.fencing import MAX_FENCING_TOKEN
from verbenaplank.agent.fencing import FencingTokens
from verbenaplank.agent.fencing import TokensExhaustedError


def test_each_token_is_above_all_earlier_ones() -> None:
    """A token from a clock that began anew was below the one in late orders."""
    tokens = FencingTokens()
    issued = [tokens.issue(at_least) for at_least in (5_000, 100, 5_000, 9_000)]
    assert issued == [5_000, 5_001, 5_002, 9_000]


def test_token_beyond_the_limit_is_refused() -> None:
    """A backend server may read a larger integer as another one."""
    tokens = FencingTokens()
    assert tokens.issue(MAX_FENCING_TOKEN) == MAX_FENCING_TOKEN
    with pytest.raises(TokensExhaustedError):
        tokens.issue(1)
