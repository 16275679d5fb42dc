"""One claim as its claimant sees it: attempts at the registrars of a group.

A core without I/O.  The adapter sends what :meth:`ClaimAttempts.start_attempt` and
:meth:`ClaimAttempts.release_message` return, feeds replies in, and waits between
attempts as told.  A claimant owns an identifier only when a majority granted
the same attempt under the same epoch.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from verbenaplank.claims.decision import ClaimDecision
from verbenaplank.claims.decision import ClaimState
from verbenaplank.protocol.claims import Claim
from verbenaplank.protocol.claims import ClaimRelease
from verbenaplank.protocol.claims import ClaimReply
from verbenaplank.protocol.claims import ClaimVerdict

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from verbenaplank.protocol.membership import RegistrarGroup

RETRY_BASE_S = 0.004
RETRY_MAX_S = 0.1
YIELD_FACTOR = 4.0
"""How much longer the claimant of the greater name waits after a split."""

SAME_GRANT_ATTEMPTS = 4
"""After so many attempts lost to one unchanged grant, its holder counts as owner."""

HELD = (ClaimVerdict.OWNED, ClaimVerdict.CONFLICT)


@attrs.frozen(kw_only=True)
class ClaimantIdentity:
    """Who claims, and where other entries reach it."""

    entry_id: str
    incarnation: str
    address: str


@attrs.frozen
class _HeldGrant:
    """A grant that another claimant, or an earlier claim, holds."""

    entry_id: str
    incarnation: str
    attempt: int


@attrs.frozen
class Retry:
    """The attempt is lost: release it and try again after a delay."""

    delay_s: float


class ClaimAttempts:
    """The attempts of one claim."""

    def __init__(
        self,
        identity: ClaimantIdentity,
        job_id: str,
        digest: bytes,
        random: random.Random,
    ) -> None:
        self._identity = identity
        self._job_id = job_id
        self._digest = digest
        self._random = random
        self._attempt = 0
        self._lost_attempts = 0
        self._group: RegistrarGroup | None = None
        self._sent: frozenset[str] = frozenset()
        self._replies: dict[str, ClaimReply] = {}
        self._unreachable: set[str] = set()
        self._latest: dict[str, ClaimReply] = {}
        self._lost_to: Counter[_HeldGrant] = Counter()
        self._may_have_run = False
        self._outcome: ClaimDecision | Retry | None = None

    def start_attempt(
        self, attempt: int, group: RegistrarGroup, reachable: Collection[str]
    ) -> Claim:
        """Start an attempt; send the result to every reachable registrar.

        Parameters
        ----------
        attempt
            Greater than that of every earlier attempt of this claimant for
            this identifier, in other claims too.
        """
        members = frozenset(registrar.instance_id for registrar in group.registrars)
        self._attempt = attempt
        self._group = group
        self._sent = members & frozenset(reachable)
        self._replies = {}
        self._outcome = None
        self._unreachable = set(members - self._sent)
        return Claim(
            job_id=self._job_id,
            entry_id=self._identity.entry_id,
            entry_incarnation=self._identity.incarnation,
            attempt=attempt,
            digest=self._digest,
            epoch=group.epoch,
            owner_address=self._identity.address,
        )

    @property
    def recipients(self) -> frozenset[str]:
        """The registrars that the present attempt went to."""
        return self._sent

    def on_reply(self, registrar_id: str, reply: ClaimReply) -> None:
        """Take in a reply; one to an earlier attempt or a stranger is ignored."""
        if reply.attempt != self._attempt or registrar_id not in self._sent:
            return
        self._replies[registrar_id] = reply
        self._latest[registrar_id] = reply
        self._may_have_run |= reply.may_have_granted

    def on_unreachable(self, registrar_id: str) -> None:
        """Take in that a registrar's stream broke."""
        if registrar_id not in self._replies:
            self._unreachable.add(registrar_id)

    def outcome(self) -> ClaimDecision | Retry | None:
        """Return the decision, that a retry is due, or ``None`` to wait.

        Once it is not ``None``, it stays the same until the next attempt.
        """
        if self._group is None:
            return Retry(RETRY_BASE_S)
        if self._outcome is None:
            majority = len(self._group.registrars) // 2 + 1
            self._outcome = self._evaluate(majority)
        return self._outcome

    def release_message(self) -> ClaimRelease:
        """Return the release of the present attempt, for all its recipients."""
        return ClaimRelease(
            job_id=self._job_id,
            entry_id=self._identity.entry_id,
            entry_incarnation=self._identity.incarnation,
            attempt=self._attempt,
        )

    def timeout_decision(self) -> ClaimDecision:
        """Return the decision when time has run out; the attempt is not owned."""
        held = _held(self._latest)
        return _held_decision(held[-1]) if held else self._unavailable()

    def _evaluate(self, majority: int) -> ClaimDecision | Retry | None:
        if self._count(ClaimVerdict.GRANTED) >= majority:
            return ClaimDecision(state=ClaimState.OWNED_HERE)
        if self._count(ClaimVerdict.GRANTED) + self._pending() >= majority:
            return None
        self._lost_to.update(map(_held_grant, _held(self._replies)))
        return self._agreed_holder(majority) or self._hopeless(majority) or self._lose()

    def _count(self, verdict: ClaimVerdict) -> int:
        return sum(reply.verdict is verdict for reply in self._replies.values())

    def _pending(self) -> int:
        return len(self._sent - self._replies.keys() - self._unreachable)

    def _agreed_holder(self, majority: int) -> ClaimDecision | None:
        """Return the decision if a majority, or many attempts, name one grant."""
        held = _held(self._replies)
        if not held:
            return None
        grant, count = Counter(map(_held_grant, held)).most_common(1)[0]
        if count < majority and self._lost_to[grant] < SAME_GRANT_ATTEMPTS:
            return None
        return _held_decision(next(r for r in held if _held_grant(r) == grant))

    def _hopeless(self, majority: int) -> ClaimDecision | None:
        """Return the decision if a majority abstains; a retry would not help."""
        if self._count(ClaimVerdict.ABSTAINED) < majority:
            return None
        return self.timeout_decision()

    def _lose(self) -> Retry:
        self._lost_attempts += 1
        delay_s = min(RETRY_MAX_S, RETRY_BASE_S * 2 ** (self._lost_attempts - 1))
        own_name = (self._identity.entry_id, self._identity.incarnation)
        holders = map(_held_grant, _held(self._replies))
        if any((each.entry_id, each.incarnation) < own_name for each in holders):
            delay_s *= YIELD_FACTOR
        return Retry(delay_s * self._random.uniform(0.5, 1.0))

    def _unavailable(self) -> ClaimDecision:
        return ClaimDecision(
            state=ClaimState.UNAVAILABLE, may_have_run=self._may_have_run
        )


def _held(replies: dict[str, ClaimReply]) -> list[ClaimReply]:
    return [reply for reply in replies.values() if reply.verdict in HELD]


def _held_grant(reply: ClaimReply) -> _HeldGrant:
    return _HeldGrant(
        reply.owner_entry_id, reply.owner_incarnation, reply.owner_attempt
    )


def _held_decision(reply: ClaimReply) -> ClaimDecision:
    conflict = reply.verdict is ClaimVerdict.CONFLICT
    return ClaimDecision(
        state=ClaimState.CONFLICT if conflict else ClaimState.OWNED_ELSEWHERE,
        owner_entry_id=reply.owner_entry_id,
        owner_incarnation=reply.owner_incarnation,
        owner_address=reply.owner_address,
    )
