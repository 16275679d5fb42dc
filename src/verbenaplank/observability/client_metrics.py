"""Metrics of the connections of an entry's clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.connections.client_connections import ClientConnections
    from verbenaplank.observability.metrics import Metrics


def register_client_metrics(metrics: Metrics, clients: ClientConnections) -> None:
    """Add the metrics of the connections of clients."""
    prefix = "verbenaplank_entry_client"
    metrics.add_gauge(
        f"{prefix}_connections", "open connections of clients", lambda: len(clients)
    )
    metrics.add_gauge(
        f"{prefix}_held_bytes",
        "bytes of requests and of unread answers that the connections hold",
        lambda: clients.held_bytes,
    )
    metrics.add_gauge(
        f"{prefix}s_shed",
        "connections that were shed or refused for others since the start",
        lambda: clients.shed_count,
    )
