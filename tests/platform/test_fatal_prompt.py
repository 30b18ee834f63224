"""Engines that end when they begin to write on one part of a prompt."""

import unittest

import logbook

from sesamearch.base.record import QuarantineChanged, TryLost
from sesamearch.quarantine.entry import Quarantine
from tests.platform.prompt_storm import (
    CONTACT_S,
    COUNTED_ENDS,
    FATAL_PART,
    PromptStorm,
)

MAX_LATE_ARRIVALS = 3


class TestFatalPrompt(unittest.TestCase):
    def assert_few_arrivals(self, storm, part=FATAL_PART):
        self.assertLessEqual(storm.late_arrivals(part), MAX_LATE_ARRIVALS)

    def assert_served(self, requests):
        whole = sum(each.is_whole for each in requests)
        self.assertGreaterEqual(whole, 0.9 * len(requests))
        self.assertGreater(len(requests), 10)

    # Guards against a request that is sent on and on, to engines that it ends.
    def test_one_request_ends_a_bounded_number_of_engines(self):
        storm = PromptStorm(routers=1, engines=12)
        storm.send(("5c1e", FATAL_PART))
        storm.run(20)
        self.assertLessEqual(len(storm.ended_s), COUNTED_ENDS)

    # Guards against prompts whose fatal part is known to no router but the last one.
    def test_fatal_part_reaches_few_engines_after_the_fifth_end(self):
        for routers, engines, seed in ((9, 20, 1), (9, 20, 2), (9, 20, 3), (40, 60, 1)):
            with self.subTest(routers=routers, seed=seed):
                storm = PromptStorm(routers, engines, seed)
                storm.send_mixed(24)
                storm.run(15)
                self.assert_few_arrivals(storm)
                since_s = storm.ended_s[:COUNTED_ENDS][-1] + 2 * CONTACT_S
                self.assert_served(storm.sound(since_s))

    # Guards against an engine that ends before it has sent the head of an answer.
    def test_fatal_part_is_found_without_the_head_of_an_answer(self):
        storm = PromptStorm(9, 20, seed=2)
        for engine in storm.engines:
            engine.ends_after_head = False
        storm.send_mixed(24)
        storm.run(15)
        self.assert_few_arrivals(storm)

    # Guards against two fatal parts that hide each other, as the engines that end under
    # one are taken for engines that end without a cause.
    def test_two_fatal_parts_are_both_found(self):
        for seed, losses in ((1, 0), (3, 0), (2, 7)):
            with self.subTest(seed=seed, losses=losses):
                storm = PromptStorm(9, 20, seed, fatal_parts=(FATAL_PART, "beef"))
                for engine in storm.engines:
                    engine.ends_after_head = False
                storm.lose_at_random(24, losses / 24)
                storm.send_mixed(24)
                storm.run(15)
                for part in storm.fatal_parts:
                    self.assertLessEqual(
                        storm.late_arrivals_of(part), MAX_LATE_ARRIVALS
                    )
                since_s = storm.ended_s[:COUNTED_ENDS][-1] + 2 * CONTACT_S
                self.assert_served(storm.sound(since_s))

    # Guards against a request that is sent on, time after time, to engines that end
    # before they have written a byte, until it has ended eight.
    def test_request_that_ends_engines_without_a_byte_is_not_sent_to_a_fourth(self):
        storm = PromptStorm(routers=1, engines=12)
        for engine in storm.engines:
            engine.ends_after_head = False
        request = storm.send(("5c1e", FATAL_PART))
        storm.run(20)
        self.assertEqual(len(storm.ended_s), 3)
        self.assertEqual(request.client.status, 502)

    # Guards against losses in the log that cannot be told from each other.
    def test_log_says_what_a_lost_engine_was_doing_and_for_which_parts(self):
        handler = logbook.TestHandler()
        with handler.applicationbound():
            storm = PromptStorm(routers=1, engines=2)
            storm.send(("5c1e", FATAL_PART))
            storm.run(1)
        messages = [record.msg for record in handler.records]
        lost = next(each for each in messages if isinstance(each, TryLost))
        *shared, request = lost.parts
        self.assertEqual(shared, ["5c1e", FATAL_PART])
        self.assertTrue(request.startswith("request-"))
        self.assertIsNotNone(lost.answering_ms)
        self.assertEqual(lost.events, 0)


