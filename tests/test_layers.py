import ast
import unittest
from pathlib import Path

SOURCES = Path(__file__).parents[1] / "src" / "sesamearch"
# Lowest layer first: a package imports only from itself and from lower layers.
LAYERS = (
    "base",
    "wire",
    "store",
    "configuration",
    "routing",
    "quarantine",
    "forwarding",
    "generation",
    "operation",
    "membership",
    "rollout",
    "proxy",
    "platform",
    "callers",
    "daemon",
    "standin",
    "replay",
    "command",
)


def imported_packages(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] == "sesamearch" and len(parts) > 1:
                yield parts[1]


class TestLayers(unittest.TestCase):
    def test_every_package_has_a_layer(self):
        found = {path.parent.name for path in SOURCES.glob("*/__init__.py")}
        self.assertEqual(found, set(LAYERS))

    def test_packages_import_only_from_lower_layers(self):
        for path in SOURCES.glob("*/*.py"):
            own = LAYERS.index(path.parent.name)
            for package in imported_packages(path):
                with self.subTest(path=path.name, package=package):
                    self.assertLessEqual(LAYERS.index(package), own)
