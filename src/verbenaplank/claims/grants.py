"""What a registrar keeps of one identifier."""

from __future__ import annotations

import attrs


@attrs.frozen
class Claimant:
    """One incarnation of an entry."""

    entry_id: str
    incarnation: str


@attrs.frozen
class Owner:
    """A claimant and where other entries reach it."""

    claimant: Claimant
    address: str


@attrs.frozen
class Grant:
    """A granted identifier."""

    owner: Owner
    attempt: int
    digest: bytes


@attrs.define
class ClaimRecord:
    """What is known of one identifier; a dead attempt is never granted."""

    grant: Grant | None = None
    dead_attempts: dict[Claimant, int] | None = None

    def dead_attempt(self, claimant: Claimant) -> int:
        """Return the latest dead attempt of a claimant; 0 if there is none."""
        return self.dead_attempts.get(claimant, 0) if self.dead_attempts else 0

    def revoke_attempts(self, claimant: Claimant, attempt: int) -> None:
        """Make an attempt and those before it dead, and end their grant."""
        dead = max(attempt, self.dead_attempt(claimant))
        self.dead_attempts = {**(self.dead_attempts or {}), claimant: dead}
        grant = self.grant
        if grant and grant.owner.claimant == claimant and grant.attempt <= dead:
            self.grant = None
