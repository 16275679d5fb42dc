"""Messages between a member (an entry or an agent) and a control instance."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.routing.table import RoutingTable


class MemberRole(StrEnum):
    """Program that a member runs."""

    ENTRY = "entry"
    AGENT = "agent"


@attrs.frozen(kw_only=True)
class WorkerSize:
    """Resources of one worker."""

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
        Number of tasks that the backend server can run at the same time.
    connections
        Maximum number of connections from the agent to the backend server.
    worker
        Resources of the worker that the backend server runs on.
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
    """Renewal of a member's lease, with the version of its configuration.

    Attributes
    ----------
    configuration_version
        Version of the configuration that the member has in force.
    number
        Number of the heartbeat on its stream, from 1; the grant returns it.
    """

    configuration_version: int
    draining: bool = False
    number: int = 0


@attrs.frozen(kw_only=True)
class ToControl:
    """Envelope from a member to a control instance.

    Attributes
    ----------
    member
        Description of the sender; only in the first envelope of a stream and
        after it has changed.
    leaving
        Whether the member asks to leave.
    members_revision
        Revision of the member list that the sender has; only in the first
        envelope of a stream.
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
    """Sections that changed since the version that the receiver has.

    Attributes
    ----------
    version
        Version of the whole document; each change increases it by one.
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
        Revision of the member list after this update; each change increases it.
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
        Incarnation of its storage when the group came into force.
    """

    instance_id: str
    address: str
    data_centre: str
    storage_id: str = ""


@attrs.frozen(kw_only=True)
class RegistrarGroup:
    """The registrars in force and the epoch of their group."""

    epoch: int
    registrars: tuple[Registrar, ...]


@attrs.frozen(kw_only=True)
class EvacuationList:
    """The data centres in which nothing may start.

    Attributes
    ----------
    revision
        Revision of the list; each change increases it.
    """

    revision: int = 0
    data_centres: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class LeaseGrant:
    """Grant of a lease to a member.

    Attributes
    ----------
    lease_ms
        Duration of the lease in milliseconds, counted from the time at which the
        member sent the heartbeat ``number``.
    number
        Number of the heartbeat that this grant answers.
    heartbeat_ms
        Interval at which the member is to send heartbeats, in milliseconds.
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
        Whether a quorum has confirmed that this is the newest state.
    drain
        Whether an operator has ordered the member to drain.
    left
        Whether the member's request to leave was accepted; this is then the last
        message.
    evacuations
        The evacuated data centres; ``None`` if the member has the newest list.
    """

    lease: LeaseGrant | None = None
    members: MembersUpdate | None = None
    configuration: ConfigurationUpdate | None = None
    registrars: RegistrarGroup | None = None
    routing: RoutingTable | None = None
    current: bool = True
    drain: bool = False
    left: bool = False
    evacuations: EvacuationList | None = None
