"""The effective configuration: the rules that all sections define together."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

DEFAULT_RUN_TIME_MS = 200.0
DEFAULT_RUN_TIMEOUT_MS = 30_000.0
DEFAULT_MAX_STARTS_PER_S = 100_000.0
DEFAULT_MAX_IN_PROGRESS = 100_000


@attrs.frozen(kw_only=True)
class ServiceRules:
    """Rules for the tasks of one service.

    Attributes
    ----------
    run_time_ms
        Declared run time of a task in milliseconds; used until run times of the
        service have been measured.
    run_timeout_ms
        Time limit of one run of a task in milliseconds.
    max_runs
        Maximum number of runs of a task in an idempotent request.
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
        Hexadecimal SHA-256 of the token that callers must present; if empty, no
        token is required.
    """

    name: str
    max_starts_per_s: float = DEFAULT_MAX_STARTS_PER_S
    max_in_progress: int = DEFAULT_MAX_IN_PROGRESS
    weight: float = 1.0
    token_sha256: str = ""


@attrs.frozen(kw_only=True)
class EffectiveConfiguration:
    """The rules of all services and teams at one version of the document."""

    version: int = 0
    services: Mapping[str, ServiceRules] = attrs.field(factory=dict)
    teams: Mapping[str, TeamRules] = attrs.field(factory=dict)
    drained_backend_servers: frozenset[str] = frozenset()
