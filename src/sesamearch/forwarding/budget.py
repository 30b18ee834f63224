"""Retry budgets of services, shared among the routers by use."""

from collections import deque

import msgspec

__all__ = ["FleetView", "RetryBudget", "RetryBudgets", "RetryUse"]

# Share of the fleet's budget that any router may use, by what it hears of the others.
SHARED_RATIO = 0.75
# Share of the other routers' part of the budget that nobody uses, because retries that
# several routers send at the same time are heard of too late.
UNHEARD_RATIO = 0.1
# A data centre that sent no news for this long may be cut off.
NEWS_TIMEOUT_S = 2.5


class FleetView(msgspec.Struct, frozen=True):
    """What a router knows of the fleet that shares its budgets.

    Parameters
    ----------
    routers : int
        Number of known routers, this one included.
    data_centres : frozenset of str
        Data centres with known routers.
    """

    routers: int
    data_centres: frozenset[str]


class RetryUse(msgspec.Struct, frozen=True, array_like=True):
    """Requests and retries of one service at one router.

    Parameters
    ----------
    requests, retries : int
        Totals since the start of the process.
    recent_requests, recent_retries : int
        Those within the window.
    """

    requests: int
    retries: int
    recent_requests: int
    recent_retries: int


class _SlidingCount:
    """Counts events in a sliding window."""

    __slots__ = ("_clock", "_events", "_recent", "_window_s", "total")

    def __init__(self, clock, window_s):
        self._clock = clock
        self._window_s = window_s
        self._events = deque()
        self._recent = 0
        self.total = 0

    def add(self, count=1):
        """Count events that occur now."""
        if count > 0:
            self._events.append((self._clock.seconds(), count))
            self._recent += count
            self.total += count

    @property
    def recent(self):
        """Int : number of events within the window."""
        oldest_s = self._clock.seconds() - self._window_s
        while self._events and self._events[0][0] < oldest_s:
            self._recent -= self._events.popleft()[1]
        return self._recent


class RetryBudget:
    """Limits the retries of one service in a sliding window.

    ``SHARED_RATIO`` of what the fleet may send is for any router, while the retries
    that it knows of, its own and those that the other routers reported, are below it.
    Of the rest each router has an even part, and of all while it hears from nobody. It
    sends none once the retries that it knows of come close to what the fleet may send.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    ratio : float
        Retries allowed for each request.
    window_s : float
        Length of the window over which requests and retries are counted.
    slack : float
        Retries that all routers together may send beyond the ratio.
    """

    __slots__ = (
        "_clock",
        "_other_requests",
        "_other_retries",
        "_ratio",
        "_requests",
        "_reported",
        "_retries",
        "_slack",
    )

    def __init__(self, clock, ratio, window_s, slack):
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._requests = _SlidingCount(clock, window_s)
        self._retries = _SlidingCount(clock, window_s)
        self._other_requests = _SlidingCount(clock, window_s)
        self._other_retries = _SlidingCount(clock, window_s)
        # Epoch and last report of each router by its name.
        self._reported = {}

    def count_request(self):
        """Count a request of a caller."""
        self._requests.add()

    def take(self, routers, live_ratio=0.0):
        """Take one retry from the budget, if any is left.

        Parameters
        ----------
        routers : int
            Number of routers that share the slack.
        live_ratio : float
            Share of the data centres whose reports are up to date.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """
        known_requests = self._requests.recent + self._other_requests.recent
        known_retries = self._retries.recent + self._other_retries.recent
        for_requests = self._ratio * known_requests
        others_ratio = 1.0 - 1.0 / max(routers, 1)
        allowed = for_requests + self._slack
        if known_retries + 1 > allowed * (1.0 - UNHEARD_RATIO * others_ratio):
            return False
        own_part = self._ratio * self._requests.recent + self._slack / max(routers, 1)
        if live_ratio > 0.0:
            # What a router shares with those that it hears is not its own any more.
            own_part *= 1.0 - SHARED_RATIO - UNHEARD_RATIO * others_ratio
        # A data centre that is cut off counts on its part of the same requests.
        shared = SHARED_RATIO * (for_requests + self._slack) * live_ratio
        if self._retries.recent >= own_part and known_retries + 1 > shared:
            return False
        self._retries.add()
        return True

    def discard_unknown(self, routers):
        """Discard the reports of routers that are not among the given names.

        What they reported still counts until it leaves the window.
        """
        for router in self._reported.keys() - routers:
            del self._reported[router]

    def recent_retries(self):
        """Return this router's recent retries, and all that it knows of."""
        own = self._retries.recent
        return own, own + self._other_retries.recent

    def use(self):
        """Return the :class:`RetryUse` to report to the other routers."""
        requests, retries = self._requests, self._retries
        return RetryUse(requests.total, retries.total, requests.recent, retries.recent)

    def update(self, router, epoch, use):
        """Apply a report of another router.

        Parameters
        ----------
        router : str
        epoch : int
            Distinguishes processes of the same name.
        use : RetryUse
        """
        known_epoch, known = self._reported.get(router, (epoch, None))
        if known is None:
            requests, retries = use.recent_requests, use.recent_retries
        elif epoch == known_epoch:
            requests = use.requests - known.requests
            retries = use.retries - known.retries
        else:
            requests, retries = use.requests, use.retries
        if requests < 0 or retries < 0:
            # A later report arrived first.
            return
        self._reported[router] = epoch, use
        self._other_requests.add(requests)
        self._other_retries.add(retries)


