"""Settings of ``verbena-control``."""

from __future__ import annotations

import attrs
from attrs import validators

from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.common import Listen
from verbenaplank.settings.common import LoggingSettings
from verbenaplank.settings.common import TlsSettings
from verbenaplank.settings.common import not_empty
from verbenaplank.settings.common import positive

SHA256_HEX_CHARACTERS = 64


@attrs.frozen(kw_only=True)
class ConsensusSettings:
    """Timing of the replicated log, and the interval between snapshots."""

    heartbeat_ms: float = attrs.field(default=100.0, validator=positive)
    election_timeout_ms: float = attrs.field(default=1_000.0, validator=positive)
    snapshot_every_entries: int = attrs.field(default=500, validator=positive)


@attrs.frozen(kw_only=True)
class GroupSettings:
    """Formation of the group of control instances.

    Attributes
    ----------
    open
        Whether instances that ``peers`` does not list may join.  The id of such
        an instance is its RPC address, and the group is kept at
        ``2 * tolerated_losses + 1`` voters.
    may_found
        Whether instances with empty storage may form a new group.
    tolerated_losses
        Number of storages that may be lost at the same time.
    """

    open: bool = False
    may_found: bool = True
    tolerated_losses: int = attrs.field(default=0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Intervals of heartbeats and the duration of leases of the members."""

    heartbeat_ms: float = attrs.field(default=1_000.0, validator=positive)
    lease_ms: float = attrs.field(default=5_000.0, validator=positive)


@attrs.frozen(kw_only=True)
class AdministrationSettings:
    """Authentication of administrators, and the initial configuration.

    Attributes
    ----------
    token_sha256
        Hexadecimal SHA-256 of the token with which administrators authenticate,
        who may create sections.
    document_path
        Path of a TOML file with the first configuration document, used only if
        there is no document yet.
    """

    token_sha256: str = attrs.field(
        validator=[
            validators.min_len(SHA256_HEX_CHARACTERS),
            validators.max_len(SHA256_HEX_CHARACTERS),
        ]
    )
    document_path: str = ""


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """Limits of the claims that a registrar grants."""

    retention_s: float = attrs.field(default=300.0, validator=positive)
    max_clock_skew_s: float = attrs.field(default=5.0, validator=positive)


@attrs.frozen(kw_only=True)
class ControlSettings:
    """All settings in the settings file of ``verbena-control``.

    Attributes
    ----------
    peers
        All control instances, including this one.  For an open group, only the
        instances that form it at first.
    """

    instance_id: str = attrs.field(validator=not_empty)
    data_centre: str = attrs.field(validator=not_empty)
    data_folder: str = attrs.field(validator=not_empty)
    http: Listen
    rpc: Listen
    peers: tuple[ControlPeer, ...] = attrs.field(validator=validators.min_len(1))
    administration: AdministrationSettings
    consensus: ConsensusSettings = attrs.field(factory=ConsensusSettings)
    group: GroupSettings = attrs.field(factory=GroupSettings)
    membership: MembershipSettings = attrs.field(factory=MembershipSettings)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    tls: TlsSettings | None = None
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
