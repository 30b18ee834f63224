"""Tests of a router in this process, over TLS and plain TCP."""

import datetime
import tempfile
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from twisted.internet import reactor, ssl
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.trial import unittest

from sesamearch.configuration.keys import new_cursor_key
from sesamearch.configuration.settings import RouterSettings, StoreSettings, TlsSettings
from sesamearch.daemon.router import Router
from tests.deployment import free_addresses

REQUEST = b"GET /v1/models HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"


def write_certificate(folder):
    """Write a self-signed certificate and its key; return the TLS settings."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "router")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now)
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "cert.pem").write_bytes(certificate.public_bytes(pem))
    plain = serialization.NoEncryption()
    style = serialization.PrivateFormat.PKCS8
    (folder / "key.pem").write_bytes(key.private_bytes(pem, style, plain))
    return TlsSettings(str(folder / "cert.pem"), str(folder / "key.pem"))


class RequestClient(Protocol):
    """Sends ``REQUEST`` and collects the response until the connection closes."""

    def connectionMade(self):
        self.received = b""
        self.transport.write(REQUEST)

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason):
        self.factory.done.callback(self.received)


class RouterTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        new_cursor_key(self.folder / "cursor.key")

    def start(self, tls):
        callers, operators, store = free_addresses(3)
        settings = RouterSettings(
            "r1",
            "a",
            callers,
            operators,
            StoreSettings([store]),
            str(self.folder / "cursor.key"),
            tls=tls,
            metrics="none",
        )
        router = Router(reactor, settings, None)
        self.assertTrue(router.start().is_ok())
        self.addCleanup(router.close)
        return callers.split(":")

    async def send_request(self, connect, *more):
        factory = ClientFactory()
        factory.noisy = False
        factory.protocol = RequestClient
        factory.done = Deferred()
        connect(factory, *more)
        return await factory.done

    async def test_callers_over_tls(self):
        host, port = self.start(write_certificate(self.folder))
        received = await self.send_request(
            lambda factory: reactor.connectSSL(
                host, int(port), factory, ssl.ClientContextFactory()
            )
        )
        self.assertIn(b"configuration-missing", received)

    async def test_plain_callers(self):
        host, port = self.start(None)
        received = await self.send_request(
            lambda factory: reactor.connectTCP(host, int(port), factory)
        )
        self.assertIn(b"HTTP/1.1 503", received)
        self.assertIn(b"configuration-missing", received)

    async def test_address_in_use_is_reported_as_error(self):
        host, port = self.start(None)
        settings = RouterSettings(
            "r2",
            "a",
            f"{host}:{port}",
            free_addresses(1)[0],
            StoreSettings(["127.0.0.1:1"]),
            str(self.folder / "cursor.key"),
            metrics="none",
        )
        other = Router(reactor, settings, None)
        self.addCleanup(other.close)
        self.assertIn("in use", other.start().unwrap_err().detail)
