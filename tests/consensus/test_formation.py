from __future__ import annotations

from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster

from verbenaplank.protocol.consensus import Foundation
from verbenaplank.protocol.consensus import Hello
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import StorageState

LONG_S = 20 * TIMING.election_timeout_s


def test_no_cluster_is_founded_while_an_instance_is_unreachable() -> None:
    """The unreachable instance might belong to an existing cluster."""
    cluster = Cluster(3, 1)
    cluster.crash("control-2")
    cluster.run_for(LONG_S)
    assert not any(item.state.is_member for item in cluster.running)

    cluster.settle()


def test_storage_that_replaced_damaged_files_does_not_count_as_empty() -> None:
    """Guard against a second cluster after files of most instances were damaged."""
    cluster = Cluster(3, 1)
    for name in ("control-1", "control-2"):
        cluster.crash(name)
        disk = cluster.instances[name].disk
        disk.replace_damaged()
        cluster.start(name)
    cluster.run_for(LONG_S)

    assert not any(item.state.is_member for item in cluster.running)


def test_instance_that_missed_the_foundation_receives_it_again() -> None:
    """Guard against a group that hangs when the founder's messages are lost."""
    cluster = Cluster(3, 1)
    founder = cluster.instances["control-0"]
    while not any(message.foundation for message in cluster.network):
        cluster.pass_time(0.01)
        while cluster.network and not founder.unsynced:
            cluster.deliver(0)
        while founder.unsynced:
            cluster.sync(founder)
    cluster.crash("control-1")
    cluster.crash("control-2")
    cluster.network.clear()
    cluster.settle()

    assert founder.state.identity.cluster_id == "incarnation-1"


def test_foundation_of_a_founder_s_lost_storage_is_ignored() -> None:
    """Guard against joining a cluster whose founder has lost it.

    The founder bootstraps a cluster, loses its storage and announces itself as a new
    replica; the delayed message from before the loss arrives last.
    """
    cluster = Cluster(3, 1)
    member = cluster.instances["control-1"]
    members = (Replica(instance_id="control-0"), member.state.replica)

    new, lost = (
        Replica(instance_id="control-0", incarnation=name) for name in ("new", "lost")
    )
    cluster.receive(member, new, hello=Hello(state=StorageState.EMPTY))
    cluster.receive(member, lost, foundation=Foundation(members=members))
    assert not member.state.is_member
    cluster.receive(member, new, foundation=Foundation(members=members))
    assert member.state.is_member
