"""Limits of an agent's admission control."""

from __future__ import annotations

import attrs

from verbenaplank.placement.task import Resources


@attrs.frozen(kw_only=True)
class GateLimits:
    """Limits on concurrent tasks, queued tasks and retained records.

    Attributes
    ----------
    slots
        Maximum number of tasks that run at a time.
    max_queued_tasks
        Maximum number of dispatches that wait because no capacity is free.
    retention_s
        How long started tasks and results are retained, in seconds.
    size
        Resources that the running tasks may use in total; ``None`` if only the slots
        limit them.
    """

    slots: int
    max_queued_tasks: int
    retention_s: float
    size: Resources | None = None
