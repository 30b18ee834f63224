"""Run short soaks.

Promises with a time bound are left to ``make soak``, because they can break on a busy
machine.
"""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec
from soak.promise import TIMED_PROMISES
from soak.report import Report

ROOT = Path(__file__).parents[2]
MIXED_SEED = 1
PLANNED_SEED = 3
RUN_TIMEOUT_S = 180.0


def run_seed(seed):
    with tempfile.TemporaryDirectory() as folder:
        completed = subprocess.run(
            [sys.executable, "-m", "soak.run", "--seed", str(seed)]
            + ["--seconds", "4", "--routers", "3", "--services", "2", "--engines", "3"]
            + ["--folder", folder],
            cwd=ROOT,
            capture_output=True,
            timeout=RUN_TIMEOUT_S,
            check=False,
        )
    return msgspec.json.decode(completed.stdout, type=Report), completed.stderr


class TestRun(unittest.TestCase):
    def check_run(self, seed):
        report, stderr = run_seed(seed)
        broken = [
            each for each in report.violations if each.promise not in TIMED_PROMISES
        ]
        self.assertEqual(broken, [])
        self.assertEqual(stderr, b"")
        self.assertGreater(report.checks["at most once"], 0)
        self.assertGreater(report.checks["order"], 0)
        self.assertGreater(report.served, 0)

    def test_mixed_faults_break_no_promise(self):
        self.check_run(MIXED_SEED)

    def test_planned_work_breaks_no_promise(self):
        self.check_run(PLANNED_SEED)