class TestStormWithoutHeads(unittest.TestCase):
    """Engines that end before they have written a byte, beside other losses."""

    def play(self, seed, parts, losses=0):
        storm = PromptStorm(9, 20, seed, fatal_parts=parts)
        for engine in storm.engines:
            engine.ends_after_head = False
        storm.lose_at_random(24, losses / 24)
        storm.send_mixed(24)
        storm.run(15)
        return storm

    def assert_few_arrivals(self, storm):
        late = [storm.late_arrivals_of(part) for part in storm.fatal_parts]
        self.assertLessEqual(max(late), MAX_LATE_ARRIVALS)

    # Guards against a part of all prompts that is refused, because engines end under
    # another part of most of them before anything was written.
    def test_first_part_of_all_prompts_is_served(self):
        storm = self.play(13, (FATAL_PART,))
        sound = storm.sound(storm.ended_s[:COUNTED_ENDS][-1] + 2 * CONTACT_S)
        whole = sum(each.is_whole for each in sound)
        self.assertGreaterEqual(whole, 0.9 * len(sound))

    # Guards against ends without a cause that hide a fatal part.
    def test_fatal_part_is_found_beside_losses_without_a_cause(self):
        self.assert_few_arrivals(self.play(8, (FATAL_PART,), losses=8))

    def test_two_fatal_parts_are_found_beside_losses_without_a_cause(self):
        self.assert_few_arrivals(self.play(15, (FATAL_PART, "beef"), losses=7))


class QuarantineTestCase(unittest.TestCase):
    routers, engines = 4, 12

    def setUp(self):
        self.storm = PromptStorm(self.routers, self.engines)
        self.storm.send_mixed(2, fatal_share=0.0)

    def quarantine(self):
        """Send fatal prompts until they are refused everywhere."""
        while not self.is_refused():
            self.storm.send_mixed(1)
        self.storm.run(5)

    def is_refused(self):
        return self.storm.refuses_everywhere()

    def restart(self, *numbers):
        for number in numbers:
            self.storm.stop_router(self.storm.routers[number])
        for number in numbers:
            self.storm.routers[number] = self.storm.add_router(number)

    def assert_no_further_arrival(self, seconds=3, **options):
        before = len(self.storm.fatal_arrivals())
        sent = [
            self.storm.send(("5c1e", FATAL_PART), **options) for _ in range(seconds)
        ]
        self.storm.run(2)
        self.assertEqual(len(self.storm.fatal_arrivals()), before)
        return sent


class TestRefusals(QuarantineTestCase):
    # Guards against callers that come back in a loop, and against an untrue answer.
    def test_caller_is_told_at_once_that_nothing_ran_and_when_to_come_back(self):
        self.quarantine()
        request = self.storm.send(("5c1e", FATAL_PART))
        self.storm.run(0.05)
        self.assertEqual(request.client.status, 503)
        self.assertIn(b'"ran":"not_run"', request.client.received)
        self.assertIn(b"Retry-After: 60.000", request.client.received)
        self.assertIn(FATAL_PART.encode(), request.client.received)

    # Guards against "not run" for a prompt that an engine had.
    def test_request_that_an_engine_had_is_not_said_not_to_have_run(self):
        self.quarantine()
        answered = [r.client.status for r in self.storm.sent if r.is_fatal]
        self.assertIn(502, answered)
        had = {run.request_id for e in self.storm.engines_ever for run in e.runs}
        for number, request in enumerate(self.storm.sent):
            if request.client.status == 503:
                self.assertNotIn(f"q{number}", had)

    # Guards against refusing sound requests with the same caller and other parts.
    def test_sound_requests_beside_the_fatal_part_are_served(self):
        self.quarantine()
        since_s = self.storm.network.seconds()
        self.storm.send_mixed(5)
        self.storm.run(5)
        sound = self.storm.sound(since_s)
        self.assertGreater(len(sound), 3)
        self.assertTrue(all(each.is_whole for each in sound))

    # Guards against cutting off an answer that its engine goes on with.
    def test_answer_under_way_outlives_a_quarantine_and_a_silence(self):
        for engine in self.storm.engines:
            engine.events = 120
        request = self.storm.send(("5c1e", "b07"), router=0)
        self.storm.run(2.5)
        name = f"q{len(self.storm.sent) - 1}"
        (engine,) = (e for e in self.storm.engines if name in e.served)
        for router in self.storm.routers:
            router._quarantine.update(Quarantine(["b07"], 1))
        self.storm.make_silent(engine, 1.2)
        self.storm.run(4)
        self.assertTrue(request.is_whole)

    def test_decision_is_logged_with_its_evidence(self):
        handler = logbook.TestHandler()
        with handler.applicationbound():
            self.quarantine()
        messages = [record.msg for record in handler.records]
        found = [m for m in messages if isinstance(m, QuarantineChanged)]
        found = [each for each in found if each.parts == [FATAL_PART]]
        own = [each for each in found if each.source == "own"]
        self.assertGreaterEqual(own[0].requests, 2)
        self.assertGreaterEqual(own[0].score, 3.0)
        self.assertEqual(len(found), self.routers)


