"""The routing table, which assigns requests to services and sets their limits."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Route:
    """Route of the requests to one host and path prefix, with their goals.

    Attributes
    ----------
    priority
        Priority of the route's jobs; 0 is served first.
    timeout_ms
        Time that the operator allows for one request.
    target_latency_ms
        Largest overhead over the run time with which an answer counts as on time.
    stretch
        Largest multiple of the run time with which an answer counts as on time.
    max_attempts
        Number of failed runs of a task after which its job fails.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    timeout_ms: int = 0
    target_latency_ms: int = 0
    stretch: float = 1.0
    max_attempts: int = 1


@attrs.frozen(kw_only=True)
class RoutedService:
    """A service to which routes can refer.

    Attributes
    ----------
    rejects_overload
        Whether its backend servers refuse tasks that exceed their resources.
    """

    name: str
    rejects_overload: bool = False


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits on callers' requests; 0 means no limit."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


@attrs.frozen(kw_only=True)
class RoutingTable:
    """All routes, services and request limits of one version."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: RequestLimits = RequestLimits()


@attrs.frozen(kw_only=True)
class RoutingDocument:
    """A routing table and the document from which it was parsed.

    Attributes
    ----------
    source
        The document as its author wrote it, which is returned to readers.
    """

    table: RoutingTable
    source: bytes
