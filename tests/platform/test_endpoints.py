import unittest

import msgspec

from sesamearch.platform.endpoints import decode_endpoint

ENTRY = {
    "service": "desk",
    "address": "10.1.0.2:8000",
    "zone": "east",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold-left-ms": 0,
    "sequence": 4,
    "born": 1783654945000,
}


def decode(**changes):
    content = {**ENTRY, **changes}
    content = {name: value for name, value in content.items() if value is not None}
    return decode_endpoint(b"servers/i-1", msgspec.json.encode(content))


class TestEndpoint(unittest.TestCase):
    def test_fields(self):
        endpoint = decode().unwrap()
        self.assertEqual((endpoint.name, endpoint.data_centre), ("i-1", "east"))
        self.assertEqual((endpoint.slots, endpoint.born_ms), (6, 1783654945000))
        self.assertFalse(endpoint.leaving)

    def test_draining_is_leaving(self):
        self.assertTrue(decode(state="draining").unwrap().leaving)

    def test_sequence_is_ignored(self):
        self.assertEqual(decode(sequence=5).unwrap(), decode().unwrap())

    def test_missing_or_mistyped_field_is_an_error(self):
        for name in ("service", "address", "zone", "version", "state"):
            self.assertTrue(decode(**{name: None}).is_err(), name)
            self.assertTrue(decode(**{name: 7}).is_err(), name)
        for name in ("slots", "cold-left-ms", "sequence"):
            self.assertTrue(decode(**{name: None}).is_err(), name)
            self.assertTrue(decode(**{name: "six"}).is_err(), name)

    def test_start_time_and_fields_of_engines_may_be_missing(self):
        self.assertEqual(decode(born=None).unwrap().born_ms, 0)
        self.assertTrue(decode(stage="unified", models=[{"name": "m"}]).is_ok())

    def test_time_that_is_left_may_be_a_fraction(self):
        self.assertTrue(decode(**{"cold-left-ms": 812.5}).is_ok())

    def test_invalid_value_is_an_error(self):
        for changes in (
            {"state": "napping"},
            {"address": "10.1.0.2"},
            {"address": "host:80"},
            {"address": "10.1.0.2:http"},
        ):
            self.assertTrue(decode(**changes).is_err(), changes)

    def test_undecodable_bytes_are_an_error(self):
        for value in (b"\xff\xfe", b"", b"[]", b"null"):
            self.assertTrue(decode_endpoint(b"servers/x", value).is_err(), value)
