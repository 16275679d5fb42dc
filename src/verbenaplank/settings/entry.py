"""Settings of ``verbena-entry``."""

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

MAX_TASKS_PER_JOB = 350


@attrs.frozen(kw_only=True)
class EntryLimits:
    """Limits of an entry.

    Attributes
    ----------
    max_body_bytes
        Maximum size of a request's body in bytes.
    max_queued_tasks
        Maximum number of tasks that wait at this entry; further requests are refused.
    agent_subset_size
        Number of agents of a service that an entry keeps streams to while they have
        free capacity; it uses up to twice as many while its tasks wait.
    retention_s
        How long an answer is kept, in seconds, for callers that submit the request
        again.
    max_clock_skew_s
        How far in the future the timestamp of a job id may be, in seconds.
    default_deadline_ms
        Milliseconds until the deadline of a request that sets none.
    drain_timeout_s
        Maximum time in seconds that a stop waits for the requests in progress.
    """

    max_body_bytes: int = attrs.field(default=1024 * 1024, validator=positive)
    max_tasks_per_job: int = attrs.field(default=MAX_TASKS_PER_JOB, validator=positive)
    max_queued_tasks: int = attrs.field(default=20_000, validator=positive)
    agent_subset_size: int = attrs.field(default=24, validator=positive)
    retention_s: float = attrs.field(default=300.0, validator=positive)
    max_clock_skew_s: float = attrs.field(default=5.0, validator=positive)
    default_deadline_ms: int = attrs.field(default=30_000, validator=positive)
    drain_timeout_s: float = attrs.field(default=30.0, validator=positive)


@attrs.frozen(kw_only=True)
class EntryPlacement:
    """What an entry knows of the backend servers that is not learned.

    Attributes
    ----------
    remote_factor
        How many times longer a task takes on another rack than the one it prefers.
        Above the stretch of a route, its tasks may be held for a better server.
    cold_factor
        How many times longer tasks run on a backend server that has just announced a
        cold time, until the entry has learned it.
    """

    remote_factor: float = attrs.field(default=1.0, validator=validators.ge(1.0))
    cold_factor: float = attrs.field(default=1.5, validator=validators.ge(1.0))


@attrs.frozen(kw_only=True)
class EntrySettings:
    """All settings of ``verbena-entry``, as in its settings file."""

    instance_id: str = attrs.field(validator=not_empty)
    data_centre: str = attrs.field(validator=not_empty)
    http: Listen
    rpc: Listen
    control: tuple[ControlPeer, ...] = attrs.field(validator=validators.min_len(1))
    limits: EntryLimits = attrs.field(factory=EntryLimits)
    placement: EntryPlacement = attrs.field(factory=EntryPlacement)
    clients: ClientSettings = attrs.field(factory=ClientSettings)
    tls: TlsSettings | None = None
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
