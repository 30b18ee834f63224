"""Tests of a router's imports and of connections during its startup."""

import socket
import subprocess
import sys
import unittest
from pathlib import Path

from sesamearch.base.early import listen_early

ROOT = Path(__file__).parents[2]
# Libraries that the platform does not install with a router.
ABSENT = ("OpenSSL", "cryptography", "treq", "klein", "werkzeug", "jsonschema")
IMPORT_SCRIPT = """
import sys
for name in {absent!r}:
    sys.modules[name] = None
import sesamearch.daemon.platform_router
"""


class TestStart(unittest.TestCase):
    def test_router_imports_only_libraries_of_its_lock_file(self):
        code = IMPORT_SCRIPT.format(absent=ABSENT)
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=False
        )
        self.assertEqual(done.returncode, 0, done.stderr)

    def test_deploy_lock_file_is_a_subset(self):
        complete = set((ROOT / "requirements.lock").read_text().split())
        deployed = set((ROOT / "deploy" / "requirements.lock").read_text().split())
        self.assertLessEqual(deployed, complete)

    def test_caller_can_connect_before_the_router_runs(self):
        listener = listen_early("127.0.0.1:0")
        self.addCleanup(listener.close)
        client = socket.create_connection(listener.getsockname(), timeout=1)
        self.addCleanup(client.close)
        client.sendall(b"GET / HTTP/1.1\r\n\r\n")
