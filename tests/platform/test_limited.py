"""Endpoints that name a limit get no more than that from all routers together."""

import unittest

from tests.platform.limit_storm import LimitStorm


class TestAllRouters(unittest.TestCase):
    # Guards against routers that each send what one of them may send, or that do not
    # read the limit at all, while another endpoint could serve every request.
    def test_limits_hold_for_the_requests_of_nine_routers(self):
        storm = LimitStorm(routers=9, desks=3)
        for desk, limit_per_s in zip(storm.desks[:2], (1.3, 2.2), strict=True):
            storm.name_limit(desk, 8.0, limit_per_s)
        storm.send_for(24.0, rate=20.0)
        storm.run(1.0)
        for desk in storm.desks[:2]:
            self.assertLessEqual(storm.excess(desk), 0)
        self.assertEqual(storm.statuses, {200: len(storm.clients)})
