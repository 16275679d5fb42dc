"""State machine of one claim at the claimant, without I/O.

A claim consists of attempts to get grants from a registrar group.  The caller
sends what :meth:`ClaimAttempts.start_attempt` and
:meth:`ClaimAttempts.release_message` return, passes the replies in, and waits for
the delay of each :class:`Retry`.
A claimant owns an identifier only if a majority granted the same attempt under
the same epoch.
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
YIELD_DELAY_FACTOR = 4.0
"""Factor on the retry delay if a claimant with a smaller name holds a grant.

It breaks the symmetry between claimants of which none has a majority.
"""

MAX_REPLIES_PER_GRANT = 4
"""Replies in lost attempts that name one grant until its holder counts as owner."""

HELD_VERDICTS = (ClaimVerdict.OWNED, ClaimVerdict.CONFLICT)


@attrs.frozen(kw_only=True)
class ClaimantIdentity:
    """The claiming entry, and the address at which other entries reach it."""

    entry_id: str
    incarnation: str
    address: str


@attrs.frozen
class _OtherGrant:
    """A grant to another claimant, or to an earlier claim of the same claimant."""

    entry_id: str
    incarnation: str
    attempt: int


@attrs.frozen
class Retry:
    """Result of a lost attempt: release it and start another after the delay."""

    delay_s: float


class ClaimAttempts:
    """The attempts of one claim, of which one is in progress at a time."""

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
        self._recipients: frozenset[str] = frozenset()
        self._replies: dict[str, ClaimReply] = {}
        self._unreachable: set[str] = set()
        self._latest_replies: dict[str, ClaimReply] = {}
        self._replies_by_grant: Counter[_OtherGrant] = Counter()
        self._may_have_run = False
        self._outcome: ClaimDecision | Retry | None = None

    def start_attempt(
        self, attempt: int, group: RegistrarGroup, reachable: Collection[str]
    ) -> Claim:
        """Start an attempt, and return the claim to send to its recipients.

        Parameters
        ----------
        attempt
            Number of the attempt, greater than that of every earlier attempt of
            this claimant for this identifier, including those of other claims.
        group
            Registrar group in force.
        reachable
            Identifiers of the registrars to which a stream is open.
        """
        members = frozenset(registrar.instance_id for registrar in group.registrars)
        self._attempt = attempt
        self._group = group
        self._recipients = members & frozenset(reachable)
        self._replies = {}
        self._outcome = None
        self._unreachable = set(members - self._recipients)
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
        """Identifiers of the registrars to which the current attempt is sent."""
        return self._recipients

    def on_reply(self, registrar_id: str, reply: ClaimReply) -> None:
        """Record a reply.

        Replies to earlier attempts and from registrars that are not recipients
        of the current one are ignored.
        """
        if reply.attempt != self._attempt or registrar_id not in self._recipients:
            return
        self._replies[registrar_id] = reply
        self._latest_replies[registrar_id] = reply
        self._may_have_run |= reply.may_have_granted

    def on_unreachable(self, registrar_id: str) -> None:
        """Record that the stream to a registrar broke or could not be opened."""
        if registrar_id not in self._replies:
            self._unreachable.add(registrar_id)

    def outcome(self) -> ClaimDecision | Retry | None:
        """Return the decision or a retry, or ``None`` while replies are missing.

        Before the first attempt it is a retry.  During an attempt, a result other
        than ``None`` does not change.
        """
        if self._group is None:
            return Retry(RETRY_BASE_S)
        if self._outcome is None:
            majority = len(self._group.registrars) // 2 + 1
            self._outcome = self._evaluate(majority)
        return self._outcome

    def release_message(self) -> ClaimRelease:
        """Return the release of the current attempt, to send to all its recipients."""
        return ClaimRelease(
            job_id=self._job_id,
            entry_id=self._identity.entry_id,
            entry_incarnation=self._identity.incarnation,
            attempt=self._attempt,
        )

    def timeout_decision(self) -> ClaimDecision:
        """Return the decision for a claim whose time has run out.

        It is never ``OWNED_HERE``, even if the current attempt has been granted.
        """
        held = _held_replies(self._latest_replies)
        return _not_owner_decision(held[-1]) if held else self._unavailable_decision()

    def _evaluate(self, majority: int) -> ClaimDecision | Retry | None:
        if self._count(ClaimVerdict.GRANTED) >= majority:
            return ClaimDecision(state=ClaimState.OWNED_HERE)
        if self._count(ClaimVerdict.GRANTED) + self._pending() >= majority:
            return None
        self._replies_by_grant.update(map(_other_grant, _held_replies(self._replies)))
        return (
            self._holder_decision(majority)
            or self._abstention_decision(majority)
            or self._schedule_retry()
        )

    def _count(self, verdict: ClaimVerdict) -> int:
        return sum(reply.verdict is verdict for reply in self._replies.values())

    def _pending(self) -> int:
        return len(self._recipients - self._replies.keys() - self._unreachable)

    def _holder_decision(self, majority: int) -> ClaimDecision | None:
        """Return a decision if a majority or enough earlier replies name one grant."""
        held = _held_replies(self._replies)
        if not held:
            return None
        grant, count = Counter(map(_other_grant, held)).most_common(1)[0]
        if count < majority and self._replies_by_grant[grant] < MAX_REPLIES_PER_GRANT:
            return None
        return _not_owner_decision(next(r for r in held if _other_grant(r) == grant))

    def _abstention_decision(self, majority: int) -> ClaimDecision | None:
        """Return a decision if a majority abstains, since a retry would not help."""
        if self._count(ClaimVerdict.ABSTAINED) < majority:
            return None
        return self.timeout_decision()

    def _schedule_retry(self) -> Retry:
        self._lost_attempts += 1
        delay_s = min(RETRY_MAX_S, RETRY_BASE_S * 2 ** (self._lost_attempts - 1))
        own_name = (self._identity.entry_id, self._identity.incarnation)
        holders = map(_other_grant, _held_replies(self._replies))
        if any((each.entry_id, each.incarnation) < own_name for each in holders):
            delay_s *= YIELD_DELAY_FACTOR
        return Retry(delay_s * self._random.uniform(0.5, 1.0))

    def _unavailable_decision(self) -> ClaimDecision:
        return ClaimDecision(
            state=ClaimState.UNAVAILABLE, may_have_run=self._may_have_run
        )


def _held_replies(replies: dict[str, ClaimReply]) -> list[ClaimReply]:
    return [reply for reply in replies.values() if reply.verdict in HELD_VERDICTS]


def _other_grant(reply: ClaimReply) -> _OtherGrant:
    return _OtherGrant(
        reply.owner_entry_id, reply.owner_incarnation, reply.owner_attempt
    )


def _not_owner_decision(reply: ClaimReply) -> ClaimDecision:
    conflict = reply.verdict is ClaimVerdict.CONFLICT
    return ClaimDecision(
        state=ClaimState.CONFLICT if conflict else ClaimState.OWNED_ELSEWHERE,
        owner_entry_id=reply.owner_entry_id,
        owner_incarnation=reply.owner_incarnation,
        owner_address=reply.owner_address,
    )
