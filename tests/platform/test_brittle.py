import unittest

from tests.platform.brittle_storm import ROOM_FROM_S, BrittleStorm

TO_S = 19.0
# Share of what the endpoints could serve that is served at least.
MIN_SERVED_RATIO = 0.8


def play(brittle, room, load_ratio, routers=6, desks=5, seed=1, change=None):
    storm = BrittleStorm(routers, desks, brittle, room, seed)
    rate = storm.capacity_per_s() * load_ratio
    if change is not None:
        storm.network.callLater(13, change, storm)
    storm.send_for(TO_S, rate)
    storm.run(2)
    return storm


def slow_down(storm):
    for desk in storm.desks:
        desk.work_s *= 4
    storm.network.callLater(4, speed_up, storm)


def speed_up(storm):
    for desk in storm.desks:
        desk.work_s /= 4


class TestBrittleEndpoints(unittest.TestCase):
    # Guards against: routers that each know their own requests alone turn to brittle
    # endpoints together, and these fall over one after the other.
    def test_endpoints_do_not_fall(self):
        for brittle, room, load_ratio in ((3, 3, 0.3), (2, 1, 0.6), (1, 3, 0.5)):
            storm = play(brittle, room, load_ratio)
            served, came = storm.served_from(ROOM_FROM_S, TO_S)
            self.assertLessEqual(storm.falls, storm.allowed_falls)
            self.assertGreaterEqual(served, MIN_SERVED_RATIO * came)

    def test_endpoints_that_turn_slow_do_not_fall(self):
        storm = play(3, 3, 0.2, change=slow_down)
        self.assertLessEqual(storm.falls, storm.allowed_falls)
