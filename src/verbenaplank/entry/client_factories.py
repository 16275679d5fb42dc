"""Factories for the entry's connections to control instances and registrars."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.claims.client import ClaimClient
from verbenaplank.membership.client import MembershipClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager
    from random import Random

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.interfaces import Claims
    from verbenaplank.entry.interfaces import ClaimsFactory
    from verbenaplank.entry.interfaces import Membership
    from verbenaplank.entry.interfaces import MembershipFactory
    from verbenaplank.protocol.membership import Member
    from verbenaplank.settings.entry import EntrySettings


def membership_factory(
    settings: EntrySettings, clock: MonotonicClock
) -> MembershipFactory:
    """Return a factory of clients that join the membership at the control instances."""

    def open_membership(
        member: Member, listener: Callable[[object], None]
    ) -> AbstractAsyncContextManager[Membership]:
        return MembershipClient(member, settings.control, settings.tls, clock, listener)

    return open_membership


def claims_factory(
    settings: EntrySettings, clock: MonotonicClock, random: Random
) -> ClaimsFactory:
    """Return a factory of clients that claim job ids at the registrars."""

    def open_claims(member: Member) -> AbstractAsyncContextManager[Claims]:
        return ClaimClient(
            member.member_id,
            member.incarnation,
            member.address,
            settings.tls,
            clock,
            random,
        )

    return open_claims
