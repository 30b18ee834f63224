"""The where command: its URL, its table and unreachable routers."""

import argparse
import subprocess
import sys
import unittest
from urllib.parse import parse_qs, urlsplit

from sesamearch.command.where import to_text, where_url
from sesamearch.forwarding.where import EndpointView, WhereAnswer

ANSWER = WhereAnswer(
    "edge-1",
    7,
    route="draft",
    service="models",
    chosen="e1",
    endpoints=[
        EndpointView("e1", "east", "v1", 8000.0, [], 2, 0, 9000, 200, 0.5, 1.2),
        EndpointView("e2", "west", "v1", None, ["leaves"], 0, 0, 0, 0),
    ],
)


class TestWhere(unittest.TestCase):
    def test_options_are_sent_as_they_are(self):
        options = argparse.Namespace(
            host="h", path="/a b/&", organisation="x", prompt="a1:2", output_tokens=3
        )
        fields = parse_qs(urlsplit(where_url("10.0.0.1:7200", options)).query)
        self.assertEqual(fields["path"], ["/a b/&"])
        self.assertEqual(fields["prompt"], ["a1:2"])

    def test_table_names_the_choice_and_the_reasons(self):
        lines = to_text(ANSWER).splitlines()
        self.assertIn("route draft, service models", lines[0])
        self.assertTrue(lines[1].endswith("states 0.5 a slot at pace 1.2: chosen"))
        self.assertTrue(lines[2].endswith("leaves"))

    def test_router_that_cannot_be_reached_is_named(self):
        # The reactor of this process cannot run twice.
        command = [sys.executable, "-m", "sesamearch", "where", "127.0.0.1:1"]
        result = subprocess.run(
            [*command, "--host", "h", "--path", "/"], capture_output=True, text=True
        )
        self.assertNotEqual(result.returncode, 0)
        self.assertIn("127.0.0.1:1", result.stderr)


if __name__ == "__main__":
    unittest.main()
