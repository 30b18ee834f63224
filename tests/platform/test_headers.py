import unittest

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.request import ForwardOptions, MemoryCopy
from sesamearch.platform.headers import (
    MAX_LIMIT_PER_S,
    MAX_PAUSE_S,
    decode_answer,
    decode_request,
    encode_request,
    keep_alive_s,
)
from sesamearch.wire.head import RequestHead, ResponseHead
from tests.platform.world import World, draft_bytes, make_configuration

LONG_HEAD = {"max-header-bytes": 16384}
ENDPOINT = Endpoint("i-1", "10.1.0.2:8000", "east", "models", "v1")
HEADERS = [
    (b"Host", b"Desk.Example:80"),
    (b"X-Attempt-Id", b"9c41"),
    (b"X-Model", b"m"),
    (b"X-Token-Usage", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"X-Deadline-Ms", b"25000"),
    (b"Last-Event-Id", b"12"),
    (b"Authorization", b"Token secret"),
    (b"Accept", b"text/event-stream"),
]


def decode(*more, headers=HEADERS):
    head = RequestHead(b"POST", b"/a/b?c=d", [*headers, *more])
    return decode_request(head, b"body", 100.0)


def encode(request, **options):
    outgoing = encode_request(
        request, ForwardOptions(ENDPOINT, 110.0, **options), 105.0
    )
    return {name.lower(): value for name, value in outgoing.headers}


class TestRequest(unittest.TestCase):
    def test_fields(self):
        request = decode()
        self.assertEqual((request.host, request.path), ("desk.example", "/a/b"))
        self.assertEqual((request.request_id, request.key), ("9c41", "secret"))
        self.assertEqual((request.received_s, request.deadline_s), (100.0, 125.0))
        self.assertEqual((request.prompt_tokens, request.output_tokens), (1460, 80))
        self.assertEqual(request.last_part, "e4402b7d")
        self.assertEqual(request.after_event, 12)

    def test_invalid_values_count_as_absent(self):
        invalid = [
            (b"Host", b"h"),
            (b"X-Token-Usage", b"many"),
            (b"X-Deadline-Ms", b"soon"),
            (b"Last-Event-Id", b"-1"),
            (b"Authorization", b"Basic secret"),
        ]
        request = decode(headers=invalid)
        self.assertEqual((request.prompt_tokens, request.key), (0, ""))
        self.assertIsNone(request.after_event)
        self.assertGreater(request.deadline_s, 100.0)

    def test_headers_for_the_endpoint(self):
        sent = encode(decode(), organisation="bench", after_event=12, urgency=1)
        self.assertEqual(sent[b"x-attempt-id"], b"9c41")
        self.assertEqual(sent[b"x-deadline-ms"], b"5000")
        self.assertEqual(sent[b"x-target-instance"], b"i-1")
        self.assertEqual(sent[b"x-tenant"], b"bench")
        self.assertEqual(sent[b"last-event-id"], b"12")
        self.assertEqual(sent[b"accept"], b"text/event-stream")
        self.assertNotIn(b"authorization", sent)

    def test_headers_for_backups_and_copies(self):
        sent = encode(
            decode(),
            backup_address="10.1.0.3:1",
            copy=MemoryCopy("10.1.0.5:1", "10.1.0.4:1", "9c41"),
        )
        self.assertEqual(sent[b"x-kv-backup"], b"10.1.0.3:1")
        self.assertEqual(sent[b"kv-from"], b"10.1.0.4:1/9c41")

    def test_internal_headers_of_callers_are_dropped(self):
        names = (
            b"X-Tenant",
            b"X-Target-Instance",
            b"X-Kv-Hold",
            b"X-Kv-Backup",
            b"X-Pin-Ms",
            b"Kv-From",
            b"kv-fetch",
            b"X-Request-Priority",
            b"X-Expected-Version",
        )
        request = decode(*[(name, b"forged") for name in names])
        self.assertNotIn(b"forged", [value for _, value in request.headers])

    def test_connection_header_drops_listed_headers_but_no_request_headers(self):
        request = decode(
            (b"Connection", b"X-Hop, X-Attempt-Id, X-Model"), (b"X-Hop", b"1")
        )
        names = {name.lower() for name, _ in request.headers}
        self.assertNotIn(b"x-hop", names)
        self.assertLessEqual({b"x-attempt-id", b"x-model"}, names)


