"""Answers that their callers do not take, while others are refused for want of room."""

__all__ = ["UntakenAnswers"]

# A caller that takes nothing for so long makes room, if requests of the same service
# are refused meanwhile.
MAX_UNTAKEN_S = 1.0
# A refusal shows for so long that a service has no room.
REFUSAL_AGE_S = 10.0


class _Wait:
    """How much of an answer waits for its caller, and since when it is that much."""

    __slots__ = ("bytes", "since_s")

    def __init__(self, untaken_bytes, now_s):
        self.bytes = untaken_bytes
        self.since_s = now_s


class UntakenAnswers:
    """Finds the answers that keep a place at an endpoint, and that nobody reads.

    An endpoint works on a request until its answer is taken. Callers that ask and do
    not read could otherwise keep the places of all endpoints in use.

    Parameters
    ----------
    clock : object with ``seconds()``
    """

    __slots__ = ("_clock", "_refused_s", "_waits")

    def __init__(self, clock):
        self._clock = clock
        # Last refusal by service, and the answers that wait by their exchange.
        self._refused_s = {}
        self._waits = {}

    def note_refused(self, service):
        """Record that a request was refused since a service had no room for it."""
        self._refused_s[service] = self._clock.seconds()

    def find(self, exchanges):
        """Return the exchanges that are to make room for others.

        Parameters
        ----------
        exchanges : iterable of Exchange
            All exchanges without a final answer.
        """
        now_s = self._clock.seconds()
        self._drop_expired(now_s)
        if not self._refused_s:
            self._waits.clear()
            return []
        waiting = [
            exchange
            for exchange in exchanges
            if exchange.service.name in self._refused_s and exchange.untaken_bytes
        ]
        self._waits = {each: self._wait_of(each, now_s) for each in waiting}
        return [
            exchange
            for exchange, wait in self._waits.items()
            if now_s - wait.since_s >= MAX_UNTAKEN_S
        ]

    def _wait_of(self, exchange, now_s):
        wait = self._waits.get(exchange)
        if wait is None or wait.bytes != exchange.untaken_bytes:
            return _Wait(exchange.untaken_bytes, now_s)
        return wait

    def _drop_expired(self, now_s):
        self._refused_s = {
            service: refused_s
            for service, refused_s in self._refused_s.items()
            if now_s - refused_s < REFUSAL_AGE_S
        }
