"""Load on endpoints that fall over when they turn too many requests away."""

from tests.platform.limit_storm import LimitStorm

NAMED_FROM_S = 8.0
NAMED_TO_S = 28.0
ROOM_FROM_S = 11.0
WORK_S = 0.1
WINDOW_S = 1.0
DOWN_S = 4.0
CHECK_S = 0.02
# Falls that are allowed in one time in which endpoints are brittle.
ALLOWED_FALLS = 2.0
ALLOWED_FALLS_RATIO = 0.1


class BrittleStorm(LimitStorm):
    """A deployment whose plain services are brittle for some time.

    Parameters
    ----------
    routers, desks : int
    brittle : int
        Refusals a second above which an endpoint falls over.
    room : int
        Requests that each lets in from ``ROOM_FROM_S`` on.
    seed : int
    """

    def __init__(self, routers, desks, brittle, room, seed=1):
        super().__init__(routers, desks, 0, seed)
        self.falls = 0
        self._brittle = brittle
        self._room = room
        for desk in self.desks:
            desk.work_s = WORK_S
        self._at(NAMED_FROM_S, self._name, str(brittle))
        self._at(ROOM_FROM_S, self._narrow)
        self._at(NAMED_TO_S, self._name, "")
        self.network.callLater(CHECK_S, self._check)

    def _at(self, at_s, function, *arguments):
        self.network.callLater(at_s, function, *arguments)

    def _name(self, text):
        for desk in self.desks:
            desk.brittle = text

    def _narrow(self):
        for desk in self.desks:
            desk.room = self._room

    def _check(self):
        oldest_s = self.network.seconds() - WINDOW_S
        for desk in self.desks:
            desk.turned_away_s = [s for s in desk.turned_away_s if s >= oldest_s]
            if desk.brittle and len(desk.turned_away_s) > self._brittle:
                desk.turned_away_s = []
                self._fall(desk)
        self.network.callLater(CHECK_S, self._check)

    def _fall(self, desk):
        self.falls += 1
        self.crash(desk)
        self.network.callLater(DOWN_S, self.restore, desk)

    @property
    def allowed_falls(self):
        """Float : falls that are allowed."""
        return ALLOWED_FALLS + ALLOWED_FALLS_RATIO * len(self.desks)

    def capacity_per_s(self):
        """Return the requests that all endpoints can serve in a second."""
        return len(self.desks) * self._room / WORK_S

    def served_from(self, from_s, to_s):
        """Return how many requests of a time were served, and how many came."""
        sent = [c for c in self.clients if from_s <= c.sent_s < to_s]
        return sum(client.status == 200 for client in sent), len(sent)
