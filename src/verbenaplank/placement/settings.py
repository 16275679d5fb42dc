"""Parameters of placement."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class HealthSettings:
    """When a backend server is quarantined and how it returns.

    Attributes
    ----------
    minimum_evidence
        Independent failures without a success that lead to quarantine.
    chance_of_error
        Largest accepted chance that a healthy backend server shows that many
        failures in a row, given how often the others fail.
    max_quarantined_share
        Largest share of a service's backend servers in quarantine.
    first_quarantine_s, max_quarantine_s
        A quarantine lasts the former at first; each relapse doubles it.
    successes_to_return
        Successes in a row, one task at a time, that end the trial period.
    max_remembered_jobs
        Jobs whose results are kept as evidence.
    """

    minimum_evidence: int = 3
    chance_of_error: float = 1e-4
    max_quarantined_share: float = 0.34
    first_quarantine_s: float = 1.0
    max_quarantine_s: float = 60.0
    successes_to_return: int = 3
    max_remembered_jobs: int = 4_096


@attrs.frozen(kw_only=True)
class PlacementSettings:
    """Parameters of the fleet as one entry knows it.

    Attributes
    ----------
    own_round_trip_s, other_round_trip_s
        Round trip to an agent in the entry's own data centre, and in another.
    minimum_lead
        Tasks that may wait at an agent beyond its slots, so that a slot which
        becomes free has its next task at once.
    guaranteed_tasks
        Tasks that an entry may have at an agent however much others have.
    report_validity_s
        Age at which a load report says nothing any more.
    credits_per_entry
        Tasks that an agent grants to each entry under the ``slot_credits``
        policy.
    max_outstanding_per_agent
        Tasks that an entry has at an agent at most under the policies that
        bind a task at once.
    max_candidates
        Backend servers compared for one task; a larger fleet is sampled.
    tie_share
        Share of a task's run time within which two completions count as equal.
    stall_factor
        Multiple of the expected run time without a finished task after which
        a backend server counts as stalled.
    straggler_factor
        Multiple of the median slowness from which on a backend server gets
        exclusive tasks only on trial.
    straggler_trial_s
        Pause between two such trials.
    minimum_silence_s
        No backend server counts as stalled before this time, so that the first
        longer task of a short service is not taken for a stall.
    """

    own_round_trip_s: float = 0.001
    other_round_trip_s: float = 0.003
    minimum_lead: int = 0
    guaranteed_tasks: int = 1
    report_validity_s: float = 0.5
    credits_per_entry: int = 4
    max_outstanding_per_agent: int = 24
    max_candidates: int = 16
    tie_share: float = 0.02
    stall_factor: float = 4.0
    minimum_silence_s: float = 0.5
    straggler_factor: float = 2.5
    straggler_trial_s: float = 0.5
    health: HealthSettings = HealthSettings()
