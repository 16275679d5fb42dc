from __future__ import annotations

import heapq
import itertools
import random

import attrs
import pytest
from claims_model import START_MS
from claims_model import ClaimantProcess
from claims_model import ClaimsModel
from claims_model import ToClaimant
from claims_model import ToNode
from claims_model import job_id_at

from verbenaplank.claims.claimant import ClaimantIdentity
from verbenaplank.claims.claimant import ClaimAttempts
from verbenaplank.claims.claimant import Retry
from verbenaplank.claims.decision import ClaimState
from verbenaplank.protocol.claims import ClaimReply
from verbenaplank.protocol.claims import ClaimVerdict
from verbenaplank.protocol.membership import Registrar
from verbenaplank.protocol.membership import RegistrarGroup

NAMES = ("r0", "r1", "r2")
JOB_ID = job_id_at(START_MS, 1)
GROUP = RegistrarGroup(
    epoch=1,
    registrars=tuple(
        Registrar(instance_id=name, address=f"{name}:1", data_centre="d")
        for name in NAMES
    ),
)
IDENTITY = ClaimantIdentity(entry_id="e1", incarnation="1", address="e1:1")


def _attempts() -> ClaimAttempts:
    return ClaimAttempts(IDENTITY, JOB_ID, b"d", random.Random(1))


def _reply(verdict: ClaimVerdict, attempt: int = 1, holder: str = "") -> ClaimReply:
    return ClaimReply(
        job_id=JOB_ID,
        attempt=attempt,
        verdict=verdict,
        owner_entry_id=holder,
        may_have_granted=verdict is ClaimVerdict.ABSTAINED,
    )


def test_majority_of_grants_of_one_attempt_owns_the_identifier() -> None:
    """Two replies of the same registrar count once."""
    attempts = _attempts()
    attempts.start_attempt(1, GROUP, NAMES)
    attempts.on_reply("r0", _reply(ClaimVerdict.GRANTED))
    assert attempts.outcome() is None
    attempts.on_reply("r0", _reply(ClaimVerdict.GRANTED))
    assert attempts.outcome() is None
    attempts.on_reply("r2", _reply(ClaimVerdict.GRANTED))

    outcome = attempts.outcome()
    assert not isinstance(outcome, Retry)
    assert outcome is not None
    assert outcome.state is ClaimState.OWNED_HERE


def test_grants_of_two_attempts_do_not_add_up() -> None:
    """The first attempt is released, so its grant may end at any time."""
    attempts = _attempts()
    attempts.start_attempt(1, GROUP, NAMES)
    attempts.on_reply("r0", _reply(ClaimVerdict.GRANTED))
    attempts.start_attempt(2, GROUP, NAMES)
    attempts.on_reply("r0", _reply(ClaimVerdict.GRANTED, attempt=1))
    attempts.on_reply("r1", _reply(ClaimVerdict.GRANTED, attempt=2))

    assert attempts.outcome() is None


def test_grant_of_a_registrar_outside_the_group_does_not_count() -> None:
    attempts = _attempts()
    attempts.start_attempt(1, GROUP, NAMES)
    attempts.on_reply("r0", _reply(ClaimVerdict.GRANTED))
    attempts.on_reply("outsider", _reply(ClaimVerdict.GRANTED))

    assert attempts.outcome() is None


def test_abstaining_majority_reports_that_the_job_may_have_run() -> None:
    attempts = _attempts()
    attempts.start_attempt(1, GROUP, NAMES)
    for name in ("r0", "r1"):
        attempts.on_reply(name, _reply(ClaimVerdict.ABSTAINED))

    outcome = attempts.outcome()
    assert not isinstance(outcome, Retry)
    assert outcome is not None
    assert (outcome.state, outcome.may_have_run) == (ClaimState.UNAVAILABLE, True)


def test_unreachable_majority_reports_that_the_job_has_not_run() -> None:
    attempts = _attempts()
    attempts.start_attempt(1, GROUP, ("r0",))
    attempts.on_reply("r0", _reply(ClaimVerdict.GRANTED))

    assert isinstance(attempts.outcome(), Retry)
    decision = attempts.timeout_decision()
    assert (decision.state, decision.may_have_run) == (ClaimState.UNAVAILABLE, False)


