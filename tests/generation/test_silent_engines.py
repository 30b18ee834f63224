"""Random silences of engines: each answer is complete, and of one version."""

import random

import msgspec

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.configuration.configuration import VersionShare
from sesamearch.generation.engine import StreamEnd, StreamEvent
from tests.generation.recorded import GenerationCase
from tests.generation.test_silence import SERVICE

SEEDS = range(300)
TOKENS = 30
STEP_S = 0.05
MAX_SILENCE_S = 1.2
SILENCE_RATIO = 0.05
FULL_RATIO = 0.3
DEADLINE_S = 300.0
VERSIONS = ("v1", "v2")
MIXED = msgspec.structs.replace(
    SERVICE, versions=[VersionShare(name, 0.5) for name in VERSIONS]
)


class _SilentEngines:
    """Engines that fall silent at random, alone or together, and always go on."""

    def __init__(self, seed, case):
        self._random = random.Random(seed)
        self._case = case
        self._silent_until_s = {}
        self._next_tokens = {}
        self.endpoints = {
            f"e{number}": Endpoint(
                f"e{number}", "", "a", "drafting", self._random.choice(VERSIONS)
            )
            for number in range(self._random.randint(1, 6))
        }

    def step(self):
        now_s = self._case.clock.seconds()
        self._fall_silent(now_s)
        for number, stream in enumerate(list(self._case.engines.opened)):
            is_silent = self._silent_until_s.get(stream.endpoint.name, 0.0) > now_s
            if stream.is_detached or is_silent:
                continue
            if number and number not in self._next_tokens and self._is_full():
                stream.is_detached = True
                stream.end(StreamEnd.REFUSED)
            else:
                self._generate(number, stream)

    def _is_full(self):
        return self._random.random() < FULL_RATIO

    def _fall_silent(self, now_s):
        if self._random.random() < SILENCE_RATIO:
            until_s = now_s + self._random.uniform(0, MAX_SILENCE_S)
            names = list(self.endpoints)
            count = self._random.choice((1, len(names)))
            for name in self._random.sample(names, count):
                self._silent_until_s[name] = until_s

    def _generate(self, number, stream):
        index = self._next_tokens.get(number, stream.engine_request.prefix_tokens)
        count = min(self._random.randint(1, 3), TOKENS - index)
        version = stream.endpoint.version
        events = [
            StreamEvent(i, 1, f" {version}.{i}", version)
            for i in range(index, index + count)
        ]
        self._next_tokens[number] = index + count
        if not count:
            events = [StreamEvent(TOKENS, 0, "", version, "stop")]
        stream.receiver.events(events)


class SilentEnginesTest(GenerationCase):
    def test_answers_are_complete_and_of_one_version(self):
        # Guards against answers that are lost, doubled or mixed by silence.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.setUp()
                self.play(seed)

    def play(self, seed):
        engines = _SilentEngines(seed, self)
        self.board.endpoints.write(engines.endpoints)
        self.generation = self.make_generation(DEADLINE_S, MIXED)
        self.generation.start()
        while not self.generation.is_over:
            engines.step()
            self.advance(STEP_S)
        self.assertIsNone(self.sink.problem)
        version = self.sink.version
        text = "".join(f" {version}.{index}" for index in range(TOKENS))
        self.assertEqual(self.sink.text, text)
        self.assertEqual(self.sink.finished, TOKENS)
        opened = self.engines.opened
        self.assertTrue(all(stream.is_detached for stream in opened))
