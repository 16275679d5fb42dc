from __future__ import annotations

from verbenaplank.membership.leases import LeaseTable
from verbenaplank.membership.renewals import Renewal
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole

LEASE_S = 10.0
EXPIRY_S = 11.0


def member(member_id: str, incarnation: str = "a") -> Member:
    return Member(
        member_id=member_id,
        role=MemberRole.AGENT,
        incarnation=incarnation,
        data_centre="Kochi",
        address="h:1",
    )


def test_only_unrenewed_leases_expire_and_only_once() -> None:
    table = LeaseTable(LEASE_S)
    table.reset([member("a"), member("b")], 0.0)
    table.renew(Renewal(member_id="a", incarnation="a"), 5.0)

    assert table.pop_expired(EXPIRY_S - 0.01) == []
    assert table.pop_expired(EXPIRY_S) == [("b", "a")]
    assert table.pop_expired(EXPIRY_S) == []
    assert table.pop_expired(5.0 + EXPIRY_S) == [("a", "a")]


def test_leader_expires_a_lease_later_than_the_member_does() -> None:
    """Without a margin, a slow member clock could outlast the lease."""
    table = LeaseTable(LEASE_S)
    table.renew(Renewal(member_id="a", incarnation="a"), 0.0)

    assert table.pop_expired(LEASE_S * 1.05) == []


def test_leases_of_a_new_leader_count_from_the_reset() -> None:
    """The new leader does not know the renewals of the former one."""
    table = LeaseTable(LEASE_S)
    table.reset([member("a")], 0.0)
    table.reset([member("a")], 8.0)

    assert table.pop_expired(EXPIRY_S) == []
    assert table.leases["a"].configuration_version is None


def test_sync_adds_leases_of_new_members_and_drops_those_that_left() -> None:
    table = LeaseTable(LEASE_S)
    table.reset([member("a"), member("b")], 0.0)
    members = {"a": member("a"), "b": member("b", "later"), "c": member("c")}
    table.sync_members(members, 5.0)
    del members["a"]
    table.sync_members(members, 6.0)

    assert table.pop_expired(EXPIRY_S) == []
    assert table.pop_expired(5.0 + EXPIRY_S) == [("b", "later"), ("c", "a")]
