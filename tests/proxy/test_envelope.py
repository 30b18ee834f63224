import base64
import unittest

import msgspec

from sesamearch.base.errors import ErrorKind
from sesamearch.proxy.envelope import (
    ENVELOPE_VERSION,
    REMEMBERED_NUMBERS,
    EnvelopeSealer,
    ProxyEnvelope,
    digest_of,
)

SECRET = "secret of all routers"
HEADERS = [(b"Host", b"desk.example"), (b"X-Id", b"r1")]


def make_sealer(name="router-2", secret=SECRET):
    sealer = EnvelopeSealer(name)
    if secret is not None:
        sealer.set_secret(secret)
    return sealer


def make_digest(**changes):
    parts = {
        "method": b"POST",
        "target": b"/post/1",
        "headers": HEADERS,
        "body": b"b",
        **changes,
    }
    return digest_of(**parts)


def make_envelope(**changes):
    fields = {
        "version": ENVELOPE_VERSION,
        "sender": "router-1",
        "incarnation": 5,
        "number": 1,
        "target": "router-2",
        "revision": 7,
        "max_runs": 1,
        "copy": [],
        "digest": make_digest(),
        **changes,
    }
    return ProxyEnvelope(**fields)


class TestEnvelopeSealer(unittest.TestCase):
    def setUp(self):
        self.sender = make_sealer("router-1")
        self.receiver = make_sealer()

    def open(self, sealed, digest=None):
        return self.receiver.open(sealed, make_digest() if digest is None else digest)

    def check_refused(self, sealed, digest=None):
        opened = self.open(sealed, digest)
        self.assertTrue(opened.is_err())
        self.assertIs(opened.unwrap_err().kind, ErrorKind.PROXY_REFUSED)

    def test_sealed_envelope_is_opened(self):
        envelope = make_envelope()
        self.assertEqual(self.open(self.sender.seal(envelope)).unwrap(), envelope)

    def test_forged_seal_is_refused(self):
        forged = make_sealer("router-1", "another secret").seal(make_envelope())
        self.check_refused(forged)

    def test_malformed_seal_is_refused(self):
        long = base64.b64encode(b"x" * 100_000)
        for sealed in (b"", b"?", b"abcd", b"\xff", long):
            self.check_refused(sealed)

    def test_genuine_seal_of_other_bytes_is_refused(self):
        for content in (b"", msgspec.msgpack.encode([1, 2]), b"\x91" * 100_000):
            sealed = base64.b64encode(self.sender._mac(content) + content)
            self.check_refused(sealed)

    def test_router_without_secret_opens_nothing(self):
        receiver = make_sealer(secret=None)
        sealed = self.sender.seal(make_envelope())
        self.assertTrue(receiver.open(sealed, make_digest()).is_err())

    def test_changed_request_is_refused(self):
        sealed = self.sender.seal(make_envelope())
        for changes in (
            {"method": b"PUT"},
            {"target": b"/post/2"},
            {"body": b"c"},
            {"headers": HEADERS[:1]},
            {"headers": [*HEADERS, (b"X-More", b"1")]},
            {"headers": [HEADERS[0], (b"X-Id", b"r2")]},
        ):
            self.check_refused(sealed, make_digest(**changes))

    def test_case_and_order_of_headers_do_not_matter(self):
        headers = [(b"x-id", b"r1"), (b"HOST", b"desk.example")]
        sealed = self.sender.seal(make_envelope())
        self.assertTrue(self.open(sealed, make_digest(headers=headers)).is_ok())

    def test_envelope_for_another_router_or_layout_is_refused(self):
        self.check_refused(self.sender.seal(make_envelope(target="router-3")))
        self.check_refused(self.sender.seal(make_envelope(version=2)))

    # Guards against: a request that must not run twice is recorded and sent again.
    def test_envelope_is_opened_once(self):
        sealed = self.sender.seal(make_envelope())
        self.assertTrue(self.open(sealed).is_ok())
        self.check_refused(sealed)

    def test_numbers_out_of_order_are_opened_and_too_old_ones_refused(self):
        for number in (5, 3, 4, 3 * REMEMBERED_NUMBERS):
            sealed = self.sender.seal(make_envelope(number=number))
            self.assertTrue(self.open(sealed).is_ok(), number)
        self.check_refused(self.sender.seal(make_envelope(number=6)))

    def test_later_process_of_the_sender_begins_anew(self):
        self.assertTrue(self.open(self.sender.seal(make_envelope())).is_ok())
        later = self.sender.seal(make_envelope(incarnation=6))
        self.assertTrue(self.open(later).is_ok())
