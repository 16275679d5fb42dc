"""Messages between control instances: heartbeats passed on to the leader."""

from __future__ import annotations

import attrs

from verbenaplank.rpc.method import StreamMethod
from verbenaplank.rpc.method import UnaryMethod


@attrs.frozen(kw_only=True)
class Renewal:
    """A member's heartbeat as a control instance passes it on."""

    member_id: str
    incarnation: str
    configuration_version: int = 0
    number: int = 0


@attrs.frozen(kw_only=True)
class RenewalBatch:
    """What the members of one control instance sent since the last batch."""

    renewals: tuple[Renewal, ...] = ()


@attrs.frozen(kw_only=True)
class RenewalReply:
    """The leader's answer to a batch.

    Attributes
    ----------
    leads
        Whether the receiver is the leader and its own lease runs.
    granted
        The renewals whose leases run for a term from now.
    unknown
        The renewals of incarnations that are no members.
    """

    leads: bool
    granted: tuple[Renewal, ...] = ()
    unknown: tuple[Renewal, ...] = ()


@attrs.frozen(kw_only=True)
class LeasesRequest:
    """Asks the leader for its leases."""


@attrs.frozen(kw_only=True)
class LeaseReport:
    """A lease as the leader knows it.

    Attributes
    ----------
    configuration_version
        What the member last said to have in force; ``None`` if nothing yet.
    """

    member_id: str
    incarnation: str
    renewed_ago_ms: float
    configuration_version: int | None = None


@attrs.frozen(kw_only=True)
class LeasesReply:
    """The leader's leases."""

    leads: bool
    leases: tuple[LeaseReport, ...] = ()


RENEW = StreamMethod("/verbenaplank.Control/Renew", RenewalBatch, RenewalReply)
LEASES = UnaryMethod("/verbenaplank.Control/Leases", LeasesRequest, LeasesReply)
