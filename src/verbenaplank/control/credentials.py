"""Finds out who sends a command, from the token that came with it."""

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
    """A person who proved to belong to a team, or to administer the system."""

    team: str = ""
    administrator: bool = False


def bearer_token(header: str) -> str:
    """Return the token of an ``Authorization`` header; empty if there is none."""
    if header[: len(BEARER)].lower() != BEARER:
        return ""
    return header[len(BEARER) :].strip()


def identify(
    token: str, administrator_sha256: str, teams_sha256: Mapping[str, str]
) -> Operator | None:
    """Return whose token it is, after comparing it with every known one.

    Each comparison takes the same time however much of the digests agrees.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    operator = None
    for team, team_sha256 in teams_sha256.items():
        if hmac.compare_digest(digest, team_sha256):
            operator = Operator(team=team)
    if hmac.compare_digest(digest, administrator_sha256.lower()):
        operator = Operator(administrator=True)
    return operator
