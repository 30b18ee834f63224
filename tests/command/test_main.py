import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from sesamearch.command.main import main

ROOT = Path(__file__).parents[2]


def run(*arguments):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = main([str(argument) for argument in arguments])
        except SystemExit as stop:
            code = stop.code
    return code, out.getvalue(), err.getvalue()


class CommandLineTest(unittest.TestCase):
    def test_check_reports_faults_and_exit_code(self):
        self.assertEqual(run("check", ROOT / "demo/services")[0], 0)
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "x.yaml").write_text("kind: plain\n")
            code, out, _ = run("check", folder, "--format", "json")
        self.assertEqual(code, 2)
        self.assertEqual({fault["key"] for fault in json.loads(out)}, {"$"})

    def test_replay_prints_one_object_and_exit_code_reports_violations(self):
        trace = ROOT / "traces/booking-answers-lost.jsonl"
        code, out, _ = run("replay", trace, "--format", "json")
        report = json.loads(out.splitlines()[-1])
        self.assertEqual(code, 0)
        self.assertEqual(len(report["violations"]), 9)
        code, out, _ = run("replay", trace, "--policy", "naive")
        self.assertNotEqual(code, 0)

    def test_invalid_trace_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.jsonl"
            path.write_text("{}")
            code, _, err = run("replay", path)
        self.assertEqual(code, 2)
        self.assertIn("line 1", err)

    def test_keys(self):
        code, out, _ = run("keys", "new", "api")
        self.assertEqual(code, 0)
        self.assertRegex(out, r"key_sha256: [0-9a-f]{64}")
        self.assertEqual(run("keys", "new", "peer")[0], 2)

    def test_every_command_has_help_with_an_example(self):
        for (
            name
        ) in "router standin check publish history move status ask keys replay".split():
            code, out, _ = run(name, "--help")
            self.assertEqual(code, 0)
            self.assertIn("example:\n  sesamearch " + name, out)

    def test_version(self):
        self.assertEqual(run("--version")[0], 0)
