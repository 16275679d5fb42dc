from __future__ import annotations

import pytest

from verbenaplank.claims.lookup import LookupState
from verbenaplank.protocol.claims import LookupVerdict

GROUP = ("r0", "r1", "r2")
GRANTED = LookupVerdict.GRANTED
NOT_GRANTED = LookupVerdict.NOT_GRANTED
UNKNOWN = LookupVerdict.UNKNOWN
WRONG_EPOCH = LookupVerdict.WRONG_EPOCH


@pytest.mark.parametrize(
    ("verdicts", "outcome"),
    [
        ([NOT_GRANTED], None),
        ([NOT_GRANTED, NOT_GRANTED], True),
        ([NOT_GRANTED, WRONG_EPOCH], None),
        ([NOT_GRANTED, WRONG_EPOCH, WRONG_EPOCH], False),
        ([GRANTED], False),
        ([NOT_GRANTED, UNKNOWN], False),
    ],
)
def test_majority_decides_unless_a_registrar_knows_a_grant(
    verdicts: list[LookupVerdict], outcome: bool | None
) -> None:
    """Guards against an id that is called unused after a registrar named its owner."""
    state = LookupState(GROUP, GROUP)
    for name, verdict in zip(GROUP, verdicts, strict=False):
        state.on_reply(name, verdict)
    assert state.outcome() is outcome


def test_second_reply_of_one_registrar_makes_no_majority() -> None:
    state = LookupState(GROUP, GROUP)
    for _ in range(2):
        state.on_reply("r0", NOT_GRANTED)
    assert state.outcome() is None


def test_too_few_reachable_registrars_decide_at_once() -> None:
    assert LookupState(GROUP, GROUP[:1]).outcome() is False
    state = LookupState(GROUP, GROUP[:2])
    state.on_unreachable("r1")
    assert state.outcome() is False
