"""What a backend server says of itself to the agent beside it."""

from __future__ import annotations

import attrs

from verbenaplank.placement.task import Resources


@attrs.frozen(kw_only=True)
class BackendServerReport:
    """A status report.

    Attributes
    ----------
    server_id
        May come back with another life.
    incarnation
        Differs between two lives under the same id.
    sequence
        Grows with each report of one life.
    size
        What the worker under it holds.
    labels
        Kind and rack of the worker.
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
