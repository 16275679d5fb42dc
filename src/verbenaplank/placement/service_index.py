"""Backend servers by the service that they offer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.placement.backend_server import BackendServer


class ServiceIndex:
    """Lists the backend servers of each service.

    The lists contain those that are announced, those of them that are not evacuated,
    and those that are connected.
    """

    def __init__(self) -> None:
        self._announced: dict[str, list[BackendServer]] = {}
        self._in_service: dict[str, list[BackendServer]] = {}
        self._connected: dict[str, list[BackendServer]] = {}
        self._by_rack: dict[tuple[str, str], list[BackendServer]] = {}

    def announced(self, service: str) -> Sequence[BackendServer]:
        """Return all backend servers that announce a service."""
        return self._announced.get(service, ())

    def in_service(self, service: str) -> Sequence[BackendServer]:
        """Return the announced backend servers outside evacuated data centres."""
        return self._in_service.get(service, ())

    def connected(self, service: str) -> Sequence[BackendServer]:
        """Return the backend servers of a service whose agent is connected."""
        return self._connected.get(service, ())

    def connected_in_rack(self, service: str, rack: str) -> Sequence[BackendServer]:
        """Return the connected backend servers of a service in a rack."""
        return self._by_rack.get((service, rack), ())

    def add(self, server: BackendServer) -> None:
        """Add a backend server under the services that it announces now."""
        _add(self._announced, server)
        if not server.evacuated:
            _add(self._in_service, server)
        self._add_connected(server)

    def remove(self, server: BackendServer) -> None:
        """Remove a backend server; call before its announcement changes."""
        _remove(self._announced, server)
        _remove(self._in_service, server)
        self._remove_connected(server)

    def refresh_evacuated(self) -> None:
        """Apply which of the backend servers are evacuated."""
        self._in_service.clear()
        for service, servers in self._announced.items():
            left = [server for server in servers if not server.evacuated]
            if left:
                self._in_service[service] = left

    def update_connected(self, server: BackendServer) -> None:
        """Apply whether a backend server's agent is connected."""
        self._remove_connected(server)
        self._add_connected(server)

    def _add_connected(self, server: BackendServer) -> None:
        if not server.connected:
            return
        _add(self._connected, server)
        for service in server.member.services:
            key = (service, server.member.rack)
            self._by_rack.setdefault(key, []).append(server)

    def _remove_connected(self, server: BackendServer) -> None:
        _remove(self._connected, server)
        for service in server.member.services:
            key = (service, server.member.rack)
            servers = self._by_rack.get(key, [])
            if server in servers:
                servers.remove(server)
            if not servers:
                self._by_rack.pop(key, None)


def _add(index: dict[str, list[BackendServer]], server: BackendServer) -> None:
    for service in server.member.services:
        index.setdefault(service, []).append(server)


def _remove(index: dict[str, list[BackendServer]], server: BackendServer) -> None:
    for service in server.member.services:
        servers = index.get(service, [])
        if server in servers:
            servers.remove(server)
        if not servers:
            index.pop(service, None)
