"""Splitting of a body into events."""

import re
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamearch.wire.events import MAX_EVENT_BYTES, EventError, EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\n"


class TestEventSplitter(unittest.TestCase):
    def test_events_and_their_numbers(self):
        events = EventSplitter().feed(STREAM)
        self.assertEqual([event.number for event in events], [1, 2, None])
        self.assertEqual(b"".join(event.data for event in events), STREAM)

    def test_id_of_thousands_of_digits_is_no_number(self):
        # Guards against an engine's bytes that make its generation raise.
        (event,) = EventSplitter().feed(b"id: " + b"9" * 5000 + b"\ndata: a\n\n")
        self.assertIsNone(event.number)

    def test_incomplete_event_is_buffered(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 3\ndata: a"), [])
        self.assertTrue(splitter.has_partial_event)
        (event,) = splitter.feed(b"\n\n")
        self.assertEqual(event.number, 3)
        self.assertFalse(splitter.has_partial_event)

    def test_events_do_not_depend_on_the_split_into_reads(self):
        for cut in range(len(STREAM)):
            splitter = EventSplitter()
            events = splitter.feed(STREAM[:cut]) + splitter.feed(STREAM[cut:])
            data = b"".join(event.data for event in events)
            numbers = [e.number for e in events if e.number is not None]
            self.assertEqual((data, numbers), (STREAM, [1, 2]))

    def test_comments_and_blank_lines_are_no_events(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b": ping\n\n" * 5 + b"\n\n\r\n\r\n"), [])
        (event,) = splitter.feed(b"id: 1\ndata: a\n\n: after\n\n")
        self.assertEqual(event.number, 1)
        self.assertTrue(event.data.startswith(b": ping\n\n"))
        self.assertTrue(event.data.endswith(b"data: a\n\n"))
        self.assertFalse(splitter.has_partial_event)
        self.assertEqual(splitter.take_rest(), b": after\n\n")

    def test_comments_do_not_change_the_bytes(self):
        data = b": a\n\nid: 1\ndata: a\n\n: b\n\n: c\r\n\r\nid: 2\ndata: b\n\n: d\n\n"
        for cut in range(len(data)):
            splitter = EventSplitter()
            events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
            received = b"".join(event.data for event in events)
            self.assertEqual(received + splitter.take_rest(), data)
            self.assertEqual([event.number for event in events], [1, 2])

    def test_event_without_end_is_an_error(self):
        splitter = EventSplitter()
        with self.assertRaises(EventError):
            for _ in range(2 * MAX_EVENT_BYTES // 1024):
                splitter.feed(b"data: x\n" * 128)

    def test_comments_without_end_are_an_error(self):
        splitter = EventSplitter()
        with self.assertRaises(EventError):
            for _ in range(2 * MAX_EVENT_BYTES // 1024):
                splitter.feed(b": ping\n\n" * 128)


_BLOCK = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_FIELD = re.compile(rb"(?:\A|[\r\n])(?:data|id)(?=[:\r\n]|\Z)")
_PIECES = st.sampled_from(
    (
        b"id: 1",
        b"data: x",
        b"data",
        b": c",
        b"\n",
        b"\n\n",
        b"\r\n",
        b"\r\r",
        b"y",
        b"id",
    )
)


def split_block_by_block(data):
    """Return the events of a body, block by block as the protocol describes them."""
    events, start, block_start = [], 0, 0
    for end in _BLOCK.finditer(data):
        block, block_start = data[block_start : end.end()], end.end()
        if _FIELD.search(block):
            events.append(data[start : end.end()])
            start = end.end()
    return events


class TestManyBlocks(unittest.TestCase):
    # Guards against events that are lost or cut, since blocks without an event are
    # passed over together.
    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(st.lists(_PIECES, max_size=30))
    def test_events_are_those_of_each_block(self, pieces):
        data = b"".join(pieces)
        events = EventSplitter().feed(data)
        self.assertEqual([e.data for e in events], split_block_by_block(data))