class TestLongNumbers(unittest.TestCase):
    """Guards against numbers that make a request raise instead of being answered."""

    def test_request_with_a_long_number_is_answered(self):
        for digits in (20, 400, 5000):
            number = "9" * digits
            for headers in (
                {"X_Deadline_Ms": number},
                {"X_Token_Usage": f"{number},{number}"},
                {"X_Prompt_Prefix": f"5c1e:{number}"},
                {"Last_Event_Id": number},
            ):
                with self.subTest(digits=digits, headers=list(headers)):
                    world = World()
                    limits = {**make_configuration()["limits"], **LONG_HEAD}
                    world.store.put("op/config", make_configuration(8, limits=limits))
                    world.run(0.1)
                    fields = {"X_Deadline_Ms": "1000", **headers}
                    client = world.send_request(draft_bytes(**fields), wait_s=2)
                    self.assertIn(client.status, (200, 429, 503, 504))

    def test_leading_zeros_do_not_count(self):
        head = RequestHead(b"GET", b"/", [(b"X-Deadline-Ms", b"0" * 30 + b"500")])
        self.assertEqual(decode_request(head, b"", 10.0).deadline_s, 10.5)


class TestAnswer(unittest.TestCase):
    def decode(self, status, *headers):
        return decode_answer(ResponseHead(status, b"", list(headers)))

    def test_refusal_may_state_that_it_has_not_run(self):
        answer = self.decode(503, (b"X-Not-Executed", b"1"))
        self.assertTrue(answer.has_not_run)

    def test_failure_does_not_state_that_it_has_not_run(self):
        self.assertFalse(self.decode(503).has_not_run)
        self.assertFalse(self.decode(500).has_not_run)

    def test_other_instance(self):
        self.assertTrue(self.decode(421).is_other_instance)

    def test_load(self):
        load = self.decode(200, (b"X-Server-Load", b"3,0,8")).load
        self.assertEqual((load.running, load.waiting, load.slots), (3, 0, 8))
        self.assertIsNone(load.pace_percent)
        self.assertIsNone(self.decode(200, (b"X-Server-Load", b"3,x")).load)

    def test_load_with_the_pace_of_work(self):
        load = self.decode(200, (b"X-Server-Load", b"3,1,8,250")).load
        self.assertEqual((load.waiting, load.slots, load.pace_percent), (1, 8, 250))
        for malformed in (b"3,1,8,", b"3,1,8,-5", b"3,1,8,2.5", b"1,2,3,4,5"):
            self.assertIsNone(self.decode(200, (b"X-Server-Load", malformed)).load)

    def test_process_may_say_that_it_leaves(self):
        leaving = self.decode(200, (b"server-leaving", b" 1 "))
        self.assertTrue(leaving.is_leaving)
        self.assertEqual(leaving.headers, [(b"server-leaving", b" 1 ")])
        self.assertFalse(self.decode(200).is_leaving)
        self.assertFalse(self.decode(200, (b"Server-Leaving", b"0")).is_leaving)

    def test_connection_header_does_not_hide_that_a_process_leaves(self):
        named = (b"Connection", b"close, Server-Leaving")
        self.assertTrue(self.decode(200, named, (b"Server-Leaving", b"1")).is_leaving)

    def test_refusal_may_ask_for_a_pause(self):
        for text, pause_s in ((b"2", 2.0), (b"0.25", 0.25), (b" .5 ", 0.5), (b"0", 0)):
            answer = self.decode(503, (b"retry-after", text))
            self.assertEqual((answer.pause_s, answer.unusable_pause), (pause_s, ""))
            self.assertIn((b"retry-after", text), answer.headers)

    def test_only_a_503_asks_for_a_pause(self):
        for status in (200, 429, 500, 504):
            answer = self.decode(status, (b"Retry-After", b"2"))
            self.assertEqual((answer.pause_s, answer.unusable_pause), (0.0, ""))
        self.assertEqual(self.decode(503).pause_s, 0.0)

    def test_answer_may_name_a_limit(self):
        for text, limit_per_s in ((b"1.3", 1.3), (b"0", 0.0), (b" .5 ", 0.5)):
            for status in (200, 500, 503):
                answer = self.decode(status, (b"Server-Limit", text))
                stated = (answer.limit_per_s, answer.unusable_limit)
                self.assertEqual(stated, (limit_per_s, ""))
        self.assertIsNone(self.decode(200).limit_per_s)

    def test_malformed_limit_is_none_and_shown(self):
        for value in (b"-1", b"1e3", b"nan", b"inf", b"1,2", b"0x1", b"\xb2"):
            answer = self.decode(200, (b"Server-Limit", value))
            self.assertIsNone(answer.limit_per_s)
            self.assertEqual(answer.unusable_limit, value.decode("latin-1"))
        self.assertEqual(
            self.decode(200, (b"Server-Limit", b"")).unusable_limit, "empty"
        )

    def test_answer_may_say_that_its_endpoint_is_brittle(self):
        for text, number in ((b"3", 3), (b"0", 0), (b" 1000000 ", 10**6)):
            for status in (200, 500, 503):
                answer = self.decode(status, (b"Server-Brittle", text))
                stated = (answer.brittle_per_s, answer.unusable_limit)
                self.assertEqual(stated, (number, ""))
        self.assertIsNone(self.decode(200).brittle_per_s)

    def test_malformed_brittleness_is_none_and_shown(self):
        for value in (b"-1", b"1.5", b"x", b"\xb2", b"1000001", b"9" * 5000):
            answer = self.decode(200, (b"Server-Brittle", value))
            self.assertIsNone(answer.brittle_per_s)
            self.assertEqual(answer.unusable_limit, value.decode("latin-1")[:32])

    def test_huge_limit_is_bounded(self):
        answer = self.decode(200, (b"Server-Limit", b"9" * 400))
        self.assertEqual(answer.limit_per_s, MAX_LIMIT_PER_S)

    def test_malformed_pause_is_none_and_shown(self):
        malformed = ("soon", "-3", "nan", "inf", "1e3", "2, 5", "1_000", "\u0662")
        date = "Fri, 04 Dec 2026 11:00:00 GMT"
        for text in (*malformed, date):
            value = text.encode("utf-8")
            answer = self.decode(503, (b"Retry-After", value))
            self.assertEqual(answer.pause_s, 0.0, text)
            self.assertEqual(answer.unusable_pause, value.decode("latin-1"))

    def test_huge_pause_is_bounded_and_shown(self):
        for text in (b"601", b"1000000000.5", b"9" * 400):
            answer = self.decode(503, (b"Retry-After", text))
            self.assertEqual(answer.pause_s, MAX_PAUSE_S)
            self.assertEqual(answer.unusable_pause, text[:32].decode())

    def test_hop_by_hop_headers_are_dropped(self):
        answer = self.decode(
            200,
            (b"Connection", b"close"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Content-Length", b"5"),
            (b"X-Response-Signature", b"s"),
        )
        self.assertEqual(answer.headers, [(b"X-Response-Signature", b"s")])
        self.assertTrue(answer.is_signed)

    def test_keep_alive_timeout(self):
        stated = ResponseHead(200, b"", [(b"Keep-Alive", b"timeout=7, max=3")])
        self.assertEqual(keep_alive_s(stated, 0.4), 7.0)
        self.assertEqual(keep_alive_s(ResponseHead(200, b"", []), 0.4), 0.4)
