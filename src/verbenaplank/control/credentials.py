"""Authenticates operators by bearer token."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

BEARER_PREFIX = "bearer "


@attrs.frozen(kw_only=True)
class Operator:
    """An authenticated operator, acting for a team or as an administrator."""

    team: str = ""
    administrator: bool = False


def bearer_token(header: str) -> str:
    """Return the bearer token of an ``Authorization`` header, or an empty string."""
    if header[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return header[len(BEARER_PREFIX) :].strip()


def find_operator(
    token: str, administrator_sha256: str, team_tokens_sha256: Mapping[str, str]
) -> Operator | None:
    """Return the operator to whom a token belongs, or ``None``.

    The token's digest is compared with every known digest, in constant time, so
    that the time taken reveals nothing about the digests.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    operator = None
    for team, team_token_sha256 in team_tokens_sha256.items():
        if hmac.compare_digest(digest, team_token_sha256):
            operator = Operator(team=team)
    if hmac.compare_digest(digest, administrator_sha256.lower()):
        operator = Operator(administrator=True)
    return operator
