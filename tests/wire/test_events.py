import unittest

from sesamearch.wire.events import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\n"


class TestEventSplitter(unittest.TestCase):
    def test_events_and_their_numbers(self):
        events = EventSplitter().feed(STREAM)
        self.assertEqual([event.number for event in events], [1, 2, None])
        self.assertEqual(b"".join(event.data for event in events), STREAM)

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
