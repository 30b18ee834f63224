"""Load that endpoints state in their answers, gathered by all routers."""

import msgspec

__all__ = ["LoadEstimate", "LoadStatements", "StatedLoad"]

# A statement counts half as much after this time: requests of plain services take
# about a tenth of it, and co-tenants of their VMs come and go as fast.
HALF_LIFE_S = 0.4
# Statements that count for less in sum say nothing.
MIN_WEIGHT = 0.05
# The mean of the service counts as one statement, so that a single one does not decide.
MEAN_WEIGHT = 1.0
USUAL_PACE_PERCENT = 100
MIN_PACE_PERCENT, MAX_PACE_PERCENT = 10, 10_000
MAX_REQUESTS = 10_000
MS_PER_S = 1000.0


class StatedLoad(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint stated of itself.

    Parameters
    ----------
    running, waiting : int
        Requests that it runs, and that wait there for a slot.
    slots : int
        Requests that it runs at the same time.
    pace_percent : int
        How long work takes there, in percent of the usual time.
    age_ms : int
        Age of the statement when it was sent to another router.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int
    age_ms: int = 0

    @property
    def occupancy_ratio(self):
        """Float : requests for each slot, those that wait included."""
        requests = min(max(self.running + self.waiting, 0), MAX_REQUESTS)
        return requests / max(self.slots, 1)

    @property
    def pace_ratio(self):
        """Float : how long work takes, where 1 is the usual time."""
        bounded = min(max(self.pace_percent, MIN_PACE_PERCENT), MAX_PACE_PERCENT)
        return bounded / USUAL_PACE_PERCENT


class LoadEstimate(msgspec.Struct, frozen=True):
    """Load of an endpoint as estimated from statements.

    Parameters
    ----------
    occupancy_ratio : float
        Requests for each slot.
    pace_ratio : float
        How long work takes, where 1 is the usual time.
    """

    occupancy_ratio: float
    pace_ratio: float


class _Record:
    """Sums of an endpoint's statements, weighted by their age."""

    __slots__ = ("_counted_s", "occupancy", "own_since", "pace", "weight")

    def __init__(self):
        self._counted_s = 0.0
        self.weight = self.occupancy = self.pace = 0.0
        self.own_since = 0

    def decay(self, now_s):
        factor = 0.5 ** (max(0.0, now_s - self._counted_s) / HALF_LIFE_S)
        self._counted_s = now_s
        self.weight *= factor
        self.occupancy *= factor
        self.pace *= factor

    def add(self, stated, age_s):
        weight = 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)
        self.weight += weight
        self.occupancy += weight * stated.occupancy_ratio
        self.pace += weight * stated.pace_ratio


class LoadStatements:
    """Gathers what endpoints state of their load to this router and to the others.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_records", "_unsent")

    def __init__(self, clock):
        self._clock = clock
        self._records = {}
        # Time and statement by endpoint, not sent to the other routers yet.
        self._unsent = {}

    def note_answer(self, endpoint, answer):
        """Record the load in an answer, if the endpoint states it with its pace.

        Without the pace, the requests in flight tell as much.
        """
        load = answer.load
        if load is None or load.pace_percent is None or answer.is_other_instance:
            return
        stated = StatedLoad(load.running, load.waiting, load.slots, load.pace_percent)
        self._add(endpoint.name, stated, 0.0)
        self._unsent[endpoint.name] = self._clock.seconds(), stated

    def collect_unsent(self):
        """Return the statements for the other routers by endpoint, once each."""
        now_s = self._clock.seconds()
        unsent, self._unsent = self._unsent, {}
        return {
            name: msgspec.structs.replace(
                stated, age_ms=round((now_s - heard_s) * MS_PER_S)
            )
            for name, (heard_s, stated) in unsent.items()
        }

    def update(self, statements):
        """Add statements that another router heard.

        Parameters
        ----------
        statements : dict from str to StatedLoad
        """
        for name, stated in statements.items():
            self._add(name, stated, stated.age_ms / MS_PER_S)

    def _add(self, name, stated, age_s):
        record = self._records.setdefault(name, _Record())
        record.decay(self._clock.seconds())
        record.add(stated, age_s)
        if age_s <= 0.0:
            record.own_since = 0

    def note_sent(self, name):
        """Count a request that no statement includes yet."""
        record = self._records.get(name)
        if record is not None:
            record.own_since += 1

    def estimates(self, endpoints):
        """Estimate the load of endpoints of one service.

        Parameters
        ----------
        endpoints : list of Endpoint

        Returns
        -------
        dict from str to LoadEstimate
            Empty if too little was stated lately. An endpoint of which nothing is
            known counts as the mean of the others.
        """
        now_s = self._clock.seconds()
        known = []
        for endpoint in endpoints:
            record = self._records.get(endpoint.name)
            if record is not None:
                record.decay(now_s)
                known.append(record)
        weight = sum(record.weight for record in known)
        if weight < MIN_WEIGHT:
            return {}
        occupancy = sum(record.occupancy for record in known) / weight
        pace = sum(record.pace for record in known) / weight
        return {each.name: self._estimate(each, occupancy, pace) for each in endpoints}

    def _estimate(self, endpoint, mean_occupancy, mean_pace):
        record = self._records.get(endpoint.name) or _Record()
        weight = record.weight + MEAN_WEIGHT
        occupancy = (record.occupancy + MEAN_WEIGHT * mean_occupancy) / weight
        pace = (record.pace + MEAN_WEIGHT * mean_pace) / weight
        own_ratio = record.own_since / max(endpoint.slots, 1)
        return LoadEstimate(occupancy + own_ratio, pace)

    def discard_unlisted(self, endpoints):
        """Discard the records of endpoints that are no longer listed."""
        for name in self._records.keys() - endpoints.keys():
            del self._records[name]
