"""Parameters of task placement at one entry."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class HealthSettings:
    """Parameters of the quarantine of backend servers and of their return.

    Attributes
    ----------
    minimum_evidence
        Least number of independent failures without a success that lead to a
        quarantine; on probation, one is enough.
    false_positive_probability
        Largest accepted probability that a healthy backend server shows the
        required number of failures in a row, given how often the others fail.
    max_quarantined_share
        Largest share of a service's backend servers in quarantine.  Those that
        are on probation or suspected count towards it.
    first_quarantine_s, max_quarantine_s
        Duration of the first quarantine, which doubles with each relapse, and
        its upper limit.
    successes_to_return
        Number of successes since the quarantine, one task at a time, that end the
        probation.
    max_remembered_jobs
        Number of jobs whose results are kept as evidence.
    """

    minimum_evidence: int = 3
    false_positive_probability: float = 1e-4
    max_quarantined_share: float = 0.34
    first_quarantine_s: float = 1.0
    max_quarantine_s: float = 60.0
    successes_to_return: int = 3
    max_remembered_jobs: int = 4_096


@attrs.frozen(kw_only=True)
class PlacementSettings:
    """Parameters of the choice of a backend server for a task.

    Attributes
    ----------
    own_round_trip_s, other_round_trip_s
        Assumed round trip time to an agent in the entry's own data centre, and
        in another.
    minimum_prefetch
        Least number of tasks that may wait at an agent beyond its slots, so that
        a slot which becomes free gets its next task at once.
    guaranteed_tasks
        Tasks that an entry may have at an agent regardless of other entries.
    report_validity_s
        Age at which a load report is no longer used.
    credits_per_entry
        Tasks that each entry may have at an agent under the ``slot_credits``
        policy.
    max_outstanding_per_agent
        Largest number of tasks of an entry at an agent under the policies
        ``random``, ``least_outstanding`` and ``power_of_two``, which assign a
        task immediately instead of queueing it at the entry.
    max_candidates
        Largest number of backend servers compared for one task; a larger fleet
        is sampled.
    tie_share
        Share of a task's run time within which two expected completions count
        as equal.
    stall_factor
        Multiple of the expected run time without a finished task after which
        a backend server counts as stalled.
    straggler_factor
        Multiple of the median slowness above which a backend server gets
        exclusive tasks only as single probes.
    straggler_probe_interval_s
        Time between two such probes: an idle straggler gets the next one when it
        has finished no task for this time.
    minimum_stall_s
        Least time without a finished task before a backend server counts as
        stalled, so that the first longer task of a service with short tasks is
        not taken for a stall.
    cold_factor
        How many times longer tasks run at the beginning of a backend server's cold
        time, until it is learned.
    """

    own_round_trip_s: float = 0.001
    other_round_trip_s: float = 0.003
    minimum_prefetch: int = 0
    guaranteed_tasks: int = 1
    report_validity_s: float = 0.5
    credits_per_entry: int = 4
    max_outstanding_per_agent: int = 24
    max_candidates: int = 16
    tie_share: float = 0.02
    stall_factor: float = 4.0
    minimum_stall_s: float = 0.5
    straggler_factor: float = 2.5
    straggler_probe_interval_s: float = 0.5
    cold_factor: float = 1.5
    health: HealthSettings = HealthSettings()
