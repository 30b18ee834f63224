"""Body of a request while it arrives."""

__all__ = ["BodyBuffer"]

# Pieces of one size can take each other's place in memory, so that what is freed is
# used again; one buffer that grows with each body could not.
PIECE_BYTES = 64 << 10


class BodyBuffer:
    """Gathers a body in pieces of bounded size.

    Attributes
    ----------
    size_bytes : int
    """

    __slots__ = ("_pieces", "size_bytes")

    def __init__(self):
        self._pieces = []
        self.size_bytes = 0

    def add(self, data):
        """Append bytes."""
        self.size_bytes += len(data)
        if self._pieces and len(self._pieces[-1]) + len(data) <= PIECE_BYTES:
            self._pieces[-1] += data
        else:
            self._pieces.append(bytearray(data))

    def take(self):
        """Return all bytes, and forget them."""
        body = b"".join(self._pieces)
        self.clear()
        return body

    def clear(self):
        """Forget all bytes."""
        self._pieces.clear()
        self.size_bytes = 0
