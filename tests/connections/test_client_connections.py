from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.connections.client_connections import Activity
from verbenaplank.connections.client_connections import ClientConnections
from verbenaplank.settings.clients import ClientSettings

if TYPE_CHECKING:
    import pytest

MAX_BYTES = 1_000


@attrs.define(eq=False)
class FakeConnection:
    is_shed: bool = False

    def shed(self) -> None:
        self.is_shed = True


def _clients(max_connections: int = 10) -> ClientConnections:
    settings = ClientSettings(
        max_connections=max_connections, max_memory_mb=MAX_BYTES / 1e6
    )
    return ClientConnections(settings)


def _added(clients: ClientConnections, count: int) -> list[FakeConnection]:
    connections = [FakeConnection() for _ in range(count)]
    assert all(clients.add(connection) for connection in connections)
    return connections


def _shed(connections: list[FakeConnection]) -> list[bool]:
    return [connection.is_shed for connection in connections]


def test_connection_that_waits_longest_for_its_client_makes_room() -> None:
    clients = _clients(max_connections=3)
    _idle, handled, receiving = connections = _added(clients, 3)
    clients.update(handled, Activity.HANDLING, 10)
    clients.update(receiving, Activity.RECEIVING, 10)
    _added(clients, 1)
    assert _shed(connections) == [False, False, True]
    _added(clients, 1)
    assert _shed(connections) == [True, False, True]
    assert len(clients) == 3


def test_connection_is_refused_if_all_others_are_handled() -> None:
    """Guards against requests that are broken off for a new client."""
    clients = _clients(max_connections=2)
    connections = _added(clients, 2)
    for connection in connections:
        clients.update(connection, Activity.HANDLING, 10)
    assert not clients.add(FakeConnection())
    assert _shed(connections) == [False, False]


def test_oldest_unfinished_requests_make_room_for_bytes() -> None:
    clients = _clients()
    old, finished, young = connections = _added(clients, 3)
    clients.update(old, Activity.RECEIVING, 400)
    clients.update(finished, Activity.RECEIVING, 100)
    clients.update(finished, Activity.HANDLING, 100)
    clients.update(young, Activity.RECEIVING, 400)
    assert _shed(connections) == [False, False, False]
    clients.update(young, Activity.RECEIVING, 600)
    assert _shed(connections) == [True, False, False]
    assert clients.held_bytes == 700


def test_input_behind_a_handled_request_is_shed_last() -> None:
    clients = _clients()
    handled, receiving = connections = _added(clients, 2)
    clients.update(handled, Activity.HANDLING_WITH_INPUT, 900)
    clients.update(receiving, Activity.RECEIVING, 200)
    assert _shed(connections) == [False, True]
    clients.update(handled, Activity.HANDLING_WITH_INPUT, 1_100)
    assert _shed(connections) == [True, True]
    assert len(clients) == 1


def test_removed_connection_gives_its_bytes_back() -> None:
    clients = _clients()
    connection, *_ = _added(clients, 1)
    clients.update(connection, Activity.RECEIVING, 900)
    clients.remove(connection)
    clients.update(connection, Activity.RECEIVING, 900)
    assert (len(clients), clients.held_bytes) == (0, 0)


def test_shed_connections_are_counted_but_not_each_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against clients that fill the log."""
    clients = _clients(max_connections=1)
    _added(clients, 50)
    assert clients.shed_count == 49
    assert [record.message for record in caplog.records] == ["clients shed"]
