"""Status reports that a backend server sends to the agent beside it."""

from __future__ import annotations

import attrs

from verbenaplank.placement.task import Resources


@attrs.frozen(kw_only=True)
class BackendServerReport:
    """Status of one incarnation of a backend server.

    Attributes
    ----------
    server_id
        Id of the backend server; it may be used again after a restart.
    incarnation
        Differs between two incarnations with the same id.
    sequence
        Increases with each report of one incarnation.
    service
        Service whose tasks the backend server runs.
    address
        Host and port of the backend server.
    draining
        Whether the backend server is about to leave.
    size
        Resources of the worker that the backend server runs on.
    labels
        Kind of the worker, then its rack.
    cold_remaining_ms
        For how many milliseconds the backend server stays slow after its start or
        after a return.
    """

    server_id: str
    incarnation: str
    sequence: int
    service: str
    address: str
    slots: int
    draining: bool
    size: Resources
    labels: tuple[str, ...] = ()
    cold_remaining_ms: float = 0.0
