"""Names of whole requests."""

import unittest

import msgspec

from sesamearch.forwarding.request import CallerRequest, PromptPart
from sesamearch.quarantine.fingerprint import RequestFingerprints

REQUEST = CallerRequest(
    "r1", b"POST", b"/look/1?a=1", [(b"X-A", b"1")], b"body", "h", "/look/1", "k", 0, 9
)


def fingerprints(secret="fleet"):
    made = RequestFingerprints()
    made.set_secret(secret)
    return made


def name_of(secret="fleet", organisation="o", **changes):
    request = msgspec.structs.replace(REQUEST, **changes)
    return fingerprints(secret).name(request, organisation)


class TestRequestFingerprints(unittest.TestCase):
    def test_same_request_with_another_id_key_and_headers_has_the_same_name(self):
        again = name_of(request_id="r2", headers=[(b"X-B", b"2")], key="new")
        self.assertEqual(again, name_of())

    def test_any_other_content_is_another_request(self):
        changes = (
            {"method": b"PUT"},
            {"target": b"/look/2?a=1"},
            {"target": b"/look/1?a=2"},
            {"body": b"bodY"},
            {"body": b""},
            {"organisation": "other"},
            {"host": "other"},
        )
        names = {name_of(), *(name_of(**each) for each in changes)}
        self.assertEqual(len(names), 1 + len(changes))

    # Guards against a prompt that is not recognised, as its stated parts vary.
    def test_stated_parts_of_the_prompt_make_no_other_request(self):
        parts = [PromptPart("5c1e", 1), PromptPart("a1", 1)]
        self.assertEqual(name_of(prompt_parts=parts), name_of())

    # Guards against two requests of one name, as bytes move from one field to the next.
    def test_fields_are_told_apart(self):
        self.assertNotEqual(
            name_of(organisation="ab", body=b"c"), name_of(organisation="a", body=b"bc")
        )

    # Guards against content of callers that can be guessed from logs or the store.
    def test_name_depends_on_the_secret_and_shows_nothing_of_the_request(self):
        self.assertNotEqual(name_of(secret="other"), name_of())
        self.assertRegex(name_of(), r"^request-[0-9a-f]{16}$")

    def test_without_a_secret_there_is_no_name(self):
        self.assertEqual(RequestFingerprints().name(REQUEST), "")

    def test_names_are_not_those_of_parts(self):
        self.assertTrue(RequestFingerprints.is_request(name_of()))
        self.assertFalse(RequestFingerprints.is_request("5c1e07a2"))
