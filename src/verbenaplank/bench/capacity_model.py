"""Estimates of the resources that each role uses at a given fleet size.

An estimate multiplies measured slopes, which are costs per item, by the number
of items that an instance holds or handles per second.
"""

from __future__ import annotations

import math
from typing import Any

import attrs

from verbenaplank.bench.capacity_target import SECONDS_PER_DAY
from verbenaplank.bench.capacity_target import CapacityTarget
from verbenaplank.bench.capacity_target import Layout
from verbenaplank.entry.renewal import ACKNOWLEDGEMENT_PERIOD_S
from verbenaplank.entry.renewal import LONG_LEASE

FRAME_BYTES = 14
"""gRPC message prefix and HTTP/2 frame header."""

PACKET_BYTES = 52
"""IPv4 and TCP headers, with TCP timestamps."""

MESSAGE_OVERHEAD_BYTES = FRAME_BYTES + 2 * PACKET_BYTES
"""Overhead of a message in a packet of its own, with its TCP acknowledgement."""

RENEWAL_WIRE_BYTES = 130
REGISTRARS_PER_CLAIM = 3
MEASURED_ENTRIES = 3
"""Number of entries in the fleet in which the idle agent was measured."""

MICROSECONDS_PER_SECOND = 1e6


@attrs.frozen(kw_only=True)
class RoleUsage:
    """Estimated resources of one instance of each role under a layout.

    Fields that end in ``_share`` are shares of one processor core.

    Attributes
    ----------
    agent_control_share, agent_control_bytes_per_s
        Processor share and bytes per second for heartbeats, leases, renewals
        and configuration. The work on tasks is not included.
    registrar_worst_share, registrar_worst_bytes
        Processor share and memory if every task is a job of its own.
    """

    layout: Layout
    entries: int
    entry_starts_per_s: float
    entry_streams: int
    entry_share: float
    entry_renewal_share: float
    entry_bytes: float
    agent_starts_per_s: float
    agent_streams: int
    agent_work_share: float
    agent_control_share: float
    agent_control_bytes_per_s: float
    agent_bytes: float
    registrar_claims_per_s: float
    registrar_share: float
    registrar_bytes: float
    registrar_worst_share: float
    registrar_worst_bytes: float
    control_members: int
    control_share: float
    control_bytes_per_s: float
    leader_share: float


class Slopes:
    """Measured costs, looked up by name in the content of the slopes file."""

    def __init__(self, document: dict[str, Any]) -> None:
        self._document = document

    def processor_us(self, name: str) -> float:
        """Return the processor time of one item, in microseconds."""
        return float(self._document["slopes"][f"{name}.us"]["value"])

    def size_bytes(self, name: str) -> float:
        """Return the memory or the encoded size of one item, in bytes."""
        return float(self._document["slopes"][f"{name}.bytes"]["value"])

    def resident_bytes(self, role: str) -> float:
        """Return the resident memory of an idle process of a role, in bytes."""
        return float(self._document["processes"]["idle"][role]["resident_bytes"])

    def idle_processor_share(self, role: str) -> float:
        """Return the share of a core that an idle process of a role uses."""
        return float(self._document["processes"]["idle"][role]["processor_share"])

    def processor_us_per_task(self, role: str) -> float:
        """Return the processor time of a role per task, in microseconds.

        It is the slope between the load runs with the lowest and the highest
        goodput, so that costs which do not depend on the load cancel out.
        """
        runs = self._document["load_runs"]
        low, high = (
            min(runs, key=lambda run: float(run["goodput_tasks_per_s"])),
            max(runs, key=lambda run: float(run["goodput_tasks_per_s"])),
        )
        low_rate, high_rate = low["goodput_tasks_per_s"], high["goodput_tasks_per_s"]
        spent_us_per_s = high["us"][role] * high_rate - low["us"][role] * low_rate
        return float(spent_us_per_s / (high_rate - low_rate))


