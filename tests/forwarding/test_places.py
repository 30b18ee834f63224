import unittest

from twisted.internet.task import Clock

from sesamearch.forwarding.places import (
    GROW_INTERVAL_S,
    MAX_HELD_S,
    SHRUNK_S,
    Places,
)


class TestPlaces(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.places = Places(self.clock)

    def take(self, *holders):
        for holder in holders:
            self.places.take(holder)

    def test_one_place_at_first(self):
        self.assertTrue(self.places.has_free(1.0))
        self.take("a")
        self.assertFalse(self.places.has_free(1.0))
        self.places.note_ended("a")
        self.assertTrue(self.places.has_free(1.0))

    def test_places_rise_slowly_while_they_are_used_up(self):
        for number in range(4):
            self.take(number)
            self.assertFalse(self.places.has_free(1.0))
            self.clock.advance(GROW_INTERVAL_S)
            self.assertTrue(self.places.has_free(1.0))
        self.assertEqual(self.places.bound, 5)

    def test_places_that_are_not_used_up_do_not_rise(self):
        self.clock.advance(10 * GROW_INTERVAL_S)
        self.assertTrue(self.places.has_free(1.0))
        self.assertEqual(self.places.bound, 1)

    # Guards against: an endpoint that lets in fewer is sent as many as before.
    def test_places_fall_at_once_below_what_was_under_way(self):
        self.places.bound = 6
        self.take("a", "b", "c", "d")
        self.places.note_turned_away("d")
        self.assertEqual((self.places.bound, self.places.under_way), (3, 3))
        self.clock.advance(SHRUNK_S - 0.01)
        self.assertFalse(self.places.has_free(1.0))
        self.clock.advance(0.02)
        self.assertTrue(self.places.has_free(1.0))

    def test_one_place_is_left_always(self):
        self.take("a")
        self.places.note_turned_away("a")
        self.places.note_turned_away("a")
        self.assertEqual(self.places.bound, 1)
        self.assertTrue(self.places.has_free(0.1))

    def test_place_of_a_lost_router_is_free_again(self):
        self.take("a")
        self.clock.advance(MAX_HELD_S + 1)
        self.places.has_free(1.0)
        self.assertEqual(self.places.under_way, 0)

    def test_wait_follows_the_time_that_places_are_held(self):
        self.places.bound = 2
        for number in range(50):
            self.take(number)
            self.clock.advance(1.0)
            self.places.note_ended(number)
        self.take("a", "b")
        self.assertAlmostEqual(self.places.wait_s(0), 0.5, 1)
        self.assertAlmostEqual(self.places.wait_s(3), 2.0, 1)
