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
    """Timing of the replicated log."""

    heartbeat_ms: float = attrs.field(default=100.0, validator=positive)
    election_timeout_ms: float = attrs.field(default=1_000.0, validator=positive)
    snapshot_every_entries: int = attrs.field(default=500, validator=positive)


@attrs.frozen(kw_only=True)
class GroupSettings:
    """How the control instances come together.

    Attributes
    ----------
    open
        Whether instances that ``peers`` does not name may join.  The id of each
        is then its RPC address, and the group is kept at twice
        ``tolerated_losses`` plus one voters.
    may_found
        Whether instances with empty storage found a group.
    tolerated_losses
        Storages that may be lost at the same time.
    """

    open: bool = False
    may_found: bool = True
    tolerated_losses: int = attrs.field(default=0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Leases of members."""

    heartbeat_ms: float = attrs.field(default=1_000.0, validator=positive)
    lease_ms: float = attrs.field(default=5_000.0, validator=positive)


@attrs.frozen(kw_only=True)
class AdministrationSettings:
    """Who may create sections.

    Attributes
    ----------
    token_sha256
        SHA-256 of the administrators' token, in hexadecimal.
    document_path
        A TOML file with the first document, used only when there is none.
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
    """Limits of a registrar's claims."""

    retention_s: float = attrs.field(default=300.0, validator=positive)
    max_clock_skew_s: float = attrs.field(default=5.0, validator=positive)


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Everything that ``verbena-control`` reads from its settings file.

    ``peers`` names every control instance, this one included; of an open group
    it names some, which found it.
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
