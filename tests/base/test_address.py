import unittest

from sesamearch.base.address import is_address


class TestIsAddress(unittest.TestCase):
    def test_addresses(self):
        for text in ("10.1.0.2:8000", "127.0.0.1:1", "0.0.0.0:65535"):
            self.assertTrue(is_address(text), text)

    def test_others(self):
        for text in (
            "",
            "10.1.0.2",
            "10.1.0.2:",
            "10.1.0.2:0",
            "10.1.0.2:65536",
            "10.1.0.2:²",
            "10.1.0.2:-1",
            "10.1.0.2:" + "9" * 5000,
            "999.1.0.1:8000",
            "a.b.c.d:8000",
            "10.1.2:8000",
            "::1:8000",
        ):
            self.assertFalse(is_address(text), text)
