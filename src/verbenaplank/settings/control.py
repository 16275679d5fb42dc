"""Settings of ``verbena-control``."""

from __future__ import annotations

import attrs
from attrs import validators

from verbenaplank.settings.clients import ClientSettings
from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.common import Listen
from verbenaplank.settings.common import LoggingSettings
from verbenaplank.settings.common import TlsSettings
from verbenaplank.settings.common import not_empty
from verbenaplank.settings.common import positive

SHA256_HEX_CHARACTERS = 64


@attrs.frozen(kw_only=True)
class ConsensusSettings:
    """Timing and snapshots of the replicated log.

    Attributes
    ----------
    snapshot_every_entries
        Number of applied entries after which the log is compacted.
    """

    heartbeat_ms: float = attrs.field(default=100.0, validator=positive)
    election_timeout_ms: float = attrs.field(default=1_000.0, validator=positive)
    snapshot_every_entries: int = attrs.field(default=500, validator=positive)


@attrs.frozen(kw_only=True)
class GroupSettings:
    """How the control instances form a cluster.

    Attributes
    ----------
    open
        Whether instances that ``peers`` does not name may join.  If so, the id
        of each instance is its RPC address, and the number of voters is kept at
        twice ``tolerated_losses`` plus one.
    may_found
        Whether instances with empty storage may form a new cluster.
    tolerated_losses
        Number of instances that may lose their storage at the same time.
    """

    open: bool = False
    may_found: bool = True
    tolerated_losses: int = attrs.field(default=0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Heartbeat interval and lease of members."""

    heartbeat_ms: float = attrs.field(default=1_000.0, validator=positive)
    lease_ms: float = attrs.field(default=5_000.0, validator=positive)


@attrs.frozen(kw_only=True)
class AdministrationSettings:
    """The administrators' token and the initial configuration.

    Attributes
    ----------
    token_sha256
        SHA-256 of the administrators' token, in hexadecimal.
    document_path
        Path of a TOML file with the initial configuration document; it is only
        used while there is no document.
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
    """Limits of the claims that a registrar grants.

    Attributes
    ----------
    retention_s
        How long a granted job id is kept in seconds, counted from its timestamp.
    max_clock_skew_s
        How far in the future the timestamp of a job id may be, in seconds.
    """

    retention_s: float = attrs.field(default=300.0, validator=positive)
    max_clock_skew_s: float = attrs.field(default=5.0, validator=positive)


@attrs.frozen(kw_only=True)
class ControlSettings:
    """All settings of ``verbena-control``, as in its settings file.

    Attributes
    ----------
    peers
        All control instances, including this one.  In an open group, only the
        ones that may form the cluster.
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
    clients: ClientSettings = attrs.field(factory=ClientSettings)
    tls: TlsSettings | None = None
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
