"""Messages between a member (an entry or an agent) and a control instance."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.routing.table import RoutingTable


class MemberRole(StrEnum):
    """What a member does."""

    ENTRY = "entry"
    AGENT = "agent"


@attrs.frozen(kw_only=True)
class WorkerSize:
    """What one worker holds."""

    cores: float = 1
    memory_mb: int = 1024
    accelerators: int = 0


@attrs.frozen(kw_only=True)
class Member:
    """An entry, or an agent with the backend server beside it.

    Attributes
    ----------
    address
        ``host:port`` of the member's own gRPC endpoint.
    services
        Names of the services that the backend server offers.
    slots
        How many tasks the backend server runs at a time.
    """

    member_id: str
    role: MemberRole
    incarnation: str
    data_centre: str
    address: str
    rack: str = ""
    services: tuple[str, ...] = ()
    slots: int = 0
    connections: int = 0
    worker: WorkerSize = WorkerSize()
    draining: bool = False


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Renews a member's lease and tells which configuration it has in force.

    Attributes
    ----------
    number
        Counts the heartbeats of one stream from 1; the grant repeats it.
    """

    configuration_version: int
    draining: bool = False
    number: int = 0


@attrs.frozen(kw_only=True)
class ToControl:
    """Envelope from a member; the first one carries ``member``.

    Attributes
    ----------
    members_revision
        Revision of the member list that the sender has; only in the first one.
    """

    member: Member | None = None
    heartbeat: Heartbeat | None = None
    leaving: bool = False
    members_revision: int = 0


@attrs.frozen(kw_only=True)
class SectionState:
    """One section of the configuration, as TOML text."""

    name: str
    owner: str
    version: int
    text: str


@attrs.frozen(kw_only=True)
class ConfigurationUpdate:
    """Sections changed since the version that the receiver had.

    Attributes
    ----------
    version
        Version of the whole document; grows by one with each change.
    complete
        Whether ``sections`` is the whole document.
    """

    version: int
    sections: tuple[SectionState, ...] = ()
    removed: tuple[str, ...] = ()
    complete: bool = False


@attrs.frozen(kw_only=True)
class MembersUpdate:
    """Members that joined or changed, and the ids of those that left.

    Attributes
    ----------
    revision
        Revision of the member list after this update; it grows with each change.
    complete
        Whether ``changed`` is the whole member list.
    """

    changed: tuple[Member, ...] = ()
    left: tuple[str, ...] = ()
    complete: bool = False
    revision: int = 0


@attrs.frozen(kw_only=True)
class Registrar:
    """A control instance that grants claims.

    Attributes
    ----------
    storage_id
        Incarnation of its storage when the group was put in force.
    """

    instance_id: str
    address: str
    data_centre: str
    storage_id: str = ""


@attrs.frozen(kw_only=True)
class RegistrarGroup:
    """The registrars in force, under their epoch."""

    epoch: int
    registrars: tuple[Registrar, ...]


@attrs.frozen(kw_only=True)
class LeaseGrant:
    """The member's lease, counted from when it sent the heartbeat ``number``.

    Attributes
    ----------
    heartbeat_ms
        How often the member sends heartbeats.
    """

    lease_ms: float
    number: int = 0
    heartbeat_ms: float = 1_000.0


@attrs.frozen(kw_only=True)
class FromControl:
    """Envelope from a control instance to a member.

    Attributes
    ----------
    routing
        The routing table in force, for entries.
    current
        Whether a quorum backed that this is the newest state.
    drain
        Whether the member is ordered to drain.
    left
        Whether the member's leave has been accepted; the last message.
    """

    lease: LeaseGrant | None = None
    members: MembersUpdate | None = None
    configuration: ConfigurationUpdate | None = None
    registrars: RegistrarGroup | None = None
    routing: RoutingTable | None = None
    current: bool = True
    drain: bool = False
    left: bool = False
