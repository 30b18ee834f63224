import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamearch.base.errors import ErrorKind
from sesamearch.generation.cursor import Cursor, CursorSigner, checksum

SIGNER = CursorSigner(b"k" * 32)
CURSOR = Cursor("req", "clerks", b"digest", "drafting", "v1", "engine-1", "s1", 2, 7)


def event_id(cursor=CURSOR, offset_tokens=3, crc=0xABC, signer=SIGNER):
    return signer.sign(cursor) + b".%d.%08x" % (offset_tokens, crc)


class CursorTest(unittest.TestCase):
    def test_signed_cursor_is_decoded(self):
        position = SIGNER.read(event_id(), "clerks").unwrap()
        self.assertEqual(position.cursor, CURSOR)
        self.assertEqual((position.offset_tokens, position.crc), (3, 0xABC))

    def test_cursor_of_another_organisation_is_refused(self):
        problem = SIGNER.read(event_id(), "agents").unwrap_err()
        self.assertIs(problem.kind, ErrorKind.FORGED_CURSOR)

    def test_cursor_signed_with_another_key_is_refused(self):
        forged = event_id(signer=CursorSigner(b"x" * 32))
        problem = SIGNER.read(forged, "clerks").unwrap_err()
        self.assertIs(problem.kind, ErrorKind.FORGED_CURSOR)

    @settings(derandomize=True)
    @given(st.binary(max_size=300))
    def test_random_bytes_are_refused(self, random_bytes):
        self.assertTrue(SIGNER.read(random_bytes, "clerks").is_err())

    @settings(derandomize=True)
    @given(st.integers(0, 80), st.integers(1, 255))
    def test_any_changed_byte_of_the_signed_part_is_refused(self, index, mask):
        signed = bytearray(event_id())
        signed[index] ^= mask
        self.assertTrue(SIGNER.read(bytes(signed), "clerks").is_err())

    def test_checksum_continues_from_a_previous_one(self):
        self.assertEqual(checksum("ab"), checksum("b", checksum("a")))