def estimate_role_usage(
    slopes: Slopes, target: CapacityTarget, layout: Layout
) -> RoleUsage:
    """Estimate what one instance of each role uses at a target size."""
    entries = entry_count(slopes, target, layout)
    entry_streams, agent_streams = stream_counts(target, layout, entries)
    entry_starts_per_s = target.starts_per_s / entries
    agent_starts_per_s = target.starts_per_s / target.workers
    renewal_us = slopes.processor_us("stream.message.1_dispatches")
    renewals_per_s = _renewal_messages_per_s(target, agent_streams)
    renewal_share = entry_streams * renewal_us * renewals_per_s
    stream_bytes = slopes.size_bytes("stream.open")
    claims_per_s = target.starts_per_s / target.tasks_per_job
    members = target.workers + entries
    return RoleUsage(
        layout=layout,
        entries=entries,
        entry_starts_per_s=entry_starts_per_s,
        entry_streams=entry_streams,
        entry_share=_core_share(
            entry_starts_per_s * slopes.processor_us_per_task("entry")
        ),
        entry_renewal_share=_core_share(renewal_share),
        entry_bytes=slopes.resident_bytes("entry")
        + entry_streams * (stream_bytes + slopes.size_bytes("entry.known_agent"))
        + target.teams * _section_bytes(slopes),
        agent_starts_per_s=agent_starts_per_s,
        agent_streams=agent_streams,
        agent_work_share=_core_share(
            agent_starts_per_s * slopes.processor_us_per_task("agent")
        ),
        agent_control_share=_agent_control_share(slopes, target, layout, agent_streams),
        agent_control_bytes_per_s=_agent_bytes_per_s(
            slopes, target, layout, agent_streams
        ),
        agent_bytes=slopes.resident_bytes("agent")
        + agent_streams * stream_bytes
        + agent_starts_per_s
        * target.retention_s
        * slopes.size_bytes("agent.remembered_start")
        + target.teams * _section_bytes(slopes),
        registrar_claims_per_s=_claims_per_registrar_per_s(claims_per_s, layout),
        registrar_share=_registrar_share(slopes, claims_per_s, layout),
        registrar_bytes=_registrar_bytes(slopes, claims_per_s, target, layout),
        registrar_worst_share=_registrar_share(slopes, target.starts_per_s, layout),
        registrar_worst_bytes=_registrar_bytes(
            slopes, target.starts_per_s, target, layout
        ),
        control_members=math.ceil(members / target.control_instances),
        control_share=_control_share(slopes, target, layout, members),
        control_bytes_per_s=_control_bytes_per_s(slopes, target, members, entries),
        leader_share=_core_share(
            members
            * (
                slopes.processor_us("leader.renewal")
                + slopes.processor_us("renewal.codec_both_ends")
            )
            / layout.heartbeat_period_s
        ),
    )


def entry_count(slopes: Slopes, target: CapacityTarget, layout: Layout) -> int:
    """Return the number of entries that the target's task starts need.

    Every data centre gets the same number of entries.
    """
    cores = _core_share(target.starts_per_s * slopes.processor_us_per_task("entry"))
    needed_entries = cores / layout.entry_utilization
    return math.ceil(needed_entries / target.data_centres) * target.data_centres


def stream_counts(
    target: CapacityTarget, layout: Layout, entries: int
) -> tuple[int, int]:
    """Return the number of streams of each entry and of each agent."""
    if layout.agents_per_other_data_centre is None:
        return target.workers, entries
    other_data_centres = target.data_centres / target.regions - 1
    local_agents = target.agents_per_data_centre
    entry_streams = local_agents + math.ceil(
        other_data_centres * layout.agents_per_other_data_centre
    )
    return entry_streams, math.ceil(entry_streams * entries / target.workers)


def _renewal_messages_per_s(target: CapacityTarget, agent_streams: int) -> float:
    """Return the rate of messages without dispatches from one entry to one agent.

    The entry sends one in each renewal period in which a task is unfinished and no
    dispatch is sent, and one to acknowledge results that no dispatch has
    acknowledged within the acknowledgement period.
    """
    streams = max(agent_streams, 1)
    starts_per_s = target.starts_per_s / target.workers / streams
    unfinished_share = 1.0 - math.exp(-starts_per_s * target.run_time_s)
    no_dispatch_share = math.exp(-starts_per_s * LONG_LEASE.renewal_period_s)
    unacknowledged = math.exp(-starts_per_s * ACKNOWLEDGEMENT_PERIOD_S)
    return (
        unfinished_share * no_dispatch_share / LONG_LEASE.renewal_period_s
        + unacknowledged * (1.0 - unacknowledged) / ACKNOWLEDGEMENT_PERIOD_S
    )


def _claims_per_registrar_per_s(claims_per_s: float, layout: Layout) -> float:
    return claims_per_s * REGISTRARS_PER_CLAIM / layout.registrars


