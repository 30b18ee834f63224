import unittest

from sesamearch.platform.settings import load_platform_settings, read_platform_settings

VALID = """node-name=edge-1
role=router
ip=10.1.0.19
zone=east
region=r
zones.east=r
listen.frontend=10.1.0.19:8740
listen.readiness=10.1.0.19:8749
listen.control-plane=10.1.0.19:8748
internal-ports=7200,7215
seeds=10.1.0.19:8748,10.2.0.13:8748
limits.memory-mb=300
bounds.drain-ms=3000
bounds.grace-s=9
bounds.retry-budget-ratio=0.5
platform.address=10.200.1.7:8742
some.new-field=whatever
"""


class TestPlatformSettings(unittest.TestCase):
    def read(self, text=VALID):
        return read_platform_settings(text, "settings.conf")

    def check_fault(self, text, key):
        faults = self.read(text).unwrap_err()
        self.assertEqual([fault.key for fault in faults], [key])
        self.assertIn("settings.conf", faults[0].to_text())

    def test_fields(self):
        settings = self.read().unwrap()
        self.assertEqual((settings.name, settings.data_centre), ("edge-1", "east"))
        self.assertEqual(settings.listen, "10.1.0.19:8740")
        self.assertEqual(settings.metrics_listen, "10.1.0.19:7200")
        self.assertEqual(settings.peer.listen, "10.1.0.19:8748")
        self.assertEqual(len(settings.peer.seeds), 2)

    def test_bounds_are_converted_to_seconds(self):
        bounds = self.read().unwrap().bounds
        self.assertEqual((bounds.drain_s, bounds.grace_s), (3.0, 9.0))
        self.assertEqual(bounds.retry_ratio, 0.5)

    def test_contact_bound(self):
        bounds = self.read(VALID + "bounds.contact-ms=2500\n").unwrap().bounds
        self.assertEqual(bounds.contact_s, 2.5)

    def test_missing_bounds_have_defaults(self):
        text = VALID.replace("bounds.grace-s=9\n", "")
        self.assertEqual(self.read(text).unwrap().bounds.grace_s, 8.0)

    def test_missing_key_is_named(self):
        text = VALID.replace("listen.frontend=10.1.0.19:8740\n", "")
        self.check_fault(text, "listen.frontend")

    def test_malformed_address_is_named(self):
        text = VALID.replace("10.200.1.7:8742", "store")
        self.check_fault(text, "platform.address")

    def test_malformed_number_is_named(self):
        self.check_fault(VALID.replace("grace-s=9", "grace-s=soon"), "bounds.grace-s")

    def test_line_without_an_equals_sign_is_named(self):
        self.check_fault(VALID + "nonsense\n", "line 18")

    def test_invalid_seeds_are_ignored(self):
        text = VALID.replace("10.2.0.13:8748", "gone")
        self.assertEqual(len(self.read(text).unwrap().peer.seeds), 1)

    def test_missing_file_is_a_fault(self):
        faults = load_platform_settings("/nonexistent").unwrap_err()
        self.assertEqual(faults[0].file, "/nonexistent")
