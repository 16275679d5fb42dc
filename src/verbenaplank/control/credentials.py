"""Authenticates operators by bearer token."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

BEARER = "bearer "


@attrs.frozen(kw_only=True)
class Operator:
    """An authenticated operator: a member of a team, or an administrator."""

    team: str = ""
    administrator: bool = False


def bearer_token(header: str) -> str:
    """Return the bearer token of an ``Authorization`` header, or an empty text."""
    if header[: len(BEARER)].lower() != BEARER:
        return ""
    return header[len(BEARER) :].strip()


def find_operator(
    token: str, administrator_sha256: str, teams_sha256: Mapping[str, str]
) -> Operator | None:
    """Return the operator to whom a token belongs, or ``None``.

    The token's digest is compared with every known digest, in constant time, so
    that the time taken reveals nothing about the digests.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    operator = None
    for team, team_sha256 in teams_sha256.items():
        if hmac.compare_digest(digest, team_sha256):
            operator = Operator(team=team)
    if hmac.compare_digest(digest, administrator_sha256.lower()):
        operator = Operator(administrator=True)
    return operator