class TestKnowledge(QuarantineTestCase):
    # Guards against a router that knows nothing after its restart.
    def test_restarted_router_refuses_again(self):
        self.quarantine()
        self.restart(2)
        self.storm.run(CONTACT_S)
        self.assert_no_further_arrival(router=2)

    # Guards against a fleet that forgets all when it loses power.
    def test_routers_that_all_restarted_refuse_again(self):
        self.quarantine()
        self.restart(*range(self.routers))
        self.storm.run(CONTACT_S)
        for router in range(self.routers):
            self.assert_no_further_arrival(router=router)

    def test_router_that_joins_later_refuses(self):
        self.quarantine()
        self.storm.routers.append(self.storm.add_router(self.routers))
        self.storm.run(CONTACT_S)
        self.assert_no_further_arrival(router=self.routers)

    # Guards against a router that the decision did not reach, as it was cut off.
    def test_router_that_was_cut_off_refuses_soon_after(self):
        address = self.storm.routers[3]._settings.peer.listen
        self.storm.sockets[address].is_cut = True
        while not self.storm.routers[0]._quarantine.active_count:
            self.storm.send_mixed(1)
        self.storm.sockets[address].is_cut = False
        self.storm.run(CONTACT_S)
        self.assert_no_further_arrival(router=3)

    # Guards against a data centre that reaches the store but no other data centre.
    def test_router_without_peers_learns_from_the_store(self):
        for router in self.storm.routers[1::2]:
            self.storm.sockets[router._settings.peer.listen].is_cut = True
        self.storm.run(4)
        while not self.storm.routers[0]._quarantine.active_count:
            self.storm.send_mixed(1)
        self.storm.run(CONTACT_S)
        for router in range(self.routers):
            self.assert_no_further_arrival(router=router)

    # Guards against a quarantine that a store from an older copy undoes.
    def test_store_that_comes_back_without_the_entry_gets_it_again(self):
        self.quarantine()
        self.storm.store.restore(30.0, away_s=0.5)
        self.storm.run(4)
        self.restart(*range(self.routers))
        self.storm.run(CONTACT_S)
        self.assert_no_further_arrival()


class TestChanges(QuarantineTestCase):
    def test_two_fatal_parts_are_both_refused(self):
        self.storm.fatal_parts = (FATAL_PART, "worse")
        for engine in self.storm.engines:
            engine.fatal_parts = frozenset(self.storm.fatal_parts)
        self.storm.send_mixed(12)
        before = [len(self.storm.fatal_arrivals(p)) for p in self.storm.fatal_parts]
        self.storm.send_mixed(4)
        after = [len(self.storm.fatal_arrivals(p)) for p in self.storm.fatal_parts]
        self.assertEqual(before, after)
        self.assertTrue(all(r._quarantine.active_count for r in self.storm.routers))

    # Guards against a part that is refused for ever, though it harms no longer.
    def test_part_that_is_fatal_no_longer_is_served_after_a_trial(self):
        self.quarantine()
        self.storm.make_harmless()
        self.storm.run(65)
        for _ in range(4):
            self.storm.send(("5c1e", FATAL_PART), router=1)
            self.storm.run(4)
        self.assertTrue(self.storm.sent[-1].is_whole)
        self.assertFalse(any(r._quarantine.active_count for r in self.storm.routers))

    # Guards against trials by which one router after the other ends an engine.
    def test_trial_of_a_part_that_is_still_fatal_reaches_one_engine(self):
        self.quarantine()
        before = len(self.storm.fatal_arrivals())
        self.storm.run(65)
        for number in range(3 * self.routers):
            self.storm.send(("5c1e", FATAL_PART), router=number % self.routers)
            self.storm.run(0.3)
        self.assertEqual(len(self.storm.fatal_arrivals()) - before, 1)

    # Guards against a part that has always been written and then begins to be fatal.
    def test_part_that_becomes_fatal_is_refused(self):
        for engine in self.storm.engines:
            engine.fatal_parts = frozenset()
        for _ in range(6):
            self.storm.send(("5c1e", FATAL_PART))
            self.storm.run(0.5)
        for engine in self.storm.engines:
            engine.fatal_parts = frozenset([FATAL_PART])
        self.storm.send_mixed(10)
        self.assertTrue(self.is_refused())
        self.assert_no_further_arrival()


class TestOtherCauses(unittest.TestCase):
    # Guards against taking a storm of engine losses for the fault of the prompts.
    def test_storm_without_a_cause_is_served_whole(self):
        storm = PromptStorm(9, 20, seed=1)
        storm.lose_at_random(24, per_s=2.7)
        storm.send_mixed(24, fatal_share=0.0)
        storm.run(10)
        self.assertTrue(all(each.is_whole for each in storm.sent))

    # Guards against taking the loss of a data centre, again and again, for the same.
    def test_data_centre_that_is_lost_several_times_makes_nothing_suspect(self):
        storm = PromptStorm(4, 12)
        for _ in range(4):
            storm.send_mixed(3, fatal_share=0.0)
            for engine in list(storm.engines)[::2]:
                storm.lose_engine(engine)
        storm.run(8)
        entries = [e for r in storm.routers for e in r._quarantine.entries]
        self.assertEqual(entries, [])
        self.assertTrue(all(each.is_whole for each in storm.sent))
