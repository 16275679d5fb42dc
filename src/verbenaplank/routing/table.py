"""The routing table: which requests go to which service, and on what terms."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Route:
    """A queue of jobs behind one host and path prefix.

    Attributes
    ----------
    priority
        0 is served first.
    timeout_ms
        Time that the operator allows for one request.
    target_latency_ms
        Overhead over the run time that callers still count as on time.
    stretch
        Multiple of the run time that callers still count as on time.
    max_attempts
        How many runs of a task may fail before its job fails.
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
    """A service that routes may name.

    Attributes
    ----------
    rejects_overload
        Whether its backend servers refuse what does not fit into them.
    """

    name: str
    rejects_overload: bool = False


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits of callers' requests; 0 stands for none."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


@attrs.frozen(kw_only=True)
class RoutingTable:
    """All routes at one version."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: RequestLimits = RequestLimits()


@attrs.frozen(kw_only=True)
class RoutingDocument:
    """A routing table with the document that it was read from.

    Attributes
    ----------
    source
        The document as its author wrote it, which reads return.
    """

    table: RoutingTable
    source: bytes
