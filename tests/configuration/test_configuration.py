import tempfile
import unittest
from pathlib import Path

from sesamearch.configuration.blackboard import Blackboard
from sesamearch.configuration.configuration import Configuration, collect
from sesamearch.rollout.version import choose_version_by_share
from tests.support import TICKETING

ROOT = Path(__file__).parents[2]
GOOD = """\
kind: plain
service: ticketing
versions: [{name: v1, share_ratio: 1}]
calls: [{method: POST, path: /receipts, retry: at_most_once}]
"""


class CollectTest(unittest.TestCase):
    def collect(self, **files):
        with tempfile.TemporaryDirectory() as folder:
            for name, text in files.items():
                (Path(folder) / f"{name}.yaml").write_text(text)
            return collect(folder)

    def faults(self, **files):
        return "\n".join(f.to_text() for f in self.collect(**files).unwrap_err())

    def test_good_file(self):
        configuration = self.collect(a=GOOD).unwrap()
        self.assertEqual(configuration.services[0].service, "ticketing")
        self.assertEqual(
            Configuration.from_json(configuration.to_json()), configuration
        )

    def test_all_faults_of_all_files_are_reported(self):
        bad = GOOD.replace("at_most_once", "maybe").replace("service:", "servce:")
        faults = self.faults(a=bad, b="kind: [")
        self.assertEqual(len(faults.splitlines()), 4)
        for part in ("a.yaml: $: expected only", "found servce", "b.yaml: line 1"):
            self.assertIn(part, faults)
        self.assertIn("$.calls[0].retry: expected enum", faults)
        self.assertIn("found 'maybe'", faults)

    def test_shares_must_sum_to_one(self):
        faults = self.faults(a=GOOD.replace("share_ratio: 1", "share_ratio: 0.5"))
        self.assertIn("expected shares that sum to 1, found 0.5", faults)

    def test_duplicate_service_name_is_a_fault(self):
        self.assertIn("expected a name used once", self.faults(a=GOOD, b=GOOD))

    def test_unknown_kind_and_empty_folder(self):
        self.assertIn("expected engine or plain", self.faults(a="service: x"))
        self.assertIn("expected a mapping", self.faults(a="- x"))
        self.assertIn("at least one .yaml file", self.faults())

    def test_demo_services_are_valid(self):
        self.assertTrue(collect(ROOT / "demo" / "services").is_ok())


class AcceptConfigurationTest(unittest.TestCase):
    def test_only_newer_revisions_are_accepted(self):
        board = Blackboard()
        self.assertTrue(board.accept_configuration(Configuration(2)))
        self.assertFalse(board.accept_configuration(Configuration(1)))
        self.assertFalse(board.accept_configuration(Configuration(2)))
        self.assertEqual(board.configuration.value.revision, 2)


class ChooseVersionTest(unittest.TestCase):
    def test_choice_is_stable_and_follows_the_shares(self):
        import msgspec

        from sesamearch.configuration.configuration import VersionShare

        shares = [VersionShare("v1", 0.9), VersionShare("v2", 0.1)]
        service = msgspec.structs.replace(TICKETING, versions=shares)
        chosen = [choose_version_by_share(service, f"r{n}") for n in range(5000)]
        again = [choose_version_by_share(service, f"r{n}") for n in range(5000)]
        self.assertEqual(chosen, again)
        self.assertTrue(400 < chosen.count("v2") < 600)
