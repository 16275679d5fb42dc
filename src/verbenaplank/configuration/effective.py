"""What the sections of the document say together."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

DEFAULT_RUN_TIME_MS = 200.0
DEFAULT_RUN_TIMEOUT_MS = 30_000.0
DEFAULT_MAX_STARTS_PER_S = 100_000.0
DEFAULT_MAX_IN_PROGRESS = 100_000


@attrs.frozen(kw_only=True)
class ServiceRules:
    """Rules of one service.

    Attributes
    ----------
    run_time_ms
        Declared run time of a task; used until the service's own is learned.
    max_runs
        How often a task of an idempotent request may run.
    """

    name: str
    team: str
    idempotent: bool = False
    run_time_ms: float = DEFAULT_RUN_TIME_MS
    run_timeout_ms: float = DEFAULT_RUN_TIMEOUT_MS
    max_runs: int = 1


@attrs.frozen(kw_only=True)
class TeamRules:
    """Quota and credentials of one team.

    Attributes
    ----------
    token_sha256
        SHA-256 of the callers' token in hexadecimal; empty if none is asked.
    """

    name: str
    max_starts_per_s: float = DEFAULT_MAX_STARTS_PER_S
    max_in_progress: int = DEFAULT_MAX_IN_PROGRESS
    weight: float = 1.0
    token_sha256: str = ""


@attrs.frozen(kw_only=True)
class EffectiveConfiguration:
    """The whole document at one version."""

    version: int = 0
    services: Mapping[str, ServiceRules] = attrs.field(factory=dict)
    teams: Mapping[str, TeamRules] = attrs.field(factory=dict)
    drained_backend_servers: frozenset[str] = frozenset()
