"""Work in flight, suspicions and failures, told among the routers."""

from sesamearch.membership.fleet_message import LoadUpdate

__all__ = ["LoadGossip"]

RENEW_INTERVAL_S = 1.5


class LoadGossip:
    """Tells this router's work at engines and takes that of the others.

    Parameters
    ----------
    name, data_centre : str
        Of this router.
    loads : LoadBook
    health : HealthBook
    prompts : PromptPlaces
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_health",
        "_loads",
        "_name",
        "_peers",
        "_prompts",
        "_renew_s",
        "_was_empty",
    )

    def __init__(self, name, data_centre, loads, health, prompts, clock):
        self._data_centre = data_centre
        self._clock = clock
        self._renew_s = 0.0
        self._prompts = prompts
        self._name = name
        self._loads = loads
        self._health = health
        self._peers = None
        self._was_empty = True

    def join(self, peers):
        """Exchange through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(LoadUpdate, self._take)

    def send_if_changed(self):
        """Tell the others if something changed since they were told."""
        if self._loads.has_news or self._health.has_news:
            self.tell()

    def refresh(self):
        """Tell the others of failures, and again what they would forget."""
        if self._health.has_failures or self._clock.seconds() >= self._renew_s:
            self.tell()

    def tell(self):
        """Tell the others, unless there is nothing to tell."""
        self._loads.has_news = self._health.has_news = False
        self._renew_s = self._clock.seconds() + RENEW_INTERVAL_S
        if self._peers is None:
            return
        loads = self._loads.generations()
        suspicions = self._health.suspicions()
        outcomes = self._health.take_untold()
        is_empty = not loads and not suspicions and not outcomes
        if is_empty and self._was_empty:
            return
        self._was_empty = is_empty
        prompts = self._prompts.running()
        self._peers.send_to_all(
            LoadUpdate(
                self._name, loads, suspicions, prompts, self._data_centre, outcomes
            )
        )

    def _take(self, message):
        self._loads.hear(message.name, message.loads)
        for suspicion in message.suspicions:
            self._health.hear(suspicion)
        if message.data_centre == self._data_centre:
            for outcomes in message.outcomes:
                self._health.hear_outcomes(outcomes)
        for part, endpoint in message.prompts.items():
            self._prompts.hear(part, endpoint)
