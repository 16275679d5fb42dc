"""Markdown tables of docs/CAPACITY.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.bench.capacity_model import estimate_role_usage
from verbenaplank.bench.capacity_target import CapacityTarget
from verbenaplank.bench.capacity_target import WorkerLimits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from verbenaplank.bench.capacity_model import RoleUsage
    from verbenaplank.bench.capacity_model import Slopes
    from verbenaplank.bench.capacity_target import Layout

BYTES_PER_MB = 1024 * 1024
ENTRY_RESIDENT_LIMIT_BYTES = 1024 * BYTES_PER_MB
CORE_SHARE_LIMIT = 0.8
RENEWAL_SHARE_LIMIT = 0.1
MAX_SCALE = 64.0
BISECTION_STEPS = 40


def roles_table(usages: Sequence[RoleUsage]) -> str:
    """Return a table of what one instance of each role uses, by layout."""
    rows: list[tuple[str, Callable[[RoleUsage], str]]] = [
        ("entries in all", lambda usage: str(usage.entries)),
        (
            "entry: starts a second",
            lambda usage: _format_number(usage.entry_starts_per_s),
        ),
        ("entry: streams to agents", lambda usage: str(usage.entry_streams)),
        (
            "entry: share of a core, all work",
            lambda usage: _format_percent(usage.entry_share),
        ),
        (
            "entry: of it to renew leases",
            lambda usage: _format_percent(usage.entry_renewal_share),
        ),
        (
            "entry: memory without kept answers",
            lambda usage: _format_mb(usage.entry_bytes),
        ),
        (
            "agent: starts a second",
            lambda usage: _format_number(usage.agent_starts_per_s),
        ),
        ("agent: streams from entries", lambda usage: str(usage.agent_streams)),
        (
            "agent: share of a core for work",
            lambda usage: _format_percent(usage.agent_work_share),
        ),
        (
            "agent: share of a core for control (limit 1.3%)",
            lambda usage: _format_percent(usage.agent_control_share),
        ),
        (
            "agent: control bytes a second (limit 2,048)",
            lambda usage: _format_number(usage.agent_control_bytes_per_s),
        ),
        ("agent: memory (limit 32 MB)", lambda usage: _format_mb(usage.agent_bytes)),
        (
            "registrar: claims a second, mean jobs",
            lambda usage: _format_number(usage.registrar_claims_per_s),
        ),
        (
            "registrar: share of a core",
            lambda usage: _format_percent(usage.registrar_share),
        ),
        ("registrar: memory", lambda usage: _format_mb(usage.registrar_bytes)),
        (
            "registrar: share of a core if each task is a job",
            lambda usage: _format_percent(usage.registrar_worst_share),
        ),
        (
            "registrar: memory if each task is a job",
            lambda usage: _format_mb(usage.registrar_worst_bytes),
        ),
        ("control: members at each instance", lambda usage: str(usage.control_members)),
        (
            "control: share of a core for members",
            lambda usage: _format_percent(usage.control_share),
        ),
        (
            "control: bytes a second",
            lambda usage: _format_number(usage.control_bytes_per_s),
        ),
        (
            "control leader: share of a core",
            lambda usage: _format_percent(usage.leader_share),
        ),
    ]
    header = ["at the target, one instance", *(usage.layout.name for usage in usages)]
    lines = [_format_row(header), _format_row(["---", *("---:" for _ in usages)])]
    lines += [
        _format_row([name, *(format_value(usage) for usage in usages)])
        for name, format_value in rows
    ]
    return "\n".join(lines) + "\n"


def limits_table(slopes: Slopes, layout: Layout) -> str:
    """Return a table of the fleet size at which each limit is exceeded.

    The rows are ordered by size, and the limit that is reached first is on top.
    """
    limits = WorkerLimits()
    checks: list[tuple[str, Callable[[RoleUsage], bool]]] = [
        (
            "control bytes at a node pass 2 KB/s",
            lambda usage: usage.agent_control_bytes_per_s > limits.bytes_per_s,
        ),
        (
            "an agent's memory passes 32 MB",
            lambda usage: usage.agent_bytes > limits.resident_bytes,
        ),
        (
            "control's share of a node's core passes 1.3%",
            lambda usage: usage.agent_control_share > limits.processor_share,
        ),
        (
            "an entry spends a tenth of a core on renewals",
            lambda usage: usage.entry_renewal_share > RENEWAL_SHARE_LIMIT,
        ),
        (
            "an entry's streams take a gigabyte",
            lambda usage: usage.entry_bytes > ENTRY_RESIDENT_LIMIT_BYTES,
        ),
        (
            "a registrar's core is full, mean jobs",
            lambda usage: usage.registrar_share > CORE_SHARE_LIMIT,
        ),
        (
            "a registrar's core is full, each task a job",
            lambda usage: usage.registrar_worst_share > CORE_SHARE_LIMIT,
        ),
        (
            "the leader's core is full of renewals",
            lambda usage: usage.leader_share > CORE_SHARE_LIMIT,
        ),
    ]
    scales = [
        (smallest_exceeding_scale(slopes, layout, check), name)
        for name, check in checks
    ]
    lines = [
        _format_row(["what breaks as built", "from workers", "starts a second"]),
        _format_row(["---", "---:", "---:"]),
    ]
    for scale, name in sorted(scales):
        target = scaled_target(scale)
        prefix = "over " if scale >= MAX_SCALE else ""
        figures = (target.workers, round(target.starts_per_s))
        lines.append(
            _format_row([name, *(f"{prefix}{figure:,}" for figure in figures)])
        )
    return "\n".join(lines) + "\n"


def smallest_exceeding_scale(
    slopes: Slopes, layout: Layout, exceeds_limit: Callable[[RoleUsage], bool]
) -> float:
    """Return the smallest multiple of the target size that exceeds a limit.

    The multiple is found by bisection between 0 and ``MAX_SCALE``, which is
    returned if no smaller multiple exceeds the limit.
    """
    low, high = 0.0, MAX_SCALE
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if exceeds_limit(estimate_role_usage(slopes, scaled_target(middle), layout)):
            high = middle
        else:
            low = middle
    return high


def scaled_target(scale: float) -> CapacityTarget:
    """Return the target with its workers and starts multiplied by ``scale``."""
    target = CapacityTarget()
    return attrs.evolve(
        target,
        workers=max(target.data_centres, round(target.workers * scale)),
        starts_per_s=max(1.0, target.starts_per_s * scale),
    )


def _format_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _format_percent(share: float) -> str:
    return f"{share * 100:.2f}%"


def _format_mb(size_bytes: float) -> str:
    return f"{size_bytes / BYTES_PER_MB:,.1f} MB"


def _format_number(value: float) -> str:
    return f"{value:,.0f}"
