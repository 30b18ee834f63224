"""Load: callers that keep the slots of all endpoints in use, and read no answers."""

import unittest

from twisted.internet.task import Clock

from sesamearch.forwarding.untaken import MAX_UNTAKEN_S, REFUSAL_AGE_S, UntakenAnswers


class Service:
    def __init__(self, name):
        self.name = name


class Exchange:
    def __init__(self, untaken_bytes, service="desk"):
        self.untaken_bytes = untaken_bytes
        self.service = Service(service)


class TestUntakenAnswers(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.answers = UntakenAnswers(self.clock)

    def find(self, exchanges, wait_s):
        self.answers.find(exchanges)
        self.clock.advance(wait_s)
        return self.answers.find(exchanges)

    def test_unread_answer_makes_room_for_requests_that_are_refused(self):
        unread, read = Exchange(100_000), Exchange(0)
        self.answers.note_refused("desk")
        self.assertEqual(self.find([unread, read], MAX_UNTAKEN_S), [unread])

    # Guards against slow readers that are cut off although nobody needs their place.
    def test_unread_answer_stays_while_nobody_is_refused(self):
        self.assertEqual(self.find([Exchange(100_000)], 60.0), [])
        self.answers.note_refused("models")
        self.assertEqual(self.find([Exchange(100_000)], MAX_UNTAKEN_S), [])

    def test_caller_that_takes_a_part_stays(self):
        exchange = Exchange(100_000)
        self.answers.note_refused("desk")
        for _ in range(5):
            self.assertEqual(self.find([exchange], MAX_UNTAKEN_S / 2), [])
            exchange.untaken_bytes -= 10

    def test_old_refusal_makes_no_room(self):
        self.answers.note_refused("desk")
        self.clock.advance(REFUSAL_AGE_S)
        self.assertEqual(self.find([Exchange(100_000)], MAX_UNTAKEN_S), [])

    def test_answers_that_ended_are_forgotten(self):
        exchange = Exchange(100_000)
        self.answers.note_refused("desk")
        self.answers.find([exchange])
        self.answers.find([])
        self.assertEqual(self.find([exchange], MAX_UNTAKEN_S / 2), [])


if __name__ == "__main__":
    unittest.main()
