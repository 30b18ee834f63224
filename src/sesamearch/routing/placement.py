"""Choice of the endpoint for a generation attempt or a plain call."""

import random

__all__ = ["Placement"]

BACKOFF_FIRST_S = 1.0
BACKOFF_MAX_S = 8.0
SAMPLE_SIZE = 8


class _EndpointState:
    __slots__ = ("backoff_s", "backoff_until_s", "in_flight")

    def __init__(self):
        self.in_flight = 0
        self.backoff_s = 0.0
        self.backoff_until_s = 0.0


class _Pool:
    """Endpoints of one version of a service that accept new work."""

    __slots__ = ("local", "remote")

    def __init__(self):
        self.local = []
        self.remote = []


class Placement:
    """Chooses endpoints by this router's own in-flight counts.

    Endpoints in the router's data centre are preferred. An endpoint that failed is
    avoided for a time that doubles with each failure, unless no other is left. Of many
    endpoints, the least busy one of a random sample is chosen, so that the cost of a
    choice does not grow with their number.

    Parameters
    ----------
    board : Blackboard
    data_centre : str
        Data centre of the router.
    clock : object with ``seconds()``
    seed : int or None
        Seed of the random samples, to make them repeatable.
    """

    __slots__ = ("_board", "_clock", "_data_centre", "_pools", "_random", "_records")

    def __init__(self, board, data_centre, clock, seed=None):
        self._board = board
        self._data_centre = data_centre
        self._clock = clock
        self._random = random.Random(seed)
        self._records = {}
        self._pools = {}
        board.endpoints.listen(self._rebuild_pools)
        self._rebuild_pools(board.endpoints.value)

    def _rebuild_pools(self, endpoints):
        self._records = {
            name: self._records.get(name) or _EndpointState() for name in endpoints
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
            Names of endpoints that must not be chosen.

        Returns
        -------
        Endpoint or None
        """
        pool = self._pools.get((service_name, version))
        if pool is None:
            return None
        now_s = self._clock.seconds()
        sampled = self._sample(pool.local, excluded)
        best = self._least_busy(sampled, now_s)
        if best is not None and not self._is_backing_off(best, now_s):
            return best
        sampled += self._sample(pool.remote, excluded)
        best = self._least_busy(sampled, now_s)
        if best is not None and not self._is_backing_off(best, now_s):
            return best
        # The whole sample is excluded or backing off, which is rare: consider all.
        candidates = [
            endpoint
            for endpoint in pool.local + pool.remote
            if endpoint.name not in excluded
        ]
        return self._least_busy(candidates, now_s)

    def _sample(self, endpoints, excluded):
        if len(endpoints) > SAMPLE_SIZE:
            endpoints = self._random.sample(endpoints, SAMPLE_SIZE)
        return [endpoint for endpoint in endpoints if endpoint.name not in excluded]

    def _least_busy(self, endpoints, now_s):
        if not endpoints:
            return None
        return min(endpoints, key=lambda endpoint: self._rank(endpoint, now_s))

    def _is_backing_off(self, endpoint, now_s):
        return self._records[endpoint.name].backoff_until_s > now_s

    def _rank(self, endpoint, now_s):
        record = self._records[endpoint.name]
        is_backing_off = record.backoff_until_s > now_s
        is_remote = endpoint.data_centre != self._data_centre
        return is_backing_off, is_remote, record.in_flight, endpoint.name

    def find(self, name):
        """Return the :class:`Endpoint` with a name, or None."""
        return self._board.endpoints.value.get(name)

    def in_flight(self, endpoint):
        """Return the number of this router's attempts and calls at an endpoint."""
        record = self._records.get(endpoint.name)
        return record.in_flight if record else 0

    def started(self, endpoint):
        """Count the start of an attempt or call."""
        record = self._records.get(endpoint.name)
        if record:
            record.in_flight += 1

    def ended(self, endpoint):
        """Count the end of an attempt or call."""
        record = self._records.get(endpoint.name)
        if record and record.in_flight:
            record.in_flight -= 1

    def failed(self, endpoint):
        """Avoid an endpoint that failed, with exponential backoff."""
        record = self._records.get(endpoint.name)
        if record:
            record.backoff_s = min(
                max(record.backoff_s * 2, BACKOFF_FIRST_S), BACKOFF_MAX_S
            )
            record.backoff_until_s = self._clock.seconds() + record.backoff_s

    def succeeded(self, endpoint):
        """Reset the backoff of an endpoint that answered."""
        record = self._records.get(endpoint.name)
        if record and record.backoff_s:
            record.backoff_s = record.backoff_until_s = 0.0
