import tempfile
import unittest
from pathlib import Path

from sesamearch.command.main import main
from sesamearch.platform.deploy import check_deploy

ROOT = Path(__file__).parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"


class TestDeployFile(unittest.TestCase):
    def check(self, *changes):
        text = DEPLOY_FILE.read_text()
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        deploy = Path(folder.name) / "deploy"
        deploy.mkdir()
        (deploy / "start.py").touch()
        path = deploy / "system.toml"
        path.write_text(text)
        return check_deploy(path)

    def fault_key_of(self, *changes):
        return self.check(*changes).unwrap_err()[0].key

    def test_deploy_file_of_this_repository_is_valid(self):
        self.assertEqual(set(check_deploy(DEPLOY_FILE).unwrap().roles), {"router"})
        self.assertEqual(main(["check", "--deploy", str(DEPLOY_FILE)]), 0)

    def test_faults_name_their_key(self):
        role = "$.roles.router"
        self.assertEqual(self.fault_key_of(("start.py", "gone.py")), f"{role}.run")
        self.assertEqual(self.fault_key_of(("1.0", "1.5")), f"{role}.share")
        self.assertEqual(
            self.fault_key_of(("7200/metrics", "metrics")), f"{role}.metrics"
        )
        self.assertEqual(self.fault_key_of(("share", "shares")), role)

    def test_invalid_toml_is_a_fault(self):
        self.assertEqual(self.fault_key_of(("[roles.router]", "[roles")), "$")

    def test_platform_settings_are_checked_by_command(self):
        self.assertEqual(main(["check", "--platform-settings", "/nonexistent"]), 2)
