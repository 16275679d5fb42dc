"""Lookup of the RPC addresses of control instances by their ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.rpc.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.control import ControlSettings


def peer_addresses(settings: ControlSettings) -> Callable[[str], Address | None]:
    """Return a function that maps an instance id to the instance's RPC address.

    In an open group, the id of an instance that the settings do not name is its
    address.  The function returns ``None`` for an unknown instance.
    """
    named = {peer.instance_id: peer.address for peer in settings.peers}

    def address_of(instance_id: str) -> Address | None:
        if instance_id in named or not settings.group.open:
            return named.get(instance_id)
        try:
            return parse_address(instance_id)
        except ValueError:
            return None

    return address_of
