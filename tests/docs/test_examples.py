"""Commands, modules and events shown in the documentation are valid."""

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
CODE_BLOCK = re.compile(r"^```(\w*)\n(.*?)^```", re.MULTILINE | re.DOTALL)
PLACEHOLDERS = {"IP:PORT": "127.0.0.1:1", "...": ""}


def code_blocks(page, language):
    return [
        text for kind, text in CODE_BLOCK.findall(page.read_text()) if kind == language
    ]


def shown_commands(program):
    """Return the page and the arguments of each shown command of a program."""
    found = []
    for page in PAGES:
        for text in code_blocks(page, "sh"):
            for line in text.replace("\\\n", " ").splitlines():
                words = shlex.split(line, comments=True)
                words = [PLACEHOLDERS.get(word, word) for word in words]
                if words and words[0] == program:
                    found.append((page.name, [word for word in words[1:] if word]))
    return found


class TestCommands(unittest.TestCase):
    def test_shown_command_lines_are_valid(self):
        shown = shown_commands("sesamearch")
        self.assertGreater(len(shown), 10)
        for page, arguments in shown:
            with self.subTest(page=page, command=" ".join(arguments)):
                error_output = io.StringIO()
                try:
                    with contextlib.redirect_stderr(error_output):
                        make_parser().parse_args(arguments)
                except SystemExit:
                    self.fail(error_output.getvalue())

    def test_shown_make_targets_exist(self):
        targets = set(re.findall(r"^([\w-]+):", (ROOT / "Makefile").read_text(), re.M))
        shown = [words[0] for _, words in shown_commands("make")]
        self.assertGreater(len(shown), 3)
        self.assertLessEqual(set(shown), targets)

    def test_shown_modules_exist(self):
        modules = {
            name
            for page in PAGES
            for name in re.findall(r"python -m ([\w.]+)", page.read_text())
        }
        self.assertIn("bench", modules)
        for name in modules:
            self.assertIsNotNone(importlib.util.find_spec(name), name)

    def test_shown_commands_create_keys_and_services_pass_check(self):
        services = str(ROOT / "demo" / "services")
        with tempfile.TemporaryDirectory() as folder:
            self.addCleanup(os.chdir, os.getcwd())
            os.chdir(folder)
            for page, arguments in shown_commands("sesamearch"):
                if arguments[:2] == ["keys", "new"] and not os.path.exists(
                    arguments[-1]
                ):
                    self.assertEqual(self.run_quietly(arguments), 0, page)
            self.assertEqual(self.run_quietly(["check", services]), 0)

    @staticmethod
    def run_quietly(arguments):
        with contextlib.redirect_stdout(io.StringIO()):
            return main(arguments)


class TestEventExamples(unittest.TestCase):
    def test_shown_events_exist(self):
        events = {record.__struct_config__.tag for record in RECORDS}
        line = re.compile(r"^ +\d+ ms  \S+  (\w+)", re.MULTILINE)
        shown = [name for page in PAGES for name in line.findall(page.read_text())]
        self.assertTrue(shown)
        self.assertLessEqual(set(shown), events)
