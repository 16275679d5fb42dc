"""The routing table: which service handles a request, and within which limits."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Route:
    """Assignment of the requests of one host and path prefix to a service.

    Attributes
    ----------
    priority
        Priority of the jobs; 0 is served first.
    timeout_ms
        Maximum time in milliseconds that the operator allows for one request.
    target_latency_ms
        Milliseconds added to ``stretch`` run times; a caller regards an answer
        within this sum as on time.
    stretch
        Number of run times in that sum.
    max_attempts
        Number of failed runs of one task after which its job fails.
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
    """A service that routes may refer to.

    Attributes
    ----------
    rejects_overload
        Whether its backend servers reject tasks that exceed their capacity.
    """

    name: str
    rejects_overload: bool = False


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits of callers' HTTP requests; 0 means no limit."""

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
    """A routing table together with the document that it was parsed from.

    Attributes
    ----------
    source
        The document as its author wrote it; a read returns these bytes.
    """

    table: RoutingTable
    source: bytes
