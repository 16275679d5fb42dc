"""Builds the own HTTP interface of an entry, which not every program serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.connections.client_connections import ClientConnections
from verbenaplank.entry.http import HttpDependencies
from verbenaplank.entry.http import http_application
from verbenaplank.entry.http import refusal_responses
from verbenaplank.entry.peer_client import PeerClient
from verbenaplank.entry.pipeline import Pipeline
from verbenaplank.entry.pipeline import PipelineDependencies
from verbenaplank.http.limits import HttpLimits
from verbenaplank.http.server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.clock.sources import WallClock
    from verbenaplank.entry.components import EntryComponents
    from verbenaplank.entry.interfaces import Claims
    from verbenaplank.entry.interfaces import Membership
    from verbenaplank.observability.rendering import RenderMetrics
    from verbenaplank.protocol.membership import Member
    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.entry import EntrySettings


def new_pipeline(
    settings: EntrySettings,
    components: EntryComponents,
    *,
    member: Member,
    membership: Membership,
    claims: Claims,
    clock: MonotonicClock,
    wall_clock: WallClock,
) -> Pipeline:
    """Return the pipeline that processes the requests of callers."""
    peers = PeerClient(
        member=member,
        membership=membership,
        dispatch_table=components.engine.dispatch_table,
        clock=clock,
        tls=settings.tls,
    )
    dependencies = PipelineDependencies(
        limits=settings.limits,
        membership=membership,
        claims=claims,
        peers=peers,
        registry=components.registry,
        runner=components.runner,
        clock=clock,
        wall_clock=wall_clock,
        admission=components.admission,
        readiness=components.status.readiness,
        fleet=components.fleet,
        remote_factor=settings.placement.remote_factor,
    )
    return Pipeline(dependencies)


def new_http_server(
    settings: EntrySettings,
    address: Address,
    pipeline: Pipeline,
    ready: Callable[[], bool],
    metrics: RenderMetrics,
) -> HttpServer:
    """Return the server of the interface at an address, not open yet."""
    limits = settings.limits
    application = http_application(
        HttpDependencies(
            pipeline=pipeline,
            ready=ready,
            metrics=metrics,
            max_body_bytes=limits.max_body_bytes,
        )
    )
    http_limits = HttpLimits(max_body_bytes=limits.max_body_bytes)
    return HttpServer(
        application,
        address,
        limits.drain_timeout_s,
        read_limits=lambda: http_limits,
        clients=ClientConnections(settings.clients),
        refusal_response=refusal_responses(pipeline, limits.max_body_bytes),
    )
