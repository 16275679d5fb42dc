"""Messages and RPC methods for lease renewals between control instances."""

from __future__ import annotations

import attrs

from verbenaplank.rpc.method import StreamMethod
from verbenaplank.rpc.method import UnaryMethod


@attrs.frozen(kw_only=True)
class Renewal:
    """A member's heartbeat as a control instance forwards it to the leader."""

    member_id: str
    incarnation: str
    configuration_version: int = 0
    number: int = 0


@attrs.frozen(kw_only=True)
class RenewalBatch:
    """The renewals that one control instance collected since its last batch."""

    renewals: tuple[Renewal, ...] = ()


@attrs.frozen(kw_only=True)
class RenewalReply:
    """The leader's answer to a batch.

    Attributes
    ----------
    leads
        Whether the receiver is the leader and has a quorum.
    granted
        The renewals for which the leader renewed the lease.
    unknown
        The renewals of incarnations that are not in the member list, or whose
        removal is being proposed.
    """

    leads: bool
    granted: tuple[Renewal, ...] = ()
    unknown: tuple[Renewal, ...] = ()


@attrs.frozen(kw_only=True)
class LeasesRequest:
    """Request for the leader's leases."""


@attrs.frozen(kw_only=True)
class LeaseReport:
    """A lease as the leader reports it.

    Attributes
    ----------
    renewed_ago_ms
        Milliseconds since the last renewal.
    configuration_version
        The version in the member's last renewal; ``None`` if there was none.
    """

    member_id: str
    incarnation: str
    renewed_ago_ms: float
    configuration_version: int | None = None


@attrs.frozen(kw_only=True)
class LeasesReply:
    """The leader's leases; empty with ``leads`` false from any other instance."""

    leads: bool
    leases: tuple[LeaseReport, ...] = ()


RENEW = StreamMethod("/verbenaplank.Control/Renew", RenewalBatch, RenewalReply)
LEASES = UnaryMethod("/verbenaplank.Control/Leases", LeasesRequest, LeasesReply)
