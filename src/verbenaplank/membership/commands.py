"""Commands that change the member list and the registrar group."""

from __future__ import annotations

import attrs

from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import Registrar


@attrs.frozen(kw_only=True)
class Announce:
    """A member joins, or tells something new of itself.

    Attributes
    ----------
    rejoin
        Whether the member was a member before; a rejoin never replaces
        another incarnation.
    """

    member: Member
    rejoin: bool = False


@attrs.frozen(kw_only=True)
class Leave:
    """One incarnation of a member left, or its lease expired."""

    member_id: str
    incarnation: str
    expired: bool = False


@attrs.frozen(kw_only=True)
class OrderDrain:
    """An operator orders a member to drain, or takes the order back."""

    member_id: str
    drain: bool


@attrs.frozen(kw_only=True)
class SetRegistrars:
    """Puts another registrar group in force if the epoch is the expected one."""

    expected_epoch: int
    registrars: tuple[Registrar, ...]


@attrs.frozen(kw_only=True)
class EnterEpoch:
    """A registrar of the former group grants nothing of earlier epochs any more.

    Attributes
    ----------
    latest_grant_ms
        The latest timestamp, in milliseconds since the Unix epoch, that it may
        have granted.
    """

    epoch: int
    instance_id: str
    latest_grant_ms: int
