"""Result of a claim at the registrars."""

from __future__ import annotations

from enum import StrEnum

import attrs


class ClaimState(StrEnum):
    """Kind of result of a claim.

    ``OWNED_HERE`` is the only one that permits the claimant to start tasks.
    ``OWNED_ELSEWHERE`` means that the identifier was granted to another claimant or
    to an earlier claim, and ``CONFLICT`` that it was granted for a request with other
    content.  ``UNAVAILABLE`` means that a majority of the registrars abstained or
    that no majority granted the identifier in time, and that no registrar named
    another grant.
    """

    OWNED_HERE = "owned_here"
    OWNED_ELSEWHERE = "owned_elsewhere"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


@attrs.frozen(kw_only=True)
class ClaimDecision:
    """Result of a claim, with the owner if the identifier was granted before.

    Attributes
    ----------
    owner_address
        ``host:port`` where other entries reach the owner.
    may_have_run
        With ``UNAVAILABLE``: whether a registrar no longer knows if it granted
        the identifier before, so that an earlier submission may have run.
    """

    state: ClaimState
    owner_entry_id: str = ""
    owner_incarnation: str = ""
    owner_address: str = ""
    may_have_run: bool = False
