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
        Longest time that the operator allows for one request.
    target_latency_ms
        Time in addition to the run time within which a caller regards an answer
        as on time.
    stretch
        Multiple of the run time within which a caller regards an answer as on
        time.
    max_attempts
        Number of failed runs of one task at which its job fails.
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
