from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

import pytest
import trustme
from grpclib.exceptions import StreamTerminatedError

from verbenaplank.protocol.peer import CancelReply
from verbenaplank.protocol.peer import CancelRequest
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.services import CANCEL
from verbenaplank.settings.common import TlsSettings

if TYPE_CHECKING:
    from pathlib import Path

ANY_PORT = Address("127.0.0.1", 0)
REQUEST = CancelRequest(job_id="known")


async def _cancel(request: CancelRequest) -> CancelReply:
    return CancelReply(cancelled=request == REQUEST)


def _issue(authority: trustme.CA, folder: Path) -> TlsSettings:
    """Write a key and a certificate of the authority to a new folder."""
    folder.mkdir()
    certificate = authority.issue_cert("127.0.0.1")
    paths = [folder / name for name in ("key.pem", "certificate.pem", "authority.pem")]
    certificate.private_key_pem.write_to_path(paths[0])
    certificate.cert_chain_pems[0].write_to_path(paths[1])
    authority.cert_pem.write_to_path(paths[2])
    key, chain, root = map(str, paths)
    return TlsSettings(key_path=key, certificate_path=chain, authority_path=root)


async def _call(server: TlsSettings, client: TlsSettings | None) -> CancelReply:
    async with serve([CANCEL.create_service(_cancel)], ANY_PORT, server) as address:
        with open_channel(address, client) as channel:
            return await CANCEL.call(channel, REQUEST, timeout_s=10)


async def test_processes_with_certificates_of_one_authority_can_connect(
    tmp_path: Path,
) -> None:
    authority = trustme.CA()
    server = _issue(authority, tmp_path / "server")
    client = _issue(authority, tmp_path / "client")

    assert (await _call(server, client)).cancelled


async def test_certificate_of_another_authority_is_rejected(tmp_path: Path) -> None:
    """A client must not talk to a server of another authority."""
    server = _issue(trustme.CA(), tmp_path / "server")
    client = _issue(trustme.CA(), tmp_path / "client")

    with pytest.raises(ssl.SSLCertVerificationError):
        await _call(server, client)


async def test_client_without_tls_is_rejected(tmp_path: Path) -> None:
    """A server with TLS must not accept a plain-text connection."""
    server = _issue(trustme.CA(), tmp_path / "server")

    with pytest.raises(StreamTerminatedError):
        await _call(server, None)
