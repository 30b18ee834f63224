"""Where a request would go: the choice, the reasons, and that nothing changes."""

import unittest

import msgspec

from sesamearch.forwarding.request import EndpointAnswer, PromptPart
from sesamearch.forwarding.where import WhereAnswer, WhereQuery
from tests.platform.world import HOST, World, draft_bytes, request_bytes

PARTS = [PromptPart("a1", 200), PromptPart("b2", 4000)]


class TestWhere(unittest.TestCase):
    def setUp(self):
        self.world = World(desks=3, engines=4)
        self.router = self.world.routers[0]

    def find(self, path="/draft/1", **fields):
        return self.router._where.find(WhereQuery(HOST, path, **fields))

    def why_not(self, answer, name):
        return next(each.why_not for each in answer.endpoints if each.name == name)

    def test_request_goes_where_it_would_and_nothing_is_sent(self):
        answer = self.find(parts=PARTS)
        self.assertEqual((answer.route, answer.service), ("draft", "models"))
        self.assertEqual(len(answer.endpoints), 4)
        self.assertEqual(answer.endpoints[0].name, answer.chosen)
        self.assertEqual(answer.endpoints[0].why_not, [])
        self.world.run(1)
        self.assertEqual(self.router.counters.tries, 0)
        self.assertFalse(any(desk.runs for desk in self.world.desks))

    def test_query_changes_no_later_choice(self):
        other = World(desks=3, engines=4)
        for world, queries in ((self.world, 20), (other, 0)):
            for _ in range(queries):
                self.find("/look/1")
            for number in range(6):
                world.send_request(request_bytes("/look/1", f"r{number}"))
        runs = [[len(d.runs) for d in w.desks] for w in (self.world, other)]
        self.assertEqual(*runs)

    def test_reasons_are_told(self):
        self.router._health.note_unreachable("engine-0")
        answer = self.find()
        self.assertNotEqual(answer.chosen, "engine-0")
        self.assertEqual(self.why_not(answer, "engine-0"), ["did not answer lately"])
        others = {"engine-1", "engine-2", "engine-3"} - {answer.chosen}
        for name in others:
            self.assertEqual(self.why_not(answer, name), ["costs more"])

    def test_held_prompt_is_told_and_counts(self):
        self.router._held_prompts.note_read(PARTS, "engine-2")
        answer = self.find(parts=PARTS)
        self.assertEqual(answer.chosen, "engine-2")
        self.assertEqual(answer.endpoints[0].saved_tokens, 4200)

    def test_what_is_missing_is_said(self):
        self.assertIn("no route for host", self.find("/nowhere").error)
        self.assertIn("no organisation", self.find(organisation="nobody").error)
        for engine in self.world.engines:
            endpoint = self.router.board.endpoints.value[engine.name]
            refusal = EndpointAnswer(503, b"", [], pause_s=5.0)
            self.router._pauses.note_answer(endpoint, refusal)
        answer = self.find()
        self.assertIn("no endpoint", answer.error)
        self.assertEqual(self.why_not(answer, "engine-0"), ["asked for a pause"])


class TestPort(unittest.TestCase):
    def ask(self, world, query):
        data = f"GET /where?{query} HTTP/1.1\r\nHost: r\r\n\r\n".encode()
        client = world.connect(port=7200).send(data)
        world.run(0.2)
        _, _, body = client.received.partition(b"\r\n\r\n")
        return msgspec.json.decode(body, type=WhereAnswer)

    def test_router_answers_beside_its_metrics(self):
        world = World(routers=2)
        world.run(6)
        world.send_request(draft_bytes(), wait_s=2)
        answer = self.ask(world, f"host={HOST}&path=/draft/1&prompt=a1:200,b2:4000")
        self.assertEqual((answer.router, answer.error), ("router-0", ""))
        self.assertTrue(answer.chosen.startswith("engine-"))

    def test_bad_queries_are_answered(self):
        world = World()
        world.run(6)
        for query in ("", "host=%00&path=x", "prompt=zz:1,,&output-tokens=-5&host=h"):
            self.assertIn("no route", self.ask(world, query).error)


if __name__ == "__main__":
    unittest.main()
