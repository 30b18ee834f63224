"""Bytes of further requests, sent ahead of the answer to the present one."""

__all__ = ["BytesAhead"]


class BytesAhead:
    """Buffers what arrived while a request was answered.

    Attributes
    ----------
    trailing_bytes : int
        Size of what the codec of the present request has read beyond its end.
    since_s : float
        Arrival of the oldest bytes here.
    limits : CallerLimits or None
        Limits in force at that arrival.
    """

    __slots__ = ("_pieces", "_size_bytes", "limits", "since_s", "trailing_bytes")

    def __init__(self):
        self._pieces = []
        self._size_bytes = 0
        self.trailing_bytes = 0
        self.since_s = 0.0
        self.limits = None

    def __bool__(self):
        return bool(self._pieces)

    @property
    def size_bytes(self):
        """Int : size of all that was sent ahead."""
        return self._size_bytes + self.trailing_bytes

    def add(self, data, now_s, limits):
        """Append bytes that arrive now."""
        if not self._pieces:
            self.since_s = now_s
            self.limits = limits
        self._pieces.append(data)
        self._size_bytes += len(data)

    def put_back(self, data, since_s, limits):
        """Put back what the codec read beyond the end of a request that is over.

        Parameters
        ----------
        data : bytes
        since_s : float
            Arrival of the end of that request.
        limits : CallerLimits
            Limits in force at that arrival.
        """
        self.trailing_bytes = 0
        if data:
            self.since_s = since_s
            self.limits = limits
            self._pieces.insert(0, data)
            self._size_bytes += len(data)

    def peek(self):
        """Return all bytes that no codec has read."""
        return b"".join(self._pieces)

    def take(self):
        """Return these bytes, and forget them."""
        data = self.peek()
        self._pieces.clear()
        self._size_bytes = 0
        return data
