import random
import unittest

from twisted.internet.task import Clock

from sesamearch.forwarding.load import EndpointLoad, LoadTracker


class TestLoadBook(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.book = LoadTracker(self.clock)

    def test_own_work_is_counted_until_it_ends(self):
        work = self.book.begin("e1", 8000, 9000)
        self.assertEqual(self.book.total("e1"), EndpointLoad(1, 8000, 9000))
        work.prompt_was_read()
        self.assertEqual(self.book.total("e1"), EndpointLoad(1, 0, 9000))
        work.end()
        work.end()
        self.assertTrue(self.book.total("e1").is_empty)

    def test_news_replace_earlier_news(self):
        self.book.update("r1", {"e1": EndpointLoad(2, 100, 200)})
        self.book.update("r1", {"e2": EndpointLoad(1, 10, 20)})
        self.assertTrue(self.book.total("e1").is_empty)
        self.assertEqual(self.book.total("e2"), EndpointLoad(1, 10, 20))

    def test_sums_equal_those_of_the_last_news_of_all(self):
        rng = random.Random(1)
        last = {}
        for _ in range(500):
            router = f"r{rng.randrange(6)}"
            loads = {
                f"e{rng.randrange(5)}": EndpointLoad(
                    rng.randrange(1, 4), rng.randrange(9), rng.randrange(9)
                )
                for _ in range(rng.randrange(4))
            }
            last[router] = loads
            self.book.update(router, loads)
        for number in range(5):
            expected = EndpointLoad()
            for loads in last.values():
                expected.add(loads.get(f"e{number}", EndpointLoad()))
            self.assertEqual(self.book.total(f"e{number}"), expected)

    def test_age_of_the_oldest_news(self):
        self.book.update("r1", {})
        self.clock.advance(0.5)
        self.book.update("r2", {})
        self.assertEqual(self.book.oldest_report_age_ms(), 500)

    def test_changes_of_generations_are_news_and_those_of_calls_are_not(self):
        self.book.begin("e1")
        self.assertFalse(self.book.has_unsent_changes)
        self.book.begin("e1", 10, 20)
        self.assertTrue(self.book.has_unsent_changes)
        self.assertEqual(set(self.book.generations()), {"e1"})
