"""How often a generation is sent, what is paid for, and how pauses grow."""

import unittest

from sesamearch.forwarding.allowance import (
    ENGINE_LOST_PAUSE_S,
    MAX_ENGINES_LOST_AT_ONCE,
    MAX_FIRST_SENDS,
    MAX_FREE_FAILED_CONNECTIONS,
    MAX_LATER_SENDS,
    MAX_PAUSE_S,
    SendAllowance,
)


class TestSendAllowance(unittest.TestCase):
    def setUp(self):
        self.budget = 100
        self.logged, self.quiet = 0, 0
        self.allowance = SendAllowance(3, self.spend, self.spend_again)

    def spend(self):
        self.logged += 1
        return self.take()

    def spend_again(self):
        self.quiet += 1
        return self.take()

    def take(self):
        self.budget -= 1
        return self.budget >= 0

    def send(self, count=1):
        for _ in range(count):
            self.assertTrue(self.allowance.pay())
            self.allowance.note_sent()

    def reject(self, count=1):
        for _ in range(count):
            self.send()
            self.allowance.note_not_run()

    # Guards against retries that are not paid for, and first sends that are.
    def test_only_retries_are_paid_for(self):
        self.send()
        self.assertEqual(self.budget, 100)
        self.send(2)
        self.assertEqual(self.budget, 98)

    # Guards against a retry that is paid for twice while it waits to be sent.
    def test_retry_is_paid_for_once(self):
        self.send()
        self.assertTrue(self.allowance.pay())
        self.assertTrue(self.allowance.pay())
        self.assertEqual(self.budget, 99)

    # Guards against a log line at each look while the budget is spent.
    def test_denial_is_logged_once_until_a_retry_is_paid_for(self):
        self.budget = 0
        self.send()
        for _ in range(5):
            self.assertFalse(self.allowance.pay())
        self.assertEqual((self.logged, self.quiet), (1, 4))
        self.budget = 1
        self.send()
        self.assertFalse(self.allowance.pay())
        self.assertEqual(self.logged, 2)

    # Guards against failed connections that use up budget or attempts.
    def test_failed_connections_are_free_up_to_their_limit(self):
        for _ in range(MAX_FREE_FAILED_CONNECTIONS):
            self.send()
            self.allowance.note_not_connected()
        self.assertEqual((self.budget, self.allowance.runs), (100, 0))
        self.send()
        self.assertEqual(self.budget, 99)

    # Guards against more runs than the route allows, and rejections counted as runs.
    def test_only_runs_use_up_the_attempts(self):
        self.reject(5)
        self.assertTrue(self.allowance.has_runs_left)
        self.send(3)
        self.assertFalse(self.allowance.has_runs_left)

    # Guards against attempts used up by tries that were lost before their first event.
    def test_tries_without_an_event_use_up_no_attempt(self):
        for _ in range(4):
            self.send()
            self.allowance.note_no_event()
        self.assertTrue(self.allowance.has_runs_left)
        # An engine may have worked on each, so that a refusal must not deny it.
        self.assertEqual(self.allowance.runs, 4)
        self.send(3)
        self.assertFalse(self.allowance.has_runs_left)

    # Guards against engines flooded by answers that wait for a free one.
    def test_pauses_grow_and_allow_few_sends(self):
        self.reject(MAX_FIRST_SENDS - 1)
        self.assertFalse(self.allowance.needs_pause)
        self.reject()
        self.assertTrue(self.allowance.needs_pause)
        pauses = []
        for _ in range(6):
            pauses.append(self.allowance.begin_pause())
            self.reject(MAX_LATER_SENDS - 1)
            self.assertFalse(self.allowance.needs_pause)
            self.reject()
            self.assertTrue(self.allowance.needs_pause)
        self.assertEqual(pauses, sorted(pauses))
        self.assertLess(pauses[0], pauses[1])
        self.assertEqual(pauses[-1], MAX_PAUSE_S)

    # Guards against a request that goes on ending engines until it has ended eight.
    def test_each_send_after_three_lost_engines_waits(self):
        for _ in range(MAX_ENGINES_LOST_AT_ONCE):
            self.assertFalse(self.allowance.needs_pause)
            self.send()
            self.allowance.note_no_event()
            self.allowance.note_engine_lost(was_writing=False)
        self.assertTrue(self.allowance.needs_pause)
        self.assertEqual(self.allowance.begin_pause(), ENGINE_LOST_PAUSE_S)
        self.assertFalse(self.allowance.needs_pause)
        self.send()
        self.assertTrue(self.allowance.needs_pause)
        self.allowance.note_event()
        self.assertFalse(self.allowance.needs_pause)

    # Guards against a long pause after a break that follows an earlier one.
    def test_an_event_ends_the_growth(self):
        for _ in range(4):
            self.allowance.begin_pause()
        self.allowance.note_event()
        self.assertEqual(self.allowance.begin_pause(), 0.05)
