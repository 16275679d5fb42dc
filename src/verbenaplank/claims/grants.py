"""State that a registrar keeps about one identifier."""

from __future__ import annotations

import attrs


@attrs.frozen
class Claimant:
    """One incarnation of an entry that claims identifiers."""

    entry_id: str
    incarnation: str


@attrs.frozen
class Owner:
    """A claimant, and the address at which other entries reach it."""

    claimant: Claimant
    address: str


@attrs.frozen
class Grant:
    """The grant of an identifier to one attempt, with the request's digest."""

    owner: Owner
    attempt: int
    digest: bytes


@attrs.define
class ClaimRecord:
    """Grant and released attempts of one identifier.

    A released attempt is never granted, even if its claim arrives later.
    """

    grant: Grant | None = None
    released_attempts: dict[Claimant, int] | None = None

    def latest_released_attempt(self, claimant: Claimant) -> int:
        """Return a claimant's latest released attempt; 0 if there is none."""
        return self.released_attempts.get(claimant, 0) if self.released_attempts else 0

    def release_attempts(self, claimant: Claimant, attempt: int) -> None:
        """Mark an attempt and all earlier ones as released, and end their grant."""
        released = max(attempt, self.latest_released_attempt(claimant))
        self.released_attempts = {**(self.released_attempts or {}), claimant: released}
        grant = self.grant
        if grant and grant.owner.claimant == claimant and grant.attempt <= released:
            self.grant = None
