"""Moves: plan, sequential test, fencing of the leader, and controller."""

import random
import unittest

from automat import NoTransition
from result import Err
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from sesamearch.base.errors import ErrorKind
from sesamearch.configuration.blackboard import Blackboard
from sesamearch.replay.process import Process
from sesamearch.replay.store import FakeStore, StoreFaults
from sesamearch.rollout.detector import Detector
from sesamearch.rollout.leadership import LEADER_KEY, LEASE_TTL_S, Leadership
from sesamearch.rollout.move import (
    POST_FINISH_WATCH_S,
    MovePlan,
    MoveRecord,
    MoveState,
    choose_version_by_move,
)
from sesamearch.rollout.move_controller import (
    MAX_CELLS,
    WINDOW_S,
    MoveController,
    MoveFollower,
    abort_move,
    record_key,
    start_move,
)
from sesamearch.routing.evidence import BadEvent, CellCounts, EvidenceCollector, Outcome
from sesamearch.store.store import Put
from tests.membership.test_claim_relay import PeerBus

SPAN_S = 1000.0


def make_record(state=MoveState.PROPOSED, share_ratio=0.0, **changes):
    fields = {"if_thin": "take_back", **changes}
    return MoveRecord(
        "m1", "drafting", "v1", "v2", "ana", state, share_ratio, 0.0, SPAN_S, **fields
    )


def errors(new, new_bad, old, old_bad):
    return [CellCounts("draft", 0, BadEvent.ERROR, new, new_bad, old, old_bad)]


class MovePlanTest(unittest.TestCase):
    def run_plan(self, requests_by_step, alarm_at=None, **changes):
        plan, shares = MovePlan(make_record(**changes)), []
        for now_s in range(0, int(SPAN_S) + 1, 10):
            alarm = None
            if alarm_at is not None and now_s >= alarm_at:
                alarm = _Alarm()
            decision = plan.decide(now_s, requests_by_step(now_s), alarm)
            if decision is not None:
                plan = MovePlan(plan.apply(decision))
                shares.append(plan.record.share_ratio)
        return plan.record, shares

    def test_good_version_finishes_before_its_deadline(self):
        record, shares = self.run_plan(lambda now_s: 1000)
        self.assertIs(record.state, MoveState.FINISHED)
        self.assertEqual(shares, sorted(shares))
        self.assertEqual(shares[0], 0.05)

    def test_bad_version_is_taken_back_at_once(self):
        record, _ = self.run_plan(lambda now_s: 1000, alarm_at=550)
        self.assertIs(record.state, MoveState.TAKEN_BACK)
        self.assertEqual((record.share_ratio, record.reason), (0.0, "bad"))

    def test_too_few_requests_end_the_move_as_configured(self):
        for if_thin, state in (
            ("take_back", MoveState.TAKEN_BACK),
            ("finish", MoveState.FINISHED),
        ):
            record, shares = self.run_plan(lambda now_s: 3, if_thin=if_thin)
            self.assertIs(record.state, state)
            self.assertIn("only 3 requests", record.reason)
            self.assertEqual(shares[:-1], [0.05])

    def test_finished_move_is_monitored_and_can_be_taken_back(self):
        plan = MovePlan(make_record(MoveState.FINISHED, 1.0))
        decision = plan.decide(SPAN_S + 10, 1000, _Alarm())
        self.assertIs(plan.apply(decision).state, MoveState.TAKEN_BACK)
        self.assertIsNone(plan.decide(SPAN_S + 10_000, 1000, _Alarm()))

    def test_move_that_was_taken_back_is_final(self):
        plan = MovePlan(make_record(MoveState.TAKEN_BACK))
        self.assertIsNone(plan.decide(10, 1000, None))
        with self.assertRaises(NoTransition):
            plan.apply(MovePlan(make_record()).decide(10, 0, None))

    def test_higher_share_moves_no_request_to_the_old_version(self):
        shares = (0.05, 0.1, 0.25, 0.5, 1.0)
        for number in range(100):
            chosen = [
                choose_version_by_move(make_record(share_ratio=s), number / 100, False)
                for s in shares
            ]
            self.assertEqual(chosen, sorted(chosen))
        self.assertEqual(
            choose_version_by_move(make_record(share_ratio=1.0), 0.0, True), "v1"
        )


class _Alarm:
    @staticmethod
    def to_text():
        return "bad"


