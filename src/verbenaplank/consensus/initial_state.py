"""Initial state of a replica, built from the content of its storage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.log import Log
from verbenaplank.consensus.state import ReplicaState
from verbenaplank.protocol.consensus import LogEntryKind

if TYPE_CHECKING:
    import random

    from verbenaplank.consensus.state import GroupRules
    from verbenaplank.consensus.state import Timing
    from verbenaplank.storage.model import StoredState


def initial_state(
    stored: StoredState,
    peer_ids: tuple[str, ...],
    timing: Timing,
    random: random.Random,
    now_s: float,
    group: GroupRules,
) -> ReplicaState:
    """Return the state of a follower with the term, vote and log from its storage.

    The replica may have acknowledged a leader just before it stopped, and that
    leader may still hold a lease. It therefore ignores vote requests for an election
    timeout, as if it had heard from a leader at ``now_s``.
    """
    snapshot = stored.snapshot
    base = (snapshot.index, snapshot.term) if snapshot else (0, 0)
    history = [(snapshot.index, snapshot.members)] if snapshot else []
    history += [
        (entry.index, entry.members)
        for entry in stored.entries
        if entry.kind is LogEntryKind.MEMBERSHIP
    ]
    log = Log(*base, stored.entries)
    return ReplicaState(
        identity=stored.identity,
        peer_ids=peer_ids,
        timing=timing,
        random=random,
        started_s=now_s,
        term=stored.vote.term,
        voted_for=stored.vote.voted_for,
        log=log,
        snapshot=snapshot,
        durable_index=log.last_index,
        member_history=history,
        commit_index=base[0],
        last_leader_contact_s=now_s,
        now_s=now_s,
        group=group,
    )
