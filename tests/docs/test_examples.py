"""The commands that the pages show can be run as they stand there."""

import contextlib
import importlib.util
import io
import os
import re
import shlex
import tempfile
import unittest
from pathlib import Path

from sesamearch.base.record import RECORDS
from sesamearch.command.main import main, make_parser

ROOT = Path(__file__).parents[2]
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *sorted(ROOT.glob("docs/**/*.md")),
]
BLOCK = re.compile(r"^```(\w*)\n(.*?)^```", re.MULTILINE | re.DOTALL)
PLACEHOLDERS = {"IP:PORT": "127.0.0.1:1", "...": ""}


def blocks(page, language):
    return [text for kind, text in BLOCK.findall(page.read_text()) if kind == language]


def commands(program):
    """Return the arguments of each command of a program that a page shows."""
    found = []
    for page in PAGES:
        for text in blocks(page, "sh"):
            for line in text.replace("\\\n", " ").splitlines():
                words = shlex.split(line, comments=True)
                words = [PLACEHOLDERS.get(word, word) for word in words]
                if words and words[0] == program:
                    found.append((page.name, [word for word in words[1:] if word]))
    return found


class TestCommands(unittest.TestCase):
    def test_command_lines_are_accepted(self):
        shown = commands("sesamearch")
        self.assertGreater(len(shown), 10)
        for page, arguments in shown:
            with self.subTest(page=page, command=" ".join(arguments)):
                complaint = io.StringIO()
                try:
                    with contextlib.redirect_stderr(complaint):
                        make_parser().parse_args(arguments)
                except SystemExit:
                    self.fail(complaint.getvalue())

    def test_make_targets_exist(self):
        targets = set(re.findall(r"^([\w-]+):", (ROOT / "Makefile").read_text(), re.M))
        shown = [words[0] for _, words in commands("make")]
        self.assertGreater(len(shown), 3)
        self.assertLessEqual(set(shown), targets)

    def test_modules_that_pages_run_exist(self):
        named = {
            name
            for page in PAGES
            for name in re.findall(r"python -m ([\w.]+)", page.read_text())
        }
        self.assertIn("bench", named)
        for name in named:
            self.assertIsNotNone(importlib.util.find_spec(name), name)

    def test_keys_settings_and_services_are_made_and_checked_as_shown(self):
        services = str(ROOT / "demo" / "services")
        with tempfile.TemporaryDirectory() as folder:
            self.addCleanup(os.chdir, os.getcwd())
            os.chdir(folder)
            for page, arguments in commands("sesamearch"):
                if arguments[:2] == ["keys", "new"] and not os.path.exists(
                    arguments[-1]
                ):
                    self.assertEqual(self.run_quietly(arguments), 0, page)
            self.assertEqual(self.run_quietly(["check", services]), 0)

    @staticmethod
    def run_quietly(arguments):
        with contextlib.redirect_stdout(io.StringIO()):
            return main(arguments)


class TestStories(unittest.TestCase):
    def test_events_that_pages_show_exist(self):
        events = {record.__struct_config__.tag for record in RECORDS}
        line = re.compile(r"^ +\d+ ms  \S+  (\w+)", re.MULTILINE)
        shown = [name for page in PAGES for name in line.findall(page.read_text())]
        self.assertTrue(shown)
        self.assertLessEqual(set(shown), events)