class DetectorTest(unittest.TestCase):
    def windows_until_alarm(
        self, new_rate, old_rate, share_ratio, first_bad_window=0, seed=1
    ):
        rng, detector = random.Random(seed), Detector(900, 4)
        for window in range(900):
            counts = [0, 0, 0, 0]
            for _ in range(20):
                is_new = rng.random() < share_ratio
                rate = new_rate if is_new and window >= first_bad_window else old_rate
                counts[0 if is_new else 2] += 1
                counts[1 if is_new else 3] += rng.random() < rate
            if detector.add(errors(*counts)) is not None:
                return window - first_bad_window
        return None

    def test_good_version_raises_no_alarm(self):
        for seed in range(40):
            self.assertIsNone(self.windows_until_alarm(0.05, 0.05, 0.3, seed=seed))

    def test_bad_version_raises_an_alarm(self):
        for seed in range(10):
            self.assertIsNotNone(self.windows_until_alarm(0.3, 0.01, 0.05, seed=seed))

    def test_late_fault_is_detected_as_fast_as_an_early_one(self):
        for seed in range(10):
            windows = self.windows_until_alarm(
                0.3, 0.01, 0.5, first_bad_window=600, seed=seed
            )
            self.assertLess(windows, 30)

    def test_fault_is_detected_without_concurrent_old_requests(self):
        detector = Detector(900, 4)
        for _ in range(50):
            detector.add(errors(10, 0, 10, 0))
        alarms = [detector.add(errors(20, 5, 0, 0)) for _ in range(20)]
        self.assertTrue(any(alarms))
        self.assertIn("error on draft", next(filter(None, alarms)).to_text())

    def test_extreme_counts_do_not_overflow(self):
        detector = Detector(900, 4)
        for _ in range(50):
            detector.add(errors(1000, 1000, 1000, 0))


class EvidenceTest(unittest.TestCase):
    def test_slow_limit_comes_from_earlier_windows_of_the_old_version(self):
        collector = EvidenceCollector("v2", "v1")

        def note(version, first_s):
            collector.note(Outcome("s", version, "r", first_token_s=first_s))

        for number in range(100):
            note("v1", number / 100)
        collector.close_window()
        for first_s in (0.5, 0.99):
            note("v1", first_s)
            note("v2", first_s)
        note("v3", 0.99)
        cells = {cell.event: cell for cell in collector.close_window()}
        slow = cells[BadEvent.SLOW_FIRST_TOKEN]
        self.assertEqual((slow.new_requests, slow.new_bad), (2, 1))
        self.assertEqual((slow.old_requests, slow.old_bad), (2, 1))


class MoveWorld:
    """Routers with move controllers that share one store."""

    def __init__(self, names):
        self.clock = Clock()
        self.faults = StoreFaults(self.clock)
        self.bus = PeerBus(self.clock)
        self.move_controllers, self.boards, self.leaderships, self.processes = (
            {},
            {},
            {},
            {},
        )
        for name in names:
            self._add(name)
        self.run_for(1)

    def _add(self, name):
        process = self.processes[name] = Process(self.clock, name)
        store = FakeStore(process, self.faults, 0.004)
        board = self.boards[name] = Blackboard()
        follower = MoveFollower(store, board, process)
        follower.start()
        self.leaderships[name] = Leadership(store, name, process)
        port = self.bus.port(name)
        port.send_to_all = lambda message, own=name: [
            self.bus.send(own, other, message) for other in self.boards if other != own
        ]
        self.move_controllers[name] = MoveController(
            name,
            board,
            store,
            self.leaderships[name],
            follower,
            port,
            process,
            lambda: True,
        )
        self.move_controllers[name].start()

    def run_for(self, seconds):
        self.clock.pump([0.05] * int(seconds / 0.05))

    def write_record(self, **changes):
        now_s = self.clock.seconds()
        record = MoveRecord(
            "m1",
            "drafting",
            "v1",
            "v2",
            "ana",
            MoveState.PROPOSED,
            0.0,
            now_s,
            now_s + SPAN_S,
            **changes,
        )
        self.faults.state.txn([], [Put(record_key("drafting"), record.to_json())])
        self.run_for(0.1)

    @property
    def record(self):
        item = self.faults.state.items[record_key("drafting")]
        return MoveRecord.from_json(item.value)

    @property
    def leader(self):
        return next((n for n, one in self.leaderships.items() if one.is_leading), None)

    def note(self, name, version, is_error, count=1):
        for _ in range(count):
            outcome = Outcome("drafting", version, "draft", is_error=is_error)
            self.move_controllers[name].note(outcome)


class LeadershipTest(unittest.TestCase):
    def test_one_of_two_routers_leads_and_the_other_takes_over(self):
        world = MoveWorld(["r1", "r2"])
        world.run_for(5)
        first = world.leader
        self.assertEqual(sum(o.is_leading for o in world.leaderships.values()), 1)
        world.processes[first].kill(silent=True)
        world.run_for(LEASE_TTL_S + 7)
        leading = [
            name
            for name, one in world.leaderships.items()
            if one.is_leading and world.processes[name].is_alive
        ]
        self.assertEqual(len(leading), 1)
        self.assertNotEqual(leading, [first])

    def test_paused_leader_is_fenced_by_the_store(self):
        world = MoveWorld(["r1", "r2"])
        world.run_for(5)
        first = world.leader
        epoch = world.leaderships[first].epoch
        world.processes[first].pause()
        world.run_for(LEASE_TTL_S + 7)
        item = world.faults.state.items[LEADER_KEY]
        self.assertNotEqual(item.mod_revision, epoch)
        world.processes[first].resume()
        world.run_for(1)
        self.assertEqual(sum(o.is_leading for o in world.leaderships.values()), 1)

    def test_election_succeeds_if_the_answer_is_lost(self):
        world = MoveWorld(["r1"])
        world.faults.lost_answers = 1
        world.run_for(5)
        self.assertEqual(world.leader, "r1")

    def test_leader_steps_down_during_a_store_outage(self):
        world = MoveWorld(["r1"])
        world.run_for(5)
        world.faults.set_outage(True)
        world.run_for(LEASE_TTL_S)
        self.assertIsNone(world.leader)


