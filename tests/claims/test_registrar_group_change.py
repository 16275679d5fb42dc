from __future__ import annotations

import pytest
from claims_model import START_MS
from claims_model import ClaimsModel
from claims_model import job_id_at

from verbenaplank.claims.decision import ClaimState

NAMES = ("r0", "r1", "r2")
JOB_ID = job_id_at(START_MS, 1)


def _model() -> ClaimsModel:
    return ClaimsModel(NAMES, has_disk=True, seed=1)


def _claim(model: ClaimsModel, names: tuple[str, ...]) -> int:
    process = model.start_claim(JOB_ID)
    for name in names:
        model.round_trip(process, name)
    return process.number


def test_cut_off_member_and_late_messages_make_no_second_owner() -> None:
    """The first claim's messages arrive only after the change of the group.

    The replaced member still grants its old epoch, and must not complete a
    majority with a member that has entered the new one.
    """
    model = _model()
    first = model.start_claim(JOB_ID)
    model.replace("r2", "n1", 0)
    _claim(model, ("r1", "n1"))
    model.round_trip(first, "r2")
    model.round_trip(first, "r0")

    assert model.winners[JOB_ID] == {1}


@pytest.mark.parametrize("winner_members", [("r0", "r2"), ("r1", "r2")])
def test_second_group_change_right_after_the_first_makes_no_second_owner(
    winner_members: tuple[str, ...],
) -> None:
    """One or both of the members that granted the first claim are replaced."""
    model = _model()
    winner = _claim(model, winner_members)
    model.replace("r2", "n1", 0)
    model.replace("r0", "n2", 0)
    later = model.claimants[_claim(model, ("r1", "n1", "n2"))]
    model.give_up(later)

    assert model.winners[JOB_ID] == {winner}
    assert later.decision is not None
    knows_owner = later.decision.state is ClaimState.OWNED_ELSEWHERE
    assert knows_owner or later.decision.may_have_run


def test_restarts_of_a_majority_report_that_the_job_may_have_run() -> None:
    """Both registrars that granted the identifier have lost their memory."""
    model = _model()
    winner = _claim(model, ("r0", "r1"))
    model.restart("r0", clock_step_ms=-5_000)
    model.restart("r1", clock_step_ms=-5_000)
    model.advance(5_000)
    later = model.claimants[_claim(model, NAMES)]

    assert model.winners[JOB_ID] == {winner}
    assert later.decision is not None
    assert later.decision.state is ClaimState.UNAVAILABLE
    assert later.decision.may_have_run