class RetryBudgets:
    """Retry budgets by service.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    ratio, window_s, slack : float
        See :class:`RetryBudget`.
    view_fleet : callable
        Returns the :class:`FleetView` of this router.
    """

    __slots__ = (
        "_budgets",
        "_clock",
        "_heard_s",
        "_sharing_begins_s",
        "_parameters",
        "_view_fleet",
    )

    def __init__(self, clock, ratio, window_s, slack, view_fleet):
        self._clock = clock
        self._parameters = (ratio, window_s, slack)
        self._view_fleet = view_fleet
        self._budgets = {}
        self._heard_s = {}
        # Until then, this process may not know all retries of the last window, such as
        # those that it sent itself before a restart.
        self._sharing_begins_s = clock.seconds() + window_s

    def _budget(self, service):
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._clock, *self._parameters)
        return self._budgets[service]

    def count_request(self, service):
        """Count a request of a caller for a service."""
        self._budget(service).count_request()

    def take(self, service):
        """Take one retry from the budget of a service; return whether one was left."""
        fleet = self._view_fleet()
        live_ratio = self._live_ratio(fleet.data_centres)
        return self._budget(service).take(fleet.routers, live_ratio)

    def _live_ratio(self, data_centres):
        """Return the share of the data centres whose reports are up to date."""
        now_s = self._clock.seconds()
        if now_s < self._sharing_begins_s:
            return 0.0
        heard = [self._heard_s.get(each, float("-inf")) for each in data_centres]
        live = sum(heard_s >= now_s - NEWS_TIMEOUT_S for heard_s in heard)
        return live / len(data_centres)

    def discard_unknown(self, routers):
        """Discard the reports of routers that are not among the given names."""
        for budget in self._budgets.values():
            budget.discard_unknown(routers)

    def recent_retries(self, service):
        """Return the recent retries of a service; see :class:`RetryBudget`."""
        return self._budget(service).recent_retries()

    def use(self):
        """Return the :class:`RetryUse` by service to report to the other routers."""
        return {service: budget.use() for service, budget in self._budgets.items()}

    def update(self, router, data_centre, epoch, uses):
        """Apply the report of another router; see :meth:`RetryBudget.update`.

        Parameters
        ----------
        router, data_centre : str
        epoch : int
        uses : dict from str to RetryUse
        """
        self._heard_s[data_centre] = self._clock.seconds()
        for service, use in uses.items():
            self._budget(service).update(router, epoch, use)