def _registrar_share(slopes: Slopes, claims_per_s: float, layout: Layout) -> float:
    stream_us = slopes.processor_us("stream.message.8_dispatches") / 8
    claim_us = slopes.processor_us("registrar.claim") + slopes.processor_us(
        "registrar.claim.codec"
    )
    per_claim_us = claim_us + 2 * stream_us
    return _core_share(_claims_per_registrar_per_s(claims_per_s, layout) * per_claim_us)


def _registrar_bytes(
    slopes: Slopes, claims_per_s: float, target: CapacityTarget, layout: Layout
) -> float:
    retained_claims = (
        _claims_per_registrar_per_s(claims_per_s, layout) * target.retention_s
    )
    return slopes.resident_bytes("control") + retained_claims * slopes.size_bytes(
        "registrar.claim"
    )


def _agent_control_share(
    slopes: Slopes, target: CapacityTarget, layout: Layout, streams: int
) -> float:
    heartbeat_us = (
        slopes.processor_us("stream.heartbeat_and_lease") / layout.heartbeat_period_s
    )
    renewal_us = slopes.processor_us("stream.message.1_dispatches")
    renewal_us *= _renewal_messages_per_s(target, streams)
    rebuild_us = target.teams * slopes.processor_us("member.build_section")
    changes_per_s = target.changes_per_day / SECONDS_PER_DAY
    messages_us = heartbeat_us + streams * renewal_us + changes_per_s * rebuild_us
    return _timer_share(slopes) + _core_share(messages_us)


def _timer_share(slopes: Slopes) -> float:
    """Return the share of a core that an idle agent uses apart from messages."""
    messages_us = slopes.processor_us("stream.heartbeat_and_lease")
    messages_us += MEASURED_ENTRIES * slopes.processor_us("stream.message.1_dispatches")
    return max(0.0, slopes.idle_processor_share("agent") - _core_share(messages_us))


def _agent_bytes_per_s(
    slopes: Slopes, target: CapacityTarget, layout: Layout, streams: int
) -> float:
    heartbeat_bytes = slopes.size_bytes("heartbeat.wire") + slopes.size_bytes(
        "lease.wire"
    )
    heartbeat_bytes += 2 * MESSAGE_OVERHEAD_BYTES
    renewal_bytes = RENEWAL_WIRE_BYTES + MESSAGE_OVERHEAD_BYTES
    change_bytes = slopes.size_bytes("section.wire") + MESSAGE_OVERHEAD_BYTES
    return (
        heartbeat_bytes / layout.heartbeat_period_s
        + streams * renewal_bytes * _renewal_messages_per_s(target, streams)
        + change_bytes * target.changes_per_day / SECONDS_PER_DAY
    )


def _control_share(
    slopes: Slopes, target: CapacityTarget, layout: Layout, members: int
) -> float:
    members_per_instance = members / target.control_instances
    heartbeat_us = (
        slopes.processor_us("stream.heartbeat_and_lease") / layout.heartbeat_period_s
    )
    member_changes_per_s = 2 * target.restarts_per_day / SECONDS_PER_DAY
    member_changes_us = (
        member_changes_per_s * members * slopes.processor_us("control.member_delta")
    )
    messages_us = (
        members_per_instance * heartbeat_us
        + member_changes_us / target.control_instances
    )
    return slopes.idle_processor_share("control") + _core_share(messages_us)


def _control_bytes_per_s(
    slopes: Slopes, target: CapacityTarget, members: int, entries: int
) -> float:
    members_per_instance = members / target.control_instances
    heartbeat_bytes = slopes.size_bytes("heartbeat.wire") + slopes.size_bytes(
        "lease.wire"
    )
    heartbeat_bytes += 2 * MESSAGE_OVERHEAD_BYTES
    change_bytes = slopes.size_bytes("section.wire") + MESSAGE_OVERHEAD_BYTES
    changes_per_s = target.changes_per_day / SECONDS_PER_DAY
    member_changes_per_s = 2 * target.restarts_per_day / SECONDS_PER_DAY
    member_bytes = slopes.size_bytes("member.wire") + MESSAGE_OVERHEAD_BYTES
    entries_per_instance = entries / target.control_instances
    return (
        members_per_instance * (heartbeat_bytes + changes_per_s * change_bytes)
        + member_changes_per_s * entries_per_instance * member_bytes
    )


def _section_bytes(slopes: Slopes) -> float:
    return slopes.size_bytes("member.section") + slopes.size_bytes(
        "member.section_text"
    )


def _core_share(us_per_s: float) -> float:
    return us_per_s / MICROSECONDS_PER_SECOND