class MoveControllerTest(unittest.TestCase):
    def setUp(self):
        self.world = MoveWorld(["r1", "r2"])
        self.world.run_for(5)
        self.leader = self.world.leader
        self.other = "r2" if self.leader == "r1" else "r1"
        self.world.write_record()
        self.world.run_for(5)

    def test_leader_starts_with_the_canary_share(self):
        self.assertIs(self.world.record.state, MoveState.CANARY)
        records = [
            board.moves.value["drafting"] for board in self.world.boards.values()
        ]
        self.assertEqual({record.share_ratio for record in records}, {0.05})

    def test_pooled_evidence_takes_back_a_bad_version(self):
        for _ in range(20):
            for name in self.world.move_controllers:
                self.world.note(name, "v1", False, 10)
                self.world.note(name, "v2", True, 1)
            self.world.run_for(2)
            if self.world.record.state is MoveState.TAKEN_BACK:
                break
        self.assertIs(self.world.record.state, MoveState.TAKEN_BACK)
        self.assertIn("error on draft", self.world.record.reason)

    def test_router_vetoes_and_notifies_peers_during_a_store_outage(self):
        self.world.faults.set_outage(True)
        for _ in range(10):
            self.world.note(self.other, "v1", False, 10)
            self.world.note(self.other, "v2", True, 3)
            self.world.run_for(2)
        for board in self.world.boards.values():
            self.assertEqual(board.rejected_moves.value, {"m1"})
        self.assertEqual(self.world.record.share_ratio, 0.05)

    def test_share_does_not_rise_during_a_store_outage(self):
        for name in self.world.move_controllers:
            self.world.note(name, "v1", False, 1000)
            self.world.note(name, "v2", False, 100)
        self.world.run_for(4)
        self.world.faults.set_outage(True)
        self.world.run_for(SPAN_S * 0.6)
        shares = {
            b.moves.value["drafting"].share_ratio for b in self.world.boards.values()
        }
        self.assertEqual(shares, {0.05})
        self.world.faults.set_outage(False)
        self.world.run_for(20)
        self.assertGreater(self.world.record.share_ratio, 0.05)

    def test_false_alarm_ratio_is_divided_among_the_routers(self):
        # Fails if every router uses the whole false alarm ratio of the move.
        board, count = Blackboard(), 1299
        board.members.write({f"r{n}": None for n in range(count)})
        move_controller = MoveController(
            "r", board, None, None, None, None, self.world.clock, None
        )
        board.moves.write({"drafting": self.world.record})
        veto_thresholds = move_controller.veto_thresholds("m1")
        self.assertAlmostEqual(
            veto_thresholds.local / veto_thresholds.pooled, count + 1
        )
        windows = (SPAN_S + POST_FINISH_WATCH_S) / WINDOW_S + 1
        unshared = Detector(int(windows), MAX_CELLS).threshold
        self.assertAlmostEqual(veto_thresholds.pooled / unshared, 2)

    def finish(self, coroutine):
        results = []
        Deferred.fromCoroutine(coroutine).addCallback(results.append)
        self.world.run_for(1)
        return results[0]

    def test_failed_write_of_a_first_move_is_reported(self):
        self.world.faults.state.txn([], [Put(record_key("drafting"), None)])
        store = FakeStore(Process(self.world.clock, "cli"), self.world.faults, 0.004)
        store.txn = lambda *arguments: succeed(Err(ErrorKind.STORE_UNAVAILABLE))
        failed = self.finish(start_move(store, make_record()))
        self.assertIs(failed.unwrap_err().kind, ErrorKind.STORE_UNAVAILABLE)

    def test_second_move_is_refused_until_the_first_is_aborted(self):
        store = FakeStore(Process(self.world.clock, "cli"), self.world.faults, 0.004)
        refused = self.finish(start_move(store, make_record()))
        self.assertIs(refused.unwrap_err().kind, ErrorKind.CONFIGURATION_CONFLICT)
        self.world.faults.lost_answers = 1
        aborted = self.finish(abort_move(store, "drafting", "ben"))
        self.assertEqual(aborted.unwrap().reason, "aborted by ben")
        self.world.run_for(5)
        self.assertIs(self.world.record.state, MoveState.TAKEN_BACK)
        self.assertTrue(self.finish(start_move(store, make_record())).is_ok())
