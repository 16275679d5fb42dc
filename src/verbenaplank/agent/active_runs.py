"""The runs on a leased backend server whose end is not known yet, without I/O."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenaplank.agent.active_run import infer_end
from verbenaplank.agent.active_run import record_end

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.agent.active_run import ActiveRun
    from verbenaplank.agent.lease_protocol import EndKind
    from verbenaplank.agent.lease_protocol import PollReply
    from verbenaplank.agent.lease_protocol import RunId

MAX_UNKNOWN_RUN_S = 0.5
"""How long a run that this agent has not started may go on once it is listed.

The lease is not extended past this time, whether or not a stop request is answered."""


class ActiveRuns:
    """Finds runs by their id and by task, and records their ends.

    Attributes
    ----------
    acknowledged_sequence
        Highest sequence number of the ends that were listed.
    polls_sent
        Number of polls that were sent.
    has_unacknowledged_ends
        Whether ends were listed since the last request that acknowledges them.
    """

    def __init__(self) -> None:
        self.acknowledged_sequence = 0
        self.polls_sent = 0
        self.has_unacknowledged_ends = False
        self._unknown_since_s: dict[RunId, float] = {}
        self._runs: dict[RunId, ActiveRun] = {}
        self._runs_by_task_id: dict[str, ActiveRun] = {}
        self._latest_by_name: dict[str, ActiveRun] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def __iter__(self) -> Iterator[ActiveRun]:
        return iter(self._runs.values())

    def __contains__(self, run_id: object) -> bool:
        return run_id in self._runs

    def add(self, task_id: str, run: ActiveRun) -> None:
        """Add a run that is about to start."""
        self._runs[run.run_id] = self._runs_by_task_id[task_id] = run
        self._latest_by_name[run.run_id.task] = run

    def remove(self, task_id: str, run: ActiveRun) -> None:
        """Remove a run that has ended or has not started."""
        self._runs.pop(run.run_id, None)
        self._runs_by_task_id.pop(task_id, None)
        if self._latest_by_name.get(run.run_id.task) is run:
            del self._latest_by_name[run.run_id.task]

    def find(self, task_id: str) -> ActiveRun | None:
        """Return the run of a task, or ``None`` if it has none."""
        return self._runs_by_task_id.get(task_id)

    def latest_of(self, name: str) -> ActiveRun | None:
        """Return the latest run of the task of a name, also if another entry sent it.

        Return ``None`` if it has no run.
        """
        return self._latest_by_name.get(name)

    @property
    def any_stopping(self) -> bool:
        """Whether the agent is stopping a run."""
        return any(run.stop_requested for run in self._runs.values())

    def must_end_by_s(self) -> float:
        """Return the monotonic time by which the first run must have ended.

        All runs share one lease, so it must not last longer, whether or not a stop
        request is carried out.  Return infinity without a run.
        """
        limits_s = [
            run.must_end_by_s for run in self._runs.values() if not run.end.done()
        ]
        since_s = self._unknown_since_s.values()
        limits_s += [listed_s + MAX_UNKNOWN_RUN_S for listed_s in since_s]
        return min(limits_s, default=math.inf)

    def update_unknown(self, reply: PollReply, now_s: float) -> list[RunId]:
        """Return the active runs that this agent has not started or has reported.

        Such a run comes from a start request that was carried out after the backend
        server had restarted, and its task may run elsewhere.
        """
        since_s = self._unknown_since_s
        self._unknown_since_s = {
            progress.run: since_s.get(progress.run, now_s)
            for progress in reply.active
            if progress.run not in self._runs
        }
        return list(self._unknown_since_s)

    def record_ends(self, reply: PollReply) -> None:
        """Record the ends that a reply lists."""
        for ended in reply.ended:
            self.acknowledged_sequence = max(self.acknowledged_sequence, ended.sequence)
            self.has_unacknowledged_ends = True
            run = self._runs.get(ended.run)
            if run is not None:
                record_end(run, ended.kind)

    def record_unlisted(self, reply: PollReply, poll_number: int) -> None:
        """Infer the ends of runs that a reply should list as active, but does not.

        Parameters
        ----------
        poll_number
            Number of the poll that was answered.
        """
        listed = {progress.run for progress in reply.active}
        for run_id, run in list(self._runs.items()):
            visible_after = run.visible_after_poll
            if visible_after is None or poll_number <= visible_after:
                continue
            if run_id not in listed:
                record_end(run, infer_end(run))

    def update_progress(self, reply: PollReply, now_s: float) -> list[ActiveRun]:
        """Record the progress of the active runs, and return those that stall."""
        stalled = []
        for progress in reply.active:
            run = self._runs.get(progress.run)
            if run is None or run.visible_after_poll is None or run.stop_requested:
                continue
            if run.update_progress(progress.percent, now_s):
                stalled.append(run)
        return stalled

    def any_in_doubt(self, now_s: float) -> bool:
        """Return whether a later life of the backend server may begin a run."""
        return any(run.is_in_doubt(now_s) for run in self._runs.values())

    def end_certain(self, kind: EndKind, now_s: float) -> None:
        """Record the same end for all runs that no later life may begin."""
        for run in list(self._runs.values()):
            if not run.is_in_doubt(now_s):
                record_end(run, kind)

    def end_all(self, kind: EndKind) -> None:
        """Record the same end for all runs."""
        for run in list(self._runs.values()):
            record_end(run, kind)
