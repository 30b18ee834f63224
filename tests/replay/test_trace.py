import tempfile
import unittest
from pathlib import Path

from sesamearch.replay.trace import load_trace

HEADER = (
    '{"kind":"trace","format_version":1,"name":"t","duration_s":5,'
    '"services":[{"kind":"engine","service":"d","model":"m",'
    '"versions":[{"name":"v1","share_ratio":1}]}],'
    '"routers":[{"name":"r1","data_centre":"a"}],'
    '"endpoints":[{"name":"e1","data_centre":"a","service":"d"}]}'
)


class LoadTraceTest(unittest.TestCase):
    def load(self, *lines):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.jsonl"
            path.write_text("\n".join(lines))
            return load_trace(path)

    def load_error(self, *lines):
        return self.load(*lines).unwrap_err()

    def test_events_are_sorted_by_time(self):
        late = '{"kind":"fault","at_s":3,"what":"kill","target":"e1"}'
        early = '{"kind":"generate","at_s":1,"id":"g","model":"m","tokens":2}'
        trace = self.load(HEADER, late, early).unwrap()
        self.assertEqual([event.at_s for event in trace.events], [1, 3])

    def test_errors_name_line_and_reason(self):
        self.assertIn("line 1: no header", self.load_error(""))
        self.assertIn("line 2", self.load_error(HEADER, "{not json"))
        unknown_key = '{"kind":"fault","at_s":1,"what":"kill","when":2}'
        self.assertIn("line 2", self.load_error(HEADER, unknown_key))
        self.assertIn("when", self.load_error(HEADER, unknown_key))
        unknown_target = '{"kind":"fault","at_s":1,"what":"kill","target":"e9"}'
        self.assertIn(
            "line 3: no router or endpoint e9",
            self.load_error(HEADER, "", unknown_target),
        )
        duplicate = '{"kind":"generate","at_s":1,"id":"g","model":"m","tokens":2}'
        self.assertIn("line 3: id g", self.load_error(HEADER, duplicate, duplicate))

    def test_missing_file_is_an_error(self):
        self.assertTrue(load_trace("/nonexistent").is_err())
