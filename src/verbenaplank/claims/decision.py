"""What a claimant learned from the registrars."""

from __future__ import annotations

from enum import StrEnum

import attrs


class ClaimState(StrEnum):
    """The end of a claim.

    ``OWNED_HERE`` is the only state in which the claimant may start tasks.
    ``UNAVAILABLE`` means that no majority answered or could grant.
    """

    OWNED_HERE = "owned_here"
    OWNED_ELSEWHERE = "owned_elsewhere"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


@attrs.frozen(kw_only=True)
class ClaimDecision:
    """The end of a claim, with the owner when it is another entry.

    Attributes
    ----------
    may_have_run
        On ``UNAVAILABLE``: a registrar no longer knows whether it granted the
        identifier before, so that an earlier submission may have run.
    """

    state: ClaimState
    owner_entry_id: str = ""
    owner_incarnation: str = ""
    owner_address: str = ""
    may_have_run: bool = False
