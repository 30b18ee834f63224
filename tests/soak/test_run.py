"""Short seeded runs; promises with a bound of time are judged by ``make soak``."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec
from soak.promise import TIMED
from soak.report import Report

ROOT = Path(__file__).parents[2]
MIXED_SEED = 1
PLANNED_SEED = 3
PATIENCE_S = 180.0


def play(seed):
    with tempfile.TemporaryDirectory() as folder:
        done = subprocess.run(
            [sys.executable, "-m", "soak.run", "--seed", str(seed)]
            + ["--seconds", "4", "--routers", "3", "--services", "2", "--engines", "3"]
            + ["--folder", folder],
            cwd=ROOT,
            capture_output=True,
            timeout=PATIENCE_S,
            check=False,
        )
    return msgspec.json.decode(done.stdout, type=Report), done.stderr


class TestRun(unittest.TestCase):
    def check(self, seed):
        report, complaints = play(seed)
        broken = [each for each in report.violations if each.promise not in TIMED]
        self.assertEqual(broken, [])
        self.assertEqual(complaints, b"")
        self.assertGreater(report.checks["at most once"], 0)
        self.assertGreater(report.checks["order"], 0)
        self.assertGreater(report.served, 0)

    def test_mixed_faults_break_no_promise(self):
        self.check(MIXED_SEED)

    def test_planned_work_breaks_no_promise(self):
        self.check(PLANNED_SEED)
