import json
import os
import unittest

import logbook

from sesamearch.base.log import LineQueue, RecordHandler, logger
from sesamearch.base.record import TryLost


class TestLineQueue(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.queue = LineQueue(self.writer, limit_bytes=200_000)

    def tearDown(self):
        os.close(self.writer)

    def test_lines_arrive_in_order(self):
        self.queue.put(b"one")
        self.queue.put(b"two")
        self.queue.flush()
        self.assertEqual(os.read(self.reader, 100), b"one\ntwo\n")

    def test_blocked_reader_does_not_block_and_drops_are_reported(self):
        line = b"x" * 999
        for _ in range(1000):
            self.queue.put(line)
            self.queue.flush()
        self.assertGreater(self.queue.dropped, 500)
        received = b""
        for _ in range(20):
            received += os.read(self.reader, 1 << 20)
            self.queue.flush()
            if b"lines_dropped" in received:
                break
        lines = received.split(b"\n")[:-1]
        self.assertTrue(all(each == line for each in lines if b"event" not in each))
        self.assertEqual(json.loads(lines[-1])["count"], self.queue.dropped)

    def test_failures_are_kept_when_routine_lines_are_dropped(self):
        line = b"x" * 999
        for _ in range(150):
            self.queue.put(line, is_routine=True)
        self.assertEqual(self.queue.dropped, 50)
        for _ in range(50):
            self.queue.put(line)
        self.assertEqual(self.queue.dropped, 50)

    def test_lines_between_two_flushes_are_limited(self):
        queue = LineQueue(self.writer, limit_lines=10)
        for _ in range(8):
            queue.put(b"routine", is_routine=True)
        for _ in range(8):
            queue.put(b"failed")
        self.assertEqual(queue.dropped, 6)
        queue.flush()
        queue.put(b"routine", is_routine=True)
        queue.flush()
        received = os.read(self.reader, 1 << 16)
        self.assertEqual(received.count(b"failed"), 5)
        self.assertEqual(received.count(b"routine"), 5 + 1)


class TestRecordHandler(unittest.TestCase):
    def test_record_is_one_json_object_with_its_event(self):
        lines = []
        queue = type(
            "Queue", (), {"put": lambda self, line, is_routine: lines.append(line)}
        )()
        with RecordHandler(queue, "router-1", lambda: 12.5).applicationbound():
            logger.info(TryLost("r1", "e1", 1, "stalled", 0, 350))
            logger.warning("store lost cause={}", "silence")
        first, second = (json.loads(line) for line in lines)
        self.assertEqual(first["record"]["event"], "try_lost")
        self.assertEqual((first["node"], first["at"]), ("router-1", 12.5))
        self.assertEqual(second["record"]["text"], "store lost cause=silence")
        self.assertEqual(second["level"], "WARNING")
        self.assertIsInstance(logger, logbook.Logger)
