from __future__ import annotations

import attrs
import pytest
from claims_model import LIMITS
from claims_model import START_MS
from claims_model import job_id_at

from verbenaplank.claims.registrar import Registrar
from verbenaplank.claims.registrar import initial_abstain_until_ms
from verbenaplank.protocol.claims import Claim
from verbenaplank.protocol.claims import ClaimRelease
from verbenaplank.protocol.claims import ClaimReply
from verbenaplank.protocol.claims import ClaimVerdict

JOB_ID = job_id_at(START_MS, 1)
CLAIM = Claim(
    job_id=JOB_ID,
    entry_id="e1",
    entry_incarnation="1",
    attempt=1,
    digest=b"d",
    epoch=1,
    owner_address="e1:1",
)
OTHER = attrs.evolve(CLAIM, entry_id="e2", owner_address="e2:1")
RELEASE = ClaimRelease(job_id=JOB_ID, entry_id="e1", entry_incarnation="1", attempt=1)


def _registrar(abstain_until_ms: int = 0, ceiling_ms: int | None = None) -> Registrar:
    if ceiling_ms is None:
        registrar = Registrar(LIMITS, abstain_until_ms)
    else:
        registrar = Registrar(LIMITS, abstain_until_ms, ceiling_ms)
    registrar.enter_epoch(1)
    registrar.open_epoch(1, 0, is_new_member=False)
    return registrar


def _verdict(registrar: Registrar, claim: Claim, now_ms: int = START_MS) -> str:
    return registrar.claim(claim, now_ms).verdict


def test_identifier_is_granted_to_one_claimant_and_others_learn_the_owner() -> None:
    registrar = _registrar()

    assert _verdict(registrar, CLAIM) == ClaimVerdict.GRANTED
    assert _verdict(registrar, CLAIM) == ClaimVerdict.GRANTED
    assert registrar.claim(OTHER, START_MS) == ClaimReply(
        job_id=JOB_ID,
        attempt=1,
        verdict=ClaimVerdict.OWNED,
        owner_entry_id="e1",
        owner_incarnation="1",
        owner_address="e1:1",
        owner_attempt=1,
        epoch=1,
    )


def test_claim_with_another_digest_is_a_conflict() -> None:
    registrar = _registrar()
    registrar.claim(CLAIM, START_MS)

    other_content = attrs.evolve(OTHER, digest=b"x")
    assert _verdict(registrar, other_content) == ClaimVerdict.CONFLICT


def test_released_attempt_is_not_granted_if_its_claim_arrives_late() -> None:
    """Such a grant would never be released and would block the identifier."""
    registrar = _registrar()
    registrar.release(RELEASE, START_MS)

    assert _verdict(registrar, CLAIM) == ClaimVerdict.DEAD_ATTEMPT
    assert _verdict(registrar, OTHER) == ClaimVerdict.GRANTED


def test_late_release_does_not_end_the_grant_of_a_later_attempt() -> None:
    registrar = _registrar()
    registrar.claim(attrs.evolve(CLAIM, attempt=2), START_MS)
    registrar.release(RELEASE, START_MS)

    assert _verdict(registrar, OTHER) == ClaimVerdict.OWNED


def test_later_attempt_is_not_granted_before_the_earlier_one_is_released() -> None:
    registrar = _registrar()
    registrar.claim(CLAIM, START_MS)

    assert _verdict(registrar, attrs.evolve(CLAIM, attempt=2)) == ClaimVerdict.OWNED


def test_claim_of_an_earlier_or_an_unopened_epoch_is_refused() -> None:
    registrar = _registrar()
    registrar.enter_epoch(2)
    current = attrs.evolve(CLAIM, epoch=2)

    assert _verdict(registrar, CLAIM) == ClaimVerdict.WRONG_EPOCH
    assert _verdict(registrar, current) == ClaimVerdict.WRONG_EPOCH
    registrar.open_epoch(2, 0, is_new_member=False)
    assert _verdict(registrar, current) == ClaimVerdict.GRANTED


