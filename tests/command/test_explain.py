"""Tests of ``explain`` on log lines that simulated routers wrote."""

import io
import subprocess
import sys
import unittest
from pathlib import Path

import msgspec

from sesamearch.base.log import RecordHandler, logger
from sesamearch.base.record import RECORDS
from sesamearch.command.explain import explain_request, read_entries
from tests.platform.limit_storm import LimitStorm
from tests.platform.prompt_storm import FATAL_PART, PromptStorm
from tests.platform.world import World, draft_bytes, request_bytes

ROOT = Path(__file__).parents[2]


class LogFile:
    """Collects log lines as a file, each with another program's prefix."""

    def __init__(self):
        self.data = b"a line without a record\n"

    def put(self, line, is_routine=False):
        self.data += b"  12.5000 router-0 " + line + b"\n"


class TestExplain(unittest.TestCase):
    def setUp(self):
        self.world = World(engines=3)
        self.log = LogFile()
        self.handler = RecordHandler(self.log, "router-0", self.world.network.seconds)

    def explain(self, request_id):
        file = io.BytesIO(self.log.data)
        return explain_request(request_id, read_entries([file]))

    def test_refused_call(self):
        for desk in self.world.desks:
            desk.slots = 0
        with self.handler.applicationbound():
            self.world.send_request(request_bytes("/post/1", "busy", method="POST"))
        explanation = self.explain("busy")
        self.assertIn("refused with 429 (overloaded", explanation.cause)
        self.assertIn("not_run at desk-", explanation.cause)

    def test_lost_operation(self):
        for desk in self.world.desks:
            desk.fault = "reset"
        with self.handler.applicationbound():
            self.world.send_request(request_bytes("/post/1", "lost", method="POST"))
        self.assertIn("closed_unanswered at desk-", self.explain("lost").cause)

    def states(self, request_id):
        records = [line.record for line in self.explain(request_id).lines]
        tag = "try_suspected"
        found = [r for r in records if r.__struct_config__.tag == tag]
        return [(r.state, r.obstacle) for r in found]

    # Guards against logs that show a silent engine that was kept as a lost one.
    def test_silent_try_that_was_kept_and_answered_again(self):
        world = World(engines=1)
        with self.handler.applicationbound():
            world.connect().send(draft_bytes("kept"))
            world.run(0.4)
            world.make_silent(world.engines[0], 1.2)
            world.run(3)
        expected = [("kept", "no_engine"), ("answered", "")]
        self.assertEqual(self.states("kept"), expected)
        self.assertEqual(self.explain("kept").cause, "answered by engine-0, 200")

    # Guards against a replaced try that cannot be told from one that was kept.
    def test_silent_try_that_was_replaced(self):
        with self.handler.applicationbound():
            self.world.connect().send(draft_bytes("replaced"))
            self.world.run(0.4)
            engine = next(each for each in self.world.engines if each.runs)
            self.world.make_silent(engine, 1.2)
            self.world.run(3)
        self.assertEqual(self.states("replaced"), [("replaced", "")])
        self.assertIn(f"stalled at {engine.name}", self.explain("replaced").cause)

    # Guards against an explanation that hides that the engine was silent to the end.
    def test_silent_try_that_was_kept_to_the_end(self):
        world = World(engines=1)
        with self.handler.applicationbound():
            client = world.connect().send(draft_bytes("left"))
            world.run(0.4)
            world.make_silent(world.engines[0], 1.2)
            world.run(0.8)
            client.transport.abortConnection()
            world.run(0.1)
        cause = self.explain("left").cause
        self.assertIn("engine-0 stalled and kept (no_engine)", cause)

    def test_cause_names_unresponsive_endpoint(self):
        for desk in self.world.desks:
            desk.fault = "mute"
        with self.handler.applicationbound():
            self.world.send_request(request_bytes("/post/1", "mute", method="POST"))
        self.assertRegex(self.explain("mute").cause, "504.*no answer from desk-")

    def test_resumed_generation(self):
        with self.handler.applicationbound():
            client = self.world.connect().send(draft_bytes("broken"))
            self.world.run(0.4)
            engine = next(each for each in self.world.engines if each.runs)
            self.world.crash(engine)
            self.world.run(2)
        self.assertTrue(client.is_complete)
        explanation = self.explain("broken")
        self.assertIn(f"closed_midway at {engine.name}", explanation.cause)
        self.assertIn("answered by engine-", explanation.cause)
        events = [line.record.__struct_config__.tag for line in explanation.lines]
        self.assertEqual(events[0], "try_sent")
        self.assertIn("generation_resumed", events)

    # Guards against a refusal whose evidence is in the lines of another router.
    def test_refused_prompt_is_shown_with_the_decision(self):
        with self.handler.applicationbound():
            storm = PromptStorm(routers=2, engines=8)
            storm.send_mixed(2, fatal_share=0.0)
            while not storm.refuses_everywhere():
                storm.send_mixed(1)
            storm.send(("5c1e", FATAL_PART))
            storm.run(0.1)
            name = f"q{len(storm.sent) - 1}"
        explanation = self.explain(name)
        self.assertIn("refused with 503 (request-quarantined", explanation.cause)
        self.assertIn(FATAL_PART, explanation.cause)
        events = [each.record.__struct_config__.tag for each in explanation.context]
        self.assertIn("prompt_quarantine", events)

    # Guards against refusals whose cause was logged long before the request.
    def test_limit_that_refused_a_request_is_shown_however_old(self):
        storm = LimitStorm(routers=1, desks=1)
        handler = RecordHandler(self.log, "router-0", storm.network.seconds)
        with handler.applicationbound():
            storm.name_limit(storm.desks[0], 0.0, 0.3)
            storm.send(path="/look/1")
            storm.run(30.0)
            clients = [storm.send(path="/look/1") for _ in range(3)]
            storm.run(1.0)
        self.assertEqual([each.status for each in clients], [200, 429, 429])
        explanation = self.explain("q3")
        self.assertIn("refused with 429 (overloaded", explanation.cause)
        self.assertIn("take no more requests", explanation.cause)
        (limit,) = explanation.context
        self.assertEqual(limit.record.limit_per_s, 0.3)
        self.assertEqual(explanation.lines[-1].record.limited, ["desk-0"])

    def test_context_contains_only_endpoints_of_the_request(self):
        with self.handler.applicationbound():
            self.world.update_entry(self.world.desks[0], "desk", 0, state="draining")
            self.world.send_request(request_bytes("/look/1", "one"))
        context = self.explain("one").context
        names = {getattr(line.record, "endpoint", "") for line in context}
        self.assertLessEqual(names, {"desk-1", ""})

    def leave(self, data, after_s=0.3):
        """Send a request whose caller leaves early; return its router's counters."""
        with self.handler.applicationbound():
            client = self.world.connect().send(data)
            self.world.run(after_s)
            client.transport.abortConnection()
            self.world.run(0.1)
        return self.world.routers[0].counters

    def test_caller_that_heard_nothing_is_told_from_one_that_was_answered(self):
        # Guards against a record that leaves open whether the caller heard anything.
        for desk in self.world.desks:
            desk.fault = "mute"
        data = request_bytes("/post/1", "unheard", method="POST")
        counters = self.leave(data)
        self.assertRegex(
            self.explain("unheard").cause,
            r"heard nothing and left, 1[12]\d\d ms before its deadline, no answer from "
            r"desk-\d \(sent\)",
        )
        self.assertEqual(counters.callers_unheard, 1)

    def test_try_that_is_connecting_is_told_from_one_that_was_sent(self):
        # Guards against a record that leaves open whether the request may have run.
        for desk in self.world.desks:
            self.world.network.blackholed.add(desk.address)
        self.leave(request_bytes("/post/1", "dark", method="POST"), after_s=0.2)
        self.assertRegex(self.explain("dark").cause, r"desk-\d \(connecting\)")

    def test_caller_that_left_a_generation_has_heard_of_it(self):
        counters = self.leave(draft_bytes("left"))
        cause = self.explain("left").cause
        self.assertRegex(cause, r"left during the answer 200, \d+ ms before")
        self.assertRegex(cause, r"engine-\d was answering")
        self.assertEqual((counters.callers_left, counters.callers_unheard), (1, 0))

    def test_time_left_at_a_refusal_is_logged(self):
        for desk in self.world.desks:
            desk.fault = "mute"
        data = request_bytes("/post/1", "late", method="POST", X_Deadline_Ms="500")
        with self.handler.applicationbound():
            self.world.send_request(data)
        refused = self.explain("late").lines[-1].record
        self.assertTrue(40 <= refused.left_ms <= 50, refused)
        self.assertEqual(refused.try_state, "sent")

    def test_request_that_was_not_read_before_its_connection_closed(self):
        # Guards against a caller's failure with no record of its request at any router.
        for desk in self.world.desks:
            desk.fault = "mute"
        first = request_bytes("/post/1", "first", method="POST")
        counters = self.leave(first + request_bytes("/post/1", "second", method="POST"))
        self.assertIn("was not read", self.explain("second").cause)
        self.assertEqual(counters.unread, 1)

    def test_unknown_request(self):
        self.assertIsNone(self.explain("nobody"))

    def test_log_contains_no_api_key_and_no_body(self):
        with self.handler.applicationbound():
            data = request_bytes("/post/1", "x", method="POST", body=b"secret-body")
            self.world.send_request(data)
        self.assertNotIn(b"secret-body", self.log.data)
        self.assertNotIn(b"key-of-bench", self.log.data)

    def test_unmatched_address_is_told_from_a_stale_configuration(self):
        self.world.run(3)
        data = request_bytes("/nowhere/else/", "lost", X_Deadline_Ms="1500")
        with self.handler.applicationbound():
            self.world.send_request(data)
        self.assertRegex(
            self.explain("lost").cause,
            r"404.*desk.example/nowhere/else/ matched none of 3 routes of revision 7, "
            r"in force for 4\d\d\d ms",
        )

    def test_long_addresses_are_cut_off_in_the_log(self):
        with self.handler.applicationbound():
            self.world.send_request(request_bytes("/" + "x" * 2000, "long"))
        self.assertLess(len(self.log.data), 1000)

    def test_missing_file_is_reported(self):
        done = subprocess.run(
            [sys.executable, "-m", "sesamearch", "explain", "one", "/nonexistent.log"],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(done.returncode, 2)
        self.assertIn("cannot read /nonexistent.log", done.stderr)
        self.assertNotIn("Traceback", done.stderr)

    def test_command(self):
        with self.handler.applicationbound():
            self.world.send_request(request_bytes("/look/1", "one"))
        done = subprocess.run(
            [sys.executable, "-m", "sesamearch", "explain", "one", "--format", "json"],
            input=self.log.data,
            capture_output=True,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("answered", msgspec.json.decode(done.stdout)["cause"])
        self.assertIsInstance(logger.name, str)


class TestRecordTable(unittest.TestCase):
    def test_operations_page_lists_each_event_and_its_fields(self):
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        rows = {}
        for line in page.splitlines():
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            if len(cells) == 3 and cells[0].startswith("`"):
                rows[cells[0].strip("`")] = cells[1]
        for kind in RECORDS:
            event = kind.__struct_config__.tag
            self.assertIn(event, rows)
            fields = [name.strip(" `") for name in rows[event].split(",")]
            self.assertEqual(fields, list(kind.__struct_fields__), event)
