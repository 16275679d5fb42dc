"""Settings of ``verbena-agent``."""

from __future__ import annotations

import attrs
from attrs import validators

from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.common import Listen
from verbenaplank.settings.common import LoggingSettings
from verbenaplank.settings.common import TlsSettings
from verbenaplank.settings.common import not_empty
from verbenaplank.settings.common import port_number
from verbenaplank.settings.common import positive


@attrs.frozen(kw_only=True)
class BackendServerSettings:
    """Address, services and capacity of the backend server beside the agent.

    Attributes
    ----------
    run_path
        Path to which a POST runs a task; ``{service}`` stands for the service name.
    stop_path
        Path to which a POST stops a task, empty if the backend server has none;
        ``{task}`` stands for the value of the ``Task-Id`` header.
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
    """Resources of the worker behind the backend server."""

    cores: float = attrs.field(default=1.0, validator=positive)
    memory_mb: int = attrs.field(default=1024, validator=positive)
    accelerators: int = attrs.field(default=0, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class AgentLimits:
    """Limits of an agent.

    Attributes
    ----------
    retention_s
        Time for which started tasks are remembered and results are kept.
    max_queued_tasks
        Number of tasks that may wait for a slot; further dispatches are refused.
    drain_timeout_s
        Longest time for which a drain waits for the tasks in progress.
    """

    retention_s: float = attrs.field(default=300.0, validator=positive)
    max_queued_tasks: int = attrs.field(default=64, validator=validators.ge(0))
    drain_timeout_s: float = attrs.field(default=30.0, validator=positive)


@attrs.frozen(kw_only=True)
class AgentSettings:
    """All settings in the settings file of ``verbena-agent``."""

    instance_id: str = attrs.field(validator=not_empty)
    data_centre: str = attrs.field(validator=not_empty)
    rack: str = ""
    rpc: Listen
    control: tuple[ControlPeer, ...] = attrs.field(validator=validators.min_len(1))
    backend_server: BackendServerSettings
    worker: WorkerSettings = attrs.field(factory=WorkerSettings)
    limits: AgentLimits = attrs.field(factory=AgentLimits)
    tls: TlsSettings | None = None
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
