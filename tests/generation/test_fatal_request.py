"""Requests under which engines end."""

from sesamearch.base.errors import ErrorKind
from sesamearch.generation.engine import StreamEnd
from sesamearch.generation.generation import MAX_ENGINES_LOST
from tests.generation.recorded import GenerationCase

ENGINES = 12


class FatalRequestTest(GenerationCase):
    def setUp(self):
        super().setUp()
        self.set_endpoints(*(f"e{number}" for number in range(ENGINES)))
        self.generation.start()

    def end_engines(self, count, reason):
        for _ in range(count):
            if self.sink.problem is None:
                self.engines.opened[-1].end(reason)

    # Guards against a request that is sent on and on, to engines that it ends.
    def test_request_ends_a_bounded_number_of_engines(self):
        self.end_engines(ENGINES, StreamEnd.BROKEN_OFF)
        self.assertEqual(len(self.engines.opened), MAX_ENGINES_LOST)
        self.assertEqual(self.sink.problem.kind, ErrorKind.GENERATION_LOST)

    # Guards against giving up for engines that never received the request.
    def test_engines_that_were_not_reached_do_not_count(self):
        self.end_engines(MAX_ENGINES_LOST, StreamEnd.LOST)
        self.assertIsNone(self.sink.problem)
        self.engines.opened[-1].send(0, 1)
        self.engines.opened[-1].finish(2)
        self.assertEqual(self.sink.finished, 2)

    # Guards against cutting off an answer that engines do write.
    def test_losses_before_the_first_token_do_not_count_later(self):
        self.end_engines(MAX_ENGINES_LOST - 1, StreamEnd.BROKEN_OFF)
        self.engines.opened[-1].send(0, 1)
        self.engines.opened[-1].end(StreamEnd.BROKEN_OFF)
        self.assertIsNone(self.sink.problem)
