"""Moves: the plan, the sequential test, the leader's fence and the controller."""

import random
import unittest

from automat import NoTransition
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sesamearch.base.errors import ErrorKind
from sesamearch.configuration.blackboard import Blackboard
from sesamearch.replay.process import Process
from sesamearch.replay.store import FakeStore, StoreFaults
from sesamearch.rollout.detector import Detector
from sesamearch.rollout.leadership import LEADER_KEY, TTL_S, Leadership
from sesamearch.rollout.move import (
    WATCH_S,
    MovePlan,
    MoveRecord,
    MoveState,
    choose_by_move,
)
from sesamearch.rollout.mover import (
    MAX_CELLS,
    WINDOW_S,
    MoveFollower,
    Mover,
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
    def run_plan(self, requests_by_step, call_at=None, **changes):
        plan, shares = MovePlan(make_record(**changes)), []
        for now_s in range(0, int(SPAN_S) + 1, 10):
            call = None
            if call_at is not None and now_s >= call_at:
                call = _Call()
            decision = plan.decide(now_s, requests_by_step(now_s), call)
            if decision is not None:
                plan = MovePlan(plan.apply(decision))
                shares.append(plan.record.share_ratio)
        return plan.record, shares

    def test_good_version_finishes_before_its_deadline(self):
        record, shares = self.run_plan(lambda now_s: 1000)
        self.assertIs(record.state, MoveState.FINISHED)
        self.assertEqual(shares, sorted(shares))
        self.assertEqual(shares[0], 0.05)

    def test_called_version_is_taken_back_at_once(self):
        record, _ = self.run_plan(lambda now_s: 1000, call_at=550)
        self.assertIs(record.state, MoveState.TAKEN_BACK)
        self.assertEqual((record.share_ratio, record.reason), (0.0, "bad"))

    def test_thin_evidence_ends_as_the_operator_chose(self):
        for if_thin, state in (
            ("take_back", MoveState.TAKEN_BACK),
            ("finish", MoveState.FINISHED),
        ):
            record, shares = self.run_plan(lambda now_s: 3, if_thin=if_thin)
            self.assertIs(record.state, state)
            self.assertIn("only 3 requests", record.reason)
            self.assertEqual(shares[:-1], [0.05])

    def test_finished_version_is_watched_and_can_go_back(self):
        plan = MovePlan(make_record(MoveState.FINISHED, 1.0))
        decision = plan.decide(SPAN_S + 10, 1000, _Call())
        self.assertIs(plan.apply(decision).state, MoveState.TAKEN_BACK)
        self.assertIsNone(plan.decide(SPAN_S + 10_000, 1000, _Call()))

    def test_taken_back_version_never_returns(self):
        plan = MovePlan(make_record(MoveState.TAKEN_BACK))
        self.assertIsNone(plan.decide(10, 1000, None))
        with self.assertRaises(NoTransition):
            plan.apply(MovePlan(make_record()).decide(10, 0, None))

    def test_request_keeps_the_new_version_while_the_share_rises(self):
        shares = (0.05, 0.1, 0.25, 0.5, 1.0)
        for number in range(100):
            chosen = [
                choose_by_move(make_record(share_ratio=s), number / 100, False)
                for s in shares
            ]
            self.assertEqual(chosen, sorted(chosen))
        self.assertEqual(choose_by_move(make_record(share_ratio=1.0), 0.0, True), "v1")


class _Call:
    @staticmethod
    def show():
        return "bad"


class DetectorTest(unittest.TestCase):
    def windows_until_call(self, new_rate, old_rate, share_ratio, begin=0, seed=1):
        rng, detector = random.Random(seed), Detector(900, 4)
        for window in range(900):
            counts = [0, 0, 0, 0]
            for _ in range(20):
                is_new = rng.random() < share_ratio
                rate = new_rate if is_new and window >= begin else old_rate
                counts[0 if is_new else 2] += 1
                counts[1 if is_new else 3] += rng.random() < rate
            if detector.add(errors(*counts)) is not None:
                return window - begin
        return None

    def test_good_versions_are_not_called(self):
        for seed in range(40):
            self.assertIsNone(self.windows_until_call(0.05, 0.05, 0.3, seed=seed))

    def test_bad_version_is_called(self):
        for seed in range(10):
            self.assertIsNotNone(self.windows_until_call(0.3, 0.01, 0.05, seed=seed))

    def test_late_fault_is_called_as_soon_as_an_early_one(self):
        for seed in range(10):
            windows = self.windows_until_call(0.3, 0.01, 0.5, begin=600, seed=seed)
            self.assertLess(windows, 30)

    def test_fault_without_the_old_version_beside_it_is_called(self):
        detector = Detector(900, 4)
        for _ in range(50):
            detector.add(errors(10, 0, 10, 0))
        calls = [detector.add(errors(20, 5, 0, 0)) for _ in range(20)]
        self.assertTrue(any(calls))
        self.assertIn("error on draft", next(filter(None, calls)).show())

    def test_overflow_is_no_bug(self):
        detector = Detector(900, 4)
        for _ in range(50):
            detector.add(errors(1000, 1000, 1000, 0))


class EvidenceTest(unittest.TestCase):
    def test_slow_is_judged_by_the_old_versions_earlier_windows(self):
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


class MoverWorld:
    """Routers with movers over one store."""

    def __init__(self, names):
        self.clock = Clock()
        self.faults = StoreFaults(self.clock)
        self.bus = PeerBus(self.clock)
        self.movers, self.boards, self.leaderships, self.processes = {}, {}, {}, {}
        for name in names:
            self._add(name)
        self.settle_down(1)

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
        self.movers[name] = Mover(
            name,
            board,
            store,
            self.leaderships[name],
            follower,
            port,
            process,
            lambda: True,
        )
        self.movers[name].start()

    def settle_down(self, seconds):
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
        self.settle_down(0.1)

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
            self.movers[name].note(outcome)


class LeadershipTest(unittest.TestCase):
    def test_one_of_two_leads_and_the_other_takes_over(self):
        world = MoverWorld(["r1", "r2"])
        world.settle_down(5)
        first = world.leader
        self.assertEqual(sum(o.is_leading for o in world.leaderships.values()), 1)
        world.processes[first].kill(silent=True)
        world.settle_down(TTL_S + 7)
        leading = [
            name
            for name, one in world.leaderships.items()
            if one.is_leading and world.processes[name].is_alive
        ]
        self.assertEqual(len(leading), 1)
        self.assertNotEqual(leading, [first])

    def test_paused_leader_is_fenced_by_the_store(self):
        world = MoverWorld(["r1", "r2"])
        world.settle_down(5)
        first = world.leader
        epoch = world.leaderships[first].epoch
        world.processes[first].pause()
        world.settle_down(TTL_S + 7)
        item = world.faults.state.items[LEADER_KEY]
        self.assertNotEqual(item.mod_revision, epoch)
        world.processes[first].resume()
        world.settle_down(1)
        self.assertEqual(sum(o.is_leading for o in world.leaderships.values()), 1)

    def test_lost_answer_of_the_winning_write_is_read_back(self):
        world = MoverWorld(["r1"])
        world.faults.lost_answers = 1
        world.settle_down(5)
        self.assertEqual(world.leader, "r1")

    def test_leader_without_the_store_stops_leading(self):
        world = MoverWorld(["r1"])
        world.settle_down(5)
        world.faults.set_out(True)
        world.settle_down(TTL_S)
        self.assertIsNone(world.leader)


class MoverTest(unittest.TestCase):
    def setUp(self):
        self.world = MoverWorld(["r1", "r2"])
        self.world.settle_down(5)
        self.leader = self.world.leader
        self.other = "r2" if self.leader == "r1" else "r1"
        self.world.write_record()
        self.world.settle_down(5)

    def test_leader_gives_the_canary_its_share(self):
        self.assertIs(self.world.record.state, MoveState.CANARY)
        records = [
            board.moves.value["drafting"] for board in self.world.boards.values()
        ]
        self.assertEqual({record.share_ratio for record in records}, {0.05})

    def test_pooled_evidence_of_routers_takes_a_bad_version_back(self):
        for _ in range(20):
            for name in self.world.movers:
                self.world.note(name, "v1", False, 10)
                self.world.note(name, "v2", True, 1)
            self.world.settle_down(2)
            if self.world.record.state is MoveState.TAKEN_BACK:
                break
        self.assertIs(self.world.record.state, MoveState.TAKEN_BACK)
        self.assertIn("error on draft", self.world.record.reason)

    def test_router_vetoes_at_once_without_the_store_and_tells_its_peers(self):
        self.world.faults.set_out(True)
        for _ in range(10):
            self.world.note(self.other, "v1", False, 10)
            self.world.note(self.other, "v2", True, 3)
            self.world.settle_down(2)
        for board in self.world.boards.values():
            self.assertEqual(board.rejected_moves.value, {"m1"})
        self.assertEqual(self.world.record.share_ratio, 0.05)

    def test_share_never_rises_without_the_store(self):
        for name in self.world.movers:
            self.world.note(name, "v1", False, 1000)
            self.world.note(name, "v2", False, 100)
        self.world.settle_down(4)
        self.world.faults.set_out(True)
        self.world.settle_down(SPAN_S * 0.6)
        shares = {
            b.moves.value["drafting"].share_ratio for b in self.world.boards.values()
        }
        self.assertEqual(shares, {0.05})
        self.world.faults.set_out(False)
        self.world.settle_down(20)
        self.assertGreater(self.world.record.share_ratio, 0.05)

    def test_false_alarms_are_shared_among_the_routers(self):
        # Each router once had the whole move's allowance for itself.
        board, count = Blackboard(), 1299
        board.members.write({f"r{n}": None for n in range(count)})
        mover = Mover("r", board, None, None, None, None, self.world.clock, None)
        board.moves.write({"drafting": self.world.record})
        limits = mover.limits("m1")
        self.assertAlmostEqual(limits.own / limits.pooled, count + 1)
        windows = (SPAN_S + WATCH_S) / WINDOW_S + 1
        unshared = Detector(int(windows), MAX_CELLS).limit
        self.assertAlmostEqual(limits.pooled / unshared, 2)

    def finish(self, coroutine):
        results = []
        Deferred.fromCoroutine(coroutine).addCallback(results.append)
        self.world.settle_down(1)
        return results[0]

    def test_second_move_is_refused_and_abort_ends_the_first(self):
        store = FakeStore(Process(self.world.clock, "cli"), self.world.faults, 0.004)
        refused = self.finish(start_move(store, make_record()))
        self.assertIs(refused.unwrap_err().kind, ErrorKind.CONFIGURATION_CONFLICT)
        self.world.faults.lost_answers = 1
        aborted = self.finish(abort_move(store, "drafting", "ben"))
        self.assertEqual(aborted.unwrap().reason, "aborted by ben")
        self.world.settle_down(5)
        self.assertIs(self.world.record.state, MoveState.TAKEN_BACK)
        self.assertTrue(self.finish(start_move(store, make_record())).is_ok())
