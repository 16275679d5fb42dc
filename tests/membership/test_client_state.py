from __future__ import annotations

from verbenaplank.membership.client_state import ClientState
from verbenaplank.membership.client_state import MembershipEventKind
from verbenaplank.protocol.membership import ConfigurationUpdate
from verbenaplank.protocol.membership import EvacuationList
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import LeaseGrant
from verbenaplank.protocol.membership import RegistrarGroup


def grant(number: int) -> FromControl:
    return FromControl(lease=LeaseGrant(lease_ms=5_000.0, number=number))


def test_lease_counts_from_the_heartbeat_that_it_answers() -> None:
    """Counted from the arrival of the grant, the lease would outlast the leader's."""
    state = ClientState()
    state.record_heartbeat(1, 10.0)
    state.record_heartbeat(2, 11.0)
    state.apply(grant(1))

    assert state.lease_valid(14.9)
    assert not state.lease_valid(15.0)


def test_lease_after_a_gap_has_a_new_start() -> None:
    """A lease granted after expiry must not hide the gap."""
    state = ClientState()
    for number, sent_s in enumerate((10.0, 14.0, 30.0)):
        state.record_heartbeat(number, sent_s)
        state.apply(grant(number))
        if number < 2:
            assert state.lease_since_s == 10.0

    assert state.lease_valid(31.0)
    assert state.lease_since_s == 30.0


def test_grant_of_an_earlier_stream_renews_nothing() -> None:
    """Each stream numbers its heartbeats from the start.

    A late grant could therefore match a heartbeat of the new stream.
    """
    state = ClientState()
    state.record_heartbeat(7, 10.0)
    state.reset_heartbeats()
    state.apply(grant(7))

    assert not state.lease_valid(10.0)


def test_state_is_ready_only_with_a_configuration() -> None:
    state = ClientState()
    state.apply(FromControl())
    assert not state.ready
    state.apply(FromControl(configuration=ConfigurationUpdate(version=0)))
    assert state.ready


def test_only_newer_registrar_groups_and_drain_changes_are_reported() -> None:
    state = ClientState()
    newer = FromControl(registrars=RegistrarGroup(epoch=2, registrars=()), drain=True)
    older = FromControl(registrars=RegistrarGroup(epoch=1, registrars=()), drain=True)

    kinds = [event.kind for event in state.apply(newer)]
    assert kinds == [MembershipEventKind.REGISTRARS, MembershipEventKind.DRAIN]
    assert state.apply(older) == []
    assert state.drain_ordered


def test_older_evacuation_list_is_ignored() -> None:
    """An instance that lags behind must not end an evacuation at a member."""
    state = ClientState()
    newest = EvacuationList(revision=5, data_centres=("Kochi",))
    update = ConfigurationUpdate(version=0)
    events = state.apply(FromControl(configuration=update, evacuations=newest))
    assert [event.kind for event in events] == [
        MembershipEventKind.EVACUATIONS,
        MembershipEventKind.CONFIGURATION,
    ]
    assert state.apply(FromControl(evacuations=EvacuationList(revision=4))) == []
    assert state.apply(FromControl()) == []
    assert state.evacuations == newest
