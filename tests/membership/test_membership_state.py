from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from verbenaplank.membership import state as membership_state
from verbenaplank.membership.client_state import ClientState
from verbenaplank.membership.commands import Announce
from verbenaplank.membership.commands import EnterEpoch
from verbenaplank.membership.commands import Leave
from verbenaplank.membership.commands import OrderDrain
from verbenaplank.membership.commands import SetRegistrars
from verbenaplank.membership.registrars import RegistrarState
from verbenaplank.membership.state import MembershipState
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import Registrar

if TYPE_CHECKING:
    import pytest


def member(member_id: str, incarnation: str = "a") -> Member:
    return Member(
        member_id=member_id,
        role=MemberRole.AGENT,
        incarnation=incarnation,
        data_centre="Kochi",
        address="h:1",
    )


def registrars(*ids: str) -> tuple[Registrar, ...]:
    return tuple(Registrar(instance_id=i, address="h:1", data_centre="d") for i in ids)


def test_leave_of_an_earlier_incarnation_has_no_effect() -> None:
    """A late leave or rejoin must not affect the restarted member."""
    state = MembershipState()
    state.announce(Announce(member=member("a", "old")))
    state.announce(Announce(member=member("a", "new")))

    assert not state.leave(Leave(member_id="a", incarnation="old"))
    assert not state.announce(Announce(member=member("a", "old"), rejoin=True))
    assert state.members["a"].incarnation == "new"


def test_configured_and_ordered_drains_are_independent() -> None:
    state = MembershipState()
    state.announce(Announce(member=member("a")))
    state.set_configured_drains(frozenset({"a", "b"}))
    state.order_drain(OrderDrain(member_id="a", drain=True))
    state.set_configured_drains(frozenset())

    assert state.is_drain_ordered("a")
    assert not state.is_drain_ordered("b")
    assert not state.order_drain(OrderDrain(member_id="b", drain=True))


steps = st.tuples(
    st.sampled_from(["announce", "leave", "drain", "undrain", "configure", "send"]),
    st.sampled_from("abc"),
    st.sampled_from("12"),
)


@given(st.lists(steps, max_size=40))
def test_deltas_yield_the_complete_list(operations: list[tuple[str, str, str]]) -> None:
    state = MembershipState()
    client = ClientState()
    for operation, member_id, incarnation in operations:
        if operation == "announce":
            state.announce(Announce(member=member(member_id, incarnation)))
        elif operation == "leave":
            state.leave(Leave(member_id=member_id, incarnation=incarnation))
        elif operation in ("drain", "undrain"):
            drain = operation == "drain"
            state.order_drain(OrderDrain(member_id=member_id, drain=drain))
        elif operation == "configure":
            state.set_configured_drains(frozenset(member_id))
        else:
            update = state.changes_since(client.members_revision)
            client.apply(FromControl(members=update))
    client.apply(FromControl(members=state.changes_since(client.members_revision)))

    complete = {m.member_id: m for m in state.changes_since(-1).changed}
    assert client.agents == complete


def test_receiver_too_far_behind_gets_the_complete_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Deltas reach back only as far as the retained changes, and not past a restore."""
    monkeypatch.setattr(membership_state, "MAX_RETAINED_CHANGES", 2)
    state = MembershipState()
    for member_id in "abcd":
        state.announce(Announce(member=member(member_id)))

    assert not state.changes_since(2).complete
    assert state.changes_since(1).complete
    assert MembershipState(state.snapshot()).changes_since(2).complete


def test_group_opens_when_a_majority_of_the_former_group_has_stopped() -> None:
    """Reports of other epochs or instances, and repeated ones, do not count."""
    state = RegistrarState()
    first = SetRegistrars(expected_epoch=0, registrars=registrars("a", "b", "c"))
    second = SetRegistrars(expected_epoch=1, registrars=registrars("b", "c", "d"))
    assert state.set_registrars(first)
    assert state.open_group is not None
    assert state.set_registrars(second)
    assert not state.set_registrars(second)

    assert not state.record_entered(
        EnterEpoch(epoch=1, instance_id="a", latest_grant_ms=9)
    )
    assert not state.record_entered(
        EnterEpoch(epoch=2, instance_id="d", latest_grant_ms=9)
    )
    assert state.record_entered(EnterEpoch(epoch=2, instance_id="a", latest_grant_ms=5))
    assert state.record_entered(EnterEpoch(epoch=2, instance_id="a", latest_grant_ms=5))
    assert state.open_group is None
    assert state.record_entered(EnterEpoch(epoch=2, instance_id="c", latest_grant_ms=7))
    assert state.open_group is not None
    assert state.transition.latest_grant_ms == 7


def test_group_that_never_opened_does_not_become_the_former_group() -> None:
    """It has granted nothing, so that its registrars need not stop."""
    state = RegistrarState()
    for epoch, ids in enumerate(("abc", "bcd", "cde")):
        change = SetRegistrars(expected_epoch=epoch, registrars=registrars(*ids))
        assert state.set_registrars(change)

    assert [r.instance_id for r in state.transition.former] == ["a", "b", "c"]
    assert not state.record_entered(
        EnterEpoch(epoch=3, instance_id="d", latest_grant_ms=1)
    )
