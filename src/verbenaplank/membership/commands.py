"""Replicated commands that change the member list and the registrar group."""

from __future__ import annotations

import attrs

from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import Registrar


@attrs.frozen(kw_only=True)
class Announce:
    """Adds a member to the member list or replaces its announcement.

    Attributes
    ----------
    rejoin
        Whether the member had joined before on the same stream.  A rejoin never
        replaces another incarnation.
    """

    member: Member
    rejoin: bool = False


@attrs.frozen(kw_only=True)
class Leave:
    """Removes one incarnation of a member from the member list.

    Attributes
    ----------
    expired
        Whether the member's lease expired; otherwise the member asked to leave.
    """

    member_id: str
    incarnation: str
    expired: bool = False


@attrs.frozen(kw_only=True)
class OrderDrain:
    """Orders a member to drain, or withdraws an operator's drain order."""

    member_id: str
    drain: bool


@attrs.frozen(kw_only=True)
class SetRegistrars:
    """Starts the transition to another registrar group.

    Attributes
    ----------
    expected_epoch
        The command is refused unless the newest group has this epoch.
    """

    expected_epoch: int
    registrars: tuple[Registrar, ...]


@attrs.frozen(kw_only=True)
class EnterEpoch:
    """Reports that a registrar of the former group has stopped granting claims.

    Attributes
    ----------
    epoch
        The epoch that the registrar has entered; it grants nothing in earlier ones.
    latest_grant_ms
        Latest timestamp, in milliseconds since the Unix epoch, of a job id that
        the registrar may have granted.
    """

    epoch: int
    instance_id: str
    latest_grant_ms: int
