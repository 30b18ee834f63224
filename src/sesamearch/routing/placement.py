"""Choice of the endpoint for an attempt or a call."""

import random

__all__ = ["Placement"]

AVOID_FIRST_S = 1.0
AVOID_LONGEST_S = 8.0
DRAWS = 8


class _Record:
    __slots__ = ("avoid_s", "avoid_until_s", "in_flight")

    def __init__(self):
        self.in_flight = 0
        self.avoid_s = 0.0
        self.avoid_until_s = 0.0


class _Pool:
    """Endpoints of one version of a service that take new work."""

    __slots__ = ("local", "remote")

    def __init__(self):
        self.local = []
        self.remote = []


class Placement:
    """Choose endpoints by this router's own in-flight counts.

    Endpoints in the router's data centre go first; one that just failed is
    avoided for a while that doubles with each failure, unless nothing else is
    left. Of many endpoints a few are drawn and the least busy of them is taken,
    so that a choice costs the same whatever their number.

    Parameters
    ----------
    board : Blackboard
    data_centre : str
        The router's own.
    clock : object with ``seconds()``
    seed : int or None
        Makes the draws repeatable.
    """

    __slots__ = ("_board", "_clock", "_data_centre", "_pools", "_random", "_records")

    def __init__(self, board, data_centre, clock, seed=None):
        self._board = board
        self._data_centre = data_centre
        self._clock = clock
        self._random = random.Random(seed)
        self._records = {}
        self._pools = {}
        board.endpoints.listen(self._index)
        self._index(board.endpoints.value)

    def _index(self, endpoints):
        self._records = {
            name: self._records.get(name) or _Record() for name in endpoints
        }
        self._pools = {}
        for endpoint in endpoints.values():
            if endpoint.leaving:
                continue
            key = (endpoint.service, endpoint.version)
            pool = self._pools.setdefault(key, _Pool())
            is_local = endpoint.data_centre == self._data_centre
            (pool.local if is_local else pool.remote).append(endpoint)

    def choose(self, service_name, version, excluded):
        """Choose an endpoint of one version.

        Parameters
        ----------
        service_name, version : str
        excluded : set of str
            Endpoint names not to choose.

        Returns
        -------
        Endpoint or None
        """
        pool = self._pools.get((service_name, version))
        if pool is None:
            return None
        now_s = self._clock.seconds()
        drawn = self._draw(pool.local, excluded)
        best = self._least(drawn, now_s)
        if best is not None and not self._is_avoided(best, now_s):
            return best
        drawn += self._draw(pool.remote, excluded)
        best = self._least(drawn, now_s)
        if best is not None and not self._is_avoided(best, now_s):
            return best
        # What was drawn is excluded or failing: rare enough to look at all.
        everything = [
            endpoint
            for endpoint in pool.local + pool.remote
            if endpoint.name not in excluded
        ]
        return self._least(everything, now_s)

    def _draw(self, endpoints, excluded):
        if len(endpoints) > DRAWS:
            endpoints = self._random.sample(endpoints, DRAWS)
        return [endpoint for endpoint in endpoints if endpoint.name not in excluded]

    def _least(self, endpoints, now_s):
        if not endpoints:
            return None
        return min(endpoints, key=lambda endpoint: self._rank(endpoint, now_s))

    def _is_avoided(self, endpoint, now_s):
        return self._records[endpoint.name].avoid_until_s > now_s

    def _rank(self, endpoint, now_s):
        record = self._records[endpoint.name]
        avoided = record.avoid_until_s > now_s
        remote = endpoint.data_centre != self._data_centre
        return avoided, remote, record.in_flight, endpoint.name

    def find(self, name):
        """Return the :class:`Endpoint` of that name, or None."""
        return self._board.endpoints.value.get(name)

    def in_flight(self, endpoint):
        """Return the number of attempts and calls of this router there."""
        record = self._records.get(endpoint.name)
        return record.in_flight if record else 0

    def started(self, endpoint):
        """Count an attempt or call that began."""
        record = self._records.get(endpoint.name)
        if record:
            record.in_flight += 1

    def ended(self, endpoint):
        """Count an attempt or call that ended."""
        record = self._records.get(endpoint.name)
        if record and record.in_flight:
            record.in_flight -= 1

    def failed(self, endpoint):
        """Avoid an endpoint for a while."""
        record = self._records.get(endpoint.name)
        if record:
            record.avoid_s = min(
                max(record.avoid_s * 2, AVOID_FIRST_S), AVOID_LONGEST_S
            )
            record.avoid_until_s = self._clock.seconds() + record.avoid_s

    def succeeded(self, endpoint):
        """Forget the failures of an endpoint that answered."""
        record = self._records.get(endpoint.name)
        if record and record.avoid_s:
            record.avoid_s = record.avoid_until_s = 0.0
