"""Settings of ``verbena-agent``."""

from __future__ import annotations

import attrs
from attrs import validators

from verbenaplank.settings.clients import ClientSettings
from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.common import Listen
from verbenaplank.settings.common import LoggingSettings
from verbenaplank.settings.common import TlsSettings
from verbenaplank.settings.common import not_empty
from verbenaplank.settings.common import port_number
from verbenaplank.settings.common import positive


@attrs.frozen(kw_only=True)
class BackendServerSettings:
    """The backend server beside the agent.

    Attributes
    ----------
    run_path
        Path to which a task is posted to run; ``{service}`` is replaced by the
        name of its service.
    stop_path
        Path to which a request to stop a task is posted; ``{task}`` is replaced
        by the value of the task's ``Task-Id`` header.  Empty if the backend
        server cannot stop tasks.
    """

    host: str = attrs.field(validator=not_empty)
    port: int = attrs.field(validator=port_number)
    services: tuple[str, ...] = attrs.field(validator=validators.min_len(1))
    slots: int = attrs.field(default=8, validator=positive)
    connections: int = attrs.field(default=64, validator=positive)
    run_path: str = "/run/{service}"
    stop_path: str = ""


@attrs.frozen(kw_only=True)
class WorkerSettings:
    """Resources of the worker that the backend server runs on."""

    cores: float = attrs.field(default=1.0, validator=positive)
    memory_mb: int = attrs.field(default=1024, validator=positive)
    accelerators: int = attrs.field(default=0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class AgentLimits:
    """Limits of an agent.

    Attributes
    ----------
    retention_s
        How long starts and results of tasks are kept, in seconds.
    max_queued_tasks
        Maximum number of tasks that wait for a slot; further dispatches are refused.
    drain_timeout_s
        Maximum time in seconds that a drain waits for the tasks in progress.
    """

    retention_s: float = attrs.field(default=300.0, validator=positive)
    max_queued_tasks: int = attrs.field(default=64, validator=validators.ge(0))
    drain_timeout_s: float = attrs.field(default=30.0, validator=positive)


@attrs.frozen(kw_only=True)
class AgentSettings:
    """All settings of ``verbena-agent``, as in its settings file."""

    instance_id: str = attrs.field(validator=not_empty)
    data_centre: str = attrs.field(validator=not_empty)
    rack: str = ""
    rpc: Listen
    control: tuple[ControlPeer, ...] = attrs.field(validator=validators.min_len(1))
    backend_server: BackendServerSettings
    worker: WorkerSettings = attrs.field(factory=WorkerSettings)
    limits: AgentLimits = attrs.field(factory=AgentLimits)
    clients: ClientSettings = attrs.field(factory=ClientSettings)
    tls: TlsSettings | None = None
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
