import re
import unittest
from pathlib import Path

SOURCES = Path(__file__).parents[1] / "src" / "sesamearch"
# Packages that implement the platform's protocol: the adapter and the stand-ins.
PLATFORM_PACKAGES = ("platform", "standin")
PLATFORM_NAMES = re.compile(
    r"X-Attempt-Id|X-Target-Instance|X-Token-Usage|X-Prompt-Prefix|X-Deadline-Ms"
    r"|Store-Era|X-Tenant|Server-(Leaving|Limit|Brittle)|X-Not-Executed|X-Instance-Id|X-Server-Load|X-Response-Signature"
    r"|Kv-From|X-Kv-|X-Pin-Ms|kv-(txn|range|watch|lease|keep|key|move)"
    r"|op/config|op/rollout|status/rollout|b?\"servers/|/sesamearch/report|sesamearch/readyz"
    r"|latency-goal-ms|max-attempts|api-keys|SESAMEARCH_SETTINGS|front-?end=",
    re.IGNORECASE,
)


class TestNames(unittest.TestCase):
    def test_only_platform_packages_use_the_platforms_names(self):
        for path in SOURCES.rglob("*.py"):
            if path.parent.name in PLATFORM_PACKAGES:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                with self.subTest(path=path.name, line=number):
                    self.assertIsNone(PLATFORM_NAMES.search(line), line)
