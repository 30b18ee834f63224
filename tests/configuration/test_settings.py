import tempfile
import unittest
from pathlib import Path

from sesamearch.configuration.keys import load_peer_keys, new_cursor_key, new_peer_keys
from sesamearch.configuration.settings import load_settings

GOOD = """\
name: r1
data_centre: kolkata-1
listen: 127.0.0.1:8101
operators_listen: 127.0.0.1:8201
store: {addresses: ["127.0.0.1:8401"]}
cursor_key_file: cursor.key
"""


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        new_cursor_key(self.folder / "cursor.key")

    def load(self, text):
        path = self.folder / "router.yaml"
        path.write_text(text)
        return load_settings(path)

    def faults(self, text):
        return [fault.to_text() for fault in self.load(text).unwrap_err()]

    def test_paths_are_relative_to_the_settings_file(self):
        settings = self.load(GOOD).unwrap()
        self.assertEqual(settings.cursor_key_file, str(self.folder / "cursor.key"))

    def test_each_fault_is_reported(self):
        bad = GOOD.replace("127.0.0.1:8101", "localhost").replace("name: r1", "nme: x")
        faults = self.faults(bad)
        self.assertEqual(len(faults), 3)
        self.assertTrue(any("$.listen" in fault for fault in faults))
        self.assertTrue(any("key name" in fault for fault in faults))

    def test_missing_file_is_a_fault(self):
        faults = self.faults(GOOD.replace("cursor.key", "none.key"))
        self.assertIn("$.cursor_key_file: expected a readable file", faults[0])

    def test_short_secret_is_a_fault(self):
        (self.folder / "cursor.key").write_text("short")
        self.assertIn("at least 32 bytes", self.faults(GOOD)[0])

    def test_key_files_are_private_and_never_overwritten(self):
        path = self.folder / "peer.yaml"
        self.assertTrue(new_peer_keys(path).is_ok())
        self.assertEqual(path.stat().st_mode & 0o077, 0)
        self.assertTrue(load_peer_keys(path).is_ok())
        self.assertTrue(new_peer_keys(path).is_err())
