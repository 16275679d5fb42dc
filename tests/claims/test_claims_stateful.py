"""Random histories of claims of one identifier, which must get at most one owner.

The histories contain lost, duplicated and reordered messages, broken streams,
restarts, clock steps and changes of the registrar group.  Hypothesis derives them
from the source of the class, so that an edit of its docstrings or names, but not
of its comments, leads to other histories.
"""

from __future__ import annotations

import attrs
from claims_model import ClaimantProcess
from claims_model import ClaimsModel
from claims_model import job_id_at
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from verbenaplank.claims.lookup import LookupState
from verbenaplank.protocol.claims import Lookup

NAMES = ("r0", "r1", "r2")
POSITIONS = st.integers(0, 1_000)
AGES_MS = st.integers(-500, 900)
CLOCK_STEPS_MS = st.sampled_from((0, 500, -700, -5_000))
MEMBERS = st.integers(0, 2)
MAX_CLAIMANTS = 4
MAX_NETWORK = 60


class ClaimHistories(RuleBasedStateMachine):
    """Claims of a few identifiers while everything goes wrong."""

    @initialize(has_disk=st.booleans(), age_ms=AGES_MS)
    def start(self, has_disk: bool, age_ms: int) -> None:
        self.has_disk = has_disk
        self.model = ClaimsModel(NAMES, has_disk=has_disk, seed=1)
        self.job_id = job_id_at(self.model.now_ms + age_ms, 1)
        self.added = 0
        self.lookup = Lookup(job_id=self.job_id, number=0, epoch=0)
        self.lookup_state: LookupState | None = None
        self.was_owned = False

    @precondition(lambda self: len(self.model.claimants) < MAX_CLAIMANTS)
    @rule()
    def claim(self) -> None:
        self.model.start_claim(self.job_id)

    @precondition(lambda self: self.model.claimants)
    @rule(number=POSITIONS, member=MEMBERS)
    def round_trip(self, number: int, member: int) -> None:
        self.model.round_trip(self._claimant(number), self._name(member))

    @precondition(lambda self: self.model.claimants)
    @rule(number=POSITIONS, members=st.permutations((0, 1, 2)))
    def round_trips_to_two(self, number: int, members: list[int]) -> None:
        for member in members[:2]:
            self.model.round_trip(self._claimant(number), self._name(member))

    @precondition(lambda self: self.model.network)
    @rule(positions=st.lists(POSITIONS, min_size=1, max_size=8))
    def deliver(self, positions: list[int]) -> None:
        for position in positions:
            if self.model.network:
                self.model.deliver(position)

    @precondition(lambda self: 0 < len(self.model.network) < MAX_NETWORK)
    @rule(position=POSITIONS)
    def duplicate(self, position: int) -> None:
        self.model.duplicate(position)

    @precondition(lambda self: self.model.network)
    @rule(position=POSITIONS)
    def drop(self, position: int) -> None:
        self.model.drop(position)

    @precondition(lambda self: self.model.claimants)
    @rule(number=POSITIONS)
    def time_out(self, number: int) -> None:
        self.model.give_up(self._claimant(number))

    @precondition(lambda self: self.model.claimants)
    @rule(number=POSITIONS, member=MEMBERS)
    def break_stream(self, number: int, member: int) -> None:
        self.model.mark_unreachable(self._claimant(number), self._name(member))

    @rule(step_ms=st.sampled_from((10, 400, 3_000)))
    def advance(self, step_ms: int) -> None:
        self.model.advance(step_ms)

    @rule(member=MEMBERS, clock_step_ms=CLOCK_STEPS_MS)
    def restart_with_empty_memory(self, member: int, clock_step_ms: int) -> None:
        step_ms = clock_step_ms if self.has_disk else max(0, clock_step_ms)
        self.model.restart(self._name(member), step_ms)

    @precondition(lambda self: self.added < 3)
    @rule(member=MEMBERS, clock_offset_ms=CLOCK_STEPS_MS)
    def replace_a_lost_registrar(self, member: int, clock_offset_ms: int) -> None:
        self.added += 1
        self.model.replace(self._name(member), f"n{self.added}", clock_offset_ms)

    @rule()
    def start_lookup(self) -> None:
        names = [each.instance_id for each in self.model.group.registrars]
        self.lookup = attrs.evolve(self.lookup, epoch=self.model.epoch)
        self.lookup_state = LookupState(names, names)
        self.was_owned = bool(self.model.winners.get(self.job_id))

    @precondition(lambda self: self.lookup_state is not None)
    @rule(members=st.permutations((0, 1, 2)))
    def answer_lookup(self, members: list[int]) -> None:
        assert self.lookup_state is not None
        for name in map(self._name, members[:2]):
            reply = self.model.look_up(name, self.lookup)
            self.lookup_state.on_reply(name, reply.verdict)

    @invariant()
    def no_owned_identifier_is_said_to_be_unused(self) -> None:
        if self.lookup_state is not None and self.was_owned:
            assert self.lookup_state.outcome() is not True

    @invariant()
    def at_most_one_owner(self) -> None:
        winners = self.model.winners.get(self.job_id, set())
        assert len(winners) <= 1, f"the identifier is owned by {sorted(winners)}"

    def _claimant(self, number: int) -> ClaimantProcess:
        return self.model.claimants[number % len(self.model.claimants)]

    def _name(self, member: int) -> str:
        return self.model.group.registrars[member].instance_id


ClaimHistories.TestCase.settings = settings(
    max_examples=400, stateful_step_count=40, derandomize=True, database=None
)
TestClaimHistories = ClaimHistories.TestCase