def test_restart_abstains_up_to_the_synced_ceiling_regardless_of_its_clock() -> None:
    """A clock that was set back would let it grant identifiers a second time."""
    ceiling_ms = START_MS + 500
    clock_went_back_ms = START_MS - 100_000
    abstain_until_ms = initial_abstain_until_ms(ceiling_ms, clock_went_back_ms, LIMITS)
    registrar = _registrar(abstain_until_ms, ceiling_ms + 10_000)
    past = registrar.claim(CLAIM, START_MS)
    later = attrs.evolve(CLAIM, job_id=job_id_at(ceiling_ms + 1, 1))

    assert (past.verdict, past.may_have_granted) == (ClaimVerdict.ABSTAINED, True)
    assert _verdict(registrar, later) == ClaimVerdict.GRANTED


def test_restart_without_a_disk_abstains_up_to_the_largest_clock_skew() -> None:
    registrar = _registrar(initial_abstain_until_ms(None, START_MS, LIMITS))
    skew_ms = LIMITS.max_clock_skew_ms
    latest = attrs.evolve(CLAIM, job_id=job_id_at(START_MS + skew_ms, 1))
    later = attrs.evolve(CLAIM, job_id=job_id_at(START_MS + skew_ms + 1, 1))

    assert _verdict(registrar, latest, START_MS + 10) == ClaimVerdict.ABSTAINED
    assert _verdict(registrar, later, START_MS + 10) == ClaimVerdict.GRANTED


@pytest.mark.parametrize(
    ("ceiling_ms", "now_ms"),
    [(START_MS - 1, START_MS), (START_MS + 10_000, START_MS - 2_000)],
)
def test_identifier_above_the_ceiling_or_the_clock_is_not_granted(
    ceiling_ms: int, now_ms: int
) -> None:
    reply = _registrar(ceiling_ms=ceiling_ms).claim(CLAIM, now_ms)

    assert reply.verdict == ClaimVerdict.ABSTAINED
    assert not reply.may_have_granted


def test_identifier_past_the_retention_is_forgotten_and_never_granted_again() -> None:
    """Not even if the clock is set back to within the retention."""
    registrar = _registrar()
    registrar.claim(CLAIM, START_MS)
    later_ms = START_MS + LIMITS.retention_ms + 2_000

    assert _verdict(registrar, OTHER, later_ms) == ClaimVerdict.ABSTAINED
    assert len(registrar) == 0
    clock_went_back_ms = START_MS
    assert _verdict(registrar, OTHER, clock_went_back_ms) == ClaimVerdict.ABSTAINED


def test_new_member_abstains_on_what_the_old_group_may_have_granted() -> None:
    old = _registrar()
    old.claim(CLAIM, START_MS)
    latest_ms = old.enter_epoch(2)
    new_member = Registrar(LIMITS, abstain_until_ms=0, ceiling_ms=START_MS + 5_000)
    new_member.enter_epoch(2)
    new_member.open_epoch(2, latest_ms, is_new_member=True)

    claim = attrs.evolve(OTHER, epoch=2)
    later = attrs.evolve(claim, job_id=job_id_at(START_MS + 1, 1))
    assert _verdict(new_member, claim) == ClaimVerdict.ABSTAINED
    assert _verdict(new_member, later) == ClaimVerdict.GRANTED
    assert new_member.enter_epoch(3) == START_MS + 1


def test_new_member_with_too_low_a_ceiling_does_not_open_the_epoch() -> None:
    """After a restart it would not abstain on what the old group granted."""
    new_member = Registrar(LIMITS, abstain_until_ms=0, ceiling_ms=START_MS - 1)
    new_member.enter_epoch(2)

    with pytest.raises(ValueError, match="ceiling"):
        new_member.open_epoch(2, START_MS, is_new_member=True)


def test_malformed_identifier_is_not_granted() -> None:
    malformed = attrs.evolve(CLAIM, job_id="not a UUID")

    assert _verdict(_registrar(), malformed) == ClaimVerdict.ABSTAINED