@pytest.mark.parametrize("holder_retries", [False, True])
def test_holder_of_an_unchanged_grant_counts_as_owner(holder_retries: bool) -> None:
    """A grant that changes with each attempt belongs to a claimant that retries.

    It does not own the identifier yet, so that the claim has to go on.
    """
    attempts = _attempts()
    outcomes = []
    for number in range(1, 5):
        held = attrs.evolve(
            _reply(ClaimVerdict.OWNED, number, holder="e2"),
            owner_attempt=number if holder_retries else 1,
        )
        attempts.start_attempt(number, GROUP, ("r0", "r1"))
        attempts.on_reply("r0", _reply(ClaimVerdict.GRANTED, number))
        attempts.on_reply("r1", held)
        outcomes.append(attempts.outcome())

    retries = [isinstance(outcome, Retry) for outcome in outcomes]
    assert retries == [True, True, True, holder_retries]
    decision = attempts.timeout_decision()
    assert decision.state is ClaimState.OWNED_ELSEWHERE
    assert decision.owner_entry_id == "e2"


class _TimedModel(ClaimsModel):
    """Delivers each message after a random delay, and waits before each retry."""

    def __init__(self, seed: int) -> None:
        super().__init__(NAMES, has_disk=False, seed=seed)
        self._times: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self._time_s = 0.0

    def run(self, max_steps: int) -> int:
        """Run until every claim is decided; return the steps taken."""
        for step in range(max_steps):
            self._schedule()
            if not self._times:
                return step
            self._time_s, _, due = heapq.heappop(self._times)
            if isinstance(due, ClaimantProcess):
                self.start_attempt(due)
            else:
                self.network.append(due)  # type: ignore[arg-type]
                self.deliver(-1)
        return max_steps

    def retry(self, process: ClaimantProcess, delay_s: float) -> None:
        self._at(delay_s, process)

    def _schedule(self) -> None:
        for message in self.network:
            self._at(self._delay_s(message), message)
        self.network.clear()

    def _delay_s(self, message: ToNode | ToClaimant) -> float:
        return self.random.uniform(0.0005, 0.003)

    def _at(self, delay_s: float, due: object) -> None:
        entry = (self._time_s + delay_s, next(self._order), due)
        heapq.heappush(self._times, entry)


class _LockstepModel(_TimedModel):
    """Two claimants, of which each reaches a different registrar first."""

    def _delay_s(self, message: ToNode | ToClaimant) -> float:
        is_request = isinstance(message, ToNode)
        number = message.sender if is_request else message.claimant
        return 0.001 if message.node == f"r{number}" else 0.002


def test_claimants_in_lockstep_do_not_split_for_ever() -> None:
    """Each gets the grant of the registrar nearest to it, so that both lose.

    With equal retry delays this would repeat in every attempt.
    """
    for seed in range(100):
        model = _LockstepModel(seed)
        model.nodes["r2"].is_up = False
        processes = [model.start_claim(JOB_ID) for _ in range(2)]

        assert model.run(max_steps=2_000) < 2_000, f"seed {seed} did not end"
        states = [process.decision and process.decision.state for process in processes]
        assert states.count(ClaimState.OWNED_HERE) == 1, f"seed {seed}: {states}"


@pytest.mark.parametrize("claimants", [2, 3, 5])
@pytest.mark.parametrize("lost", [(), ("r2",)])
def test_split_claims_end_with_one_owner(claimants: int, lost: tuple[str, ...]) -> None:
    for seed in range(100):
        model = _TimedModel(seed)
        for name in lost:
            model.nodes[name].is_up = False
        processes = [model.start_claim(JOB_ID) for _ in range(claimants)]

        assert model.run(max_steps=2_000) < 2_000, f"seed {seed} did not end"
        states = [process.decision and process.decision.state for process in processes]
        assert states.count(ClaimState.OWNED_HERE) == 1, f"seed {seed}: {states}"
        assert states.count(ClaimState.OWNED_ELSEWHERE) == claimants - 1
