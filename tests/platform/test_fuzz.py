"""Decoders fed with arbitrary bytes and with damaged valid content."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamearch.configuration.configuration import (
    decode_configuration as decode_published_configuration,
)
from sesamearch.configuration.keys import decode_peer_keys
from sesamearch.platform.configuration import decode_configuration
from sesamearch.platform.endpoints import decode_endpoint
from sesamearch.platform.headers import decode_answer, decode_request
from sesamearch.platform.rollout import decode_order, decode_outcome
from sesamearch.platform.store_message import (
    StoreEvents,
    StoreRange,
    TransactionConflict,
    TransactionReply,
    decode_body,
    decode_events,
    decode_items,
)
from sesamearch.wire.head import RequestHead, ResponseHead
from tests.platform.test_endpoints import ENTRY
from tests.platform.world import make_configuration

fuzz = settings(derandomize=True, deadline=None, max_examples=150)

scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
json_values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=12,
)


def damaged(content):
    """Return encodings of `content` with one top-level field replaced or missing."""
    names = st.sampled_from(sorted(content))
    changed = st.builds(
        lambda name, value: {**content, name: value}, names, json_values
    )
    missing = st.builds(
        lambda name: {k: v for k, v in content.items() if k != name}, names
    )
    return (changed | missing).map(_encode)


def _encode(content):
    return msgspec.json.encode(content)


anything = st.binary(max_size=200) | json_values.map(_encode)


class TestStoredValues(unittest.TestCase):
    @fuzz
    @given(anything | damaged(make_configuration()))
    def test_configuration(self, value):
        decode_configuration(value)

    @fuzz
    @given(anything)
    def test_published_configuration(self, value):
        self.assertIsNotNone(decode_published_configuration(value))

    @fuzz
    @given(anything | damaged(ENTRY))
    def test_endpoint(self, value):
        decoded = decode_endpoint(b"servers/i-1", value)
        if decoded.is_ok():
            host, _, port = decoded.unwrap().address.rpartition(":")
            self.assertTrue(host)
            self.assertTrue(0 < int(port) < 65536)

    @fuzz
    @given(anything | damaged({"service": "s", "target": "v2", "duration-s": 12}))
    def test_rollout_order(self, value):
        decode_order(value, 7)

    @fuzz
    @given(anything | damaged({"state": "complete", "target": "v2"}))
    def test_rollout_outcome(self, value):
        decode_outcome(b"status/rollout/s", value, 7)

    @fuzz
    @given(anything)
    def test_peer_keys(self, value):
        decode_peer_keys(value)


ITEM = {"key": "servers/i-1", "value": "e30=", "revision": 3, "lease": 0}


class TestStoreResponses(unittest.TestCase):
    @fuzz
    @given(anything, st.sampled_from([TransactionReply, TransactionConflict]))
    def test_bodies(self, body, kind):
        decode_body(body, kind)

    @fuzz
    @given(
        anything
        | damaged({"entries": [ITEM], "more-pages": False, "store-revision": 3})
    )
    def test_ranges(self, body):
        decoded = decode_body(body, StoreRange)
        if decoded.is_ok():
            decode_items(decoded.unwrap().entries)

    @fuzz
    @given(anything | damaged({"events": [ITEM], "store-revision": 3}))
    def test_events(self, body):
        decoded = decode_body(body, StoreEvents)
        if decoded.is_ok():
            decode_events(decoded.unwrap().events)


tokens = st.binary(max_size=30)
names = st.sampled_from(
    [
        b"X-Attempt-Id",
        b"X-Deadline-Ms",
        b"X-Token-Usage",
        b"X-Prompt-Prefix",
        b"Last-Event-Id",
        b"Authorization",
        b"Host",
        b"X-Server-Load",
        b"Keep-Alive",
        b"X-Not-Executed",
        b"Connection",
    ]
)
headers = st.lists(st.tuples(names, tokens), max_size=8)


class TestHeaders(unittest.TestCase):
    @fuzz
    @given(headers, tokens)
    def test_request(self, fields, target):
        request = decode_request(RequestHead(b"GET", target, fields), b"", 5.0)
        self.assertGreaterEqual(request.prompt_tokens, 0)
        self.assertGreaterEqual(request.output_tokens, 0)
        self.assertEqual(request.deadline_s, request.deadline_s)

    @fuzz
    @given(headers, st.integers(200, 599))
    def test_answer(self, fields, status):
        decode_answer(ResponseHead(status, b"", fields))
