"""Decides when a job that waits can no longer be of use to its caller.

Load pattern: large jobs or a loss of workers fill the queue, and jobs wait longer than
was expected when they were admitted.  Such a job leaves the queue at that moment
instead of being held until its time is over.
"""

from __future__ import annotations


def latest_start_s(useless_s: float, shortest_run_s: float) -> float:
    """Return the monotonic time by which the last task of a job must start.

    Parameters
    ----------
    useless_s
        Monotonic time from which an answer is useless.
    shortest_run_s
        Shortest time that a run of the task may take, in seconds.
    """
    return useless_s - shortest_run_s
