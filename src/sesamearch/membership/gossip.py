"""Exchange of work in flight, suspected endpoints and outcomes among the routers."""

from sesamearch.membership.fleet_message import LoadUpdate

__all__ = ["LoadGossip"]

REFRESH_INTERVAL_S = 1.5
# Changes within this time are sent in one update.
SEND_DELAY_S = 0.02


class LoadGossip:
    """Broadcasts this router's load on engines and its findings on endpoint health.

    It also applies the updates of the other routers.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of this router.
    loads : LoadTracker
    health : HealthTracker
    prompts : PromptLocations
    budgets : RetryBudgets
    clock : twisted.internet.interfaces.IReactorTime
    statements : LoadStatements
    held_prompts : HeldPrompts
    is_witness : callable
        Called with the name of an endpoint; returns whether what this router sees of it
        tells of the endpoint, not of the path to it.
    """

    __slots__ = (
        "_budgets",
        "_clock",
        "_data_centre",
        "_health",
        "_held_prompts",
        "_is_witness",
        "_loads",
        "_name",
        "_peers",
        "_prompts",
        "_refresh_s",
        "_statements",
        "_timer",
        "_was_empty",
    )

    def __init__(
        self,
        name,
        data_centre,
        loads,
        health,
        prompts,
        budgets,
        clock,
        statements,
        held_prompts,
        is_witness=lambda name: True,
    ):
        self._is_witness = is_witness
        self._statements = statements
        self._held_prompts = held_prompts
        self._budgets = budgets
        self._data_centre = data_centre
        self._clock = clock
        self._refresh_s = 0.0
        self._prompts = prompts
        self._name = name
        self._loads = loads
        self._health = health
        self._peers = None
        self._was_empty = True
        self._timer = None
        loads.on_change = health.on_change = self._schedule

    def join(self, peers):
        """Send and receive updates through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(LoadUpdate, self._apply)

    def _schedule(self):
        if self._timer is None:
            self._timer = self._clock.callLater(SEND_DELAY_S, self._send_changes)

    def _send_changes(self):
        """Broadcast an update if something changed since the last one."""
        self._timer = None
        if self._loads.has_unsent_changes or self._health.has_unsent_changes:
            self.send()

    def refresh(self):
        """Broadcast an update after failures, or before the last one times out."""
        if self._health.has_unsent_failures or self._clock.seconds() >= self._refresh_s:
            self.send()

    def send(self):
        """Broadcast an update, unless both this one and the last one are empty."""
        self._loads.has_unsent_changes = self._health.has_unsent_changes = False
        self._refresh_s = self._clock.seconds() + REFRESH_INTERVAL_S
        if self._peers is None:
            return
        loads = self._loads.generations()
        suspicions = self._of_witness(self._health.suspicions())
        outcomes = self._of_witness(self._health.collect_unreported())
        stated = self._statements.collect_unsent()
        is_empty = not (loads or suspicions or outcomes or stated)
        if is_empty and self._was_empty:
            return
        self._was_empty = is_empty
        prompts = self._prompts.running()
        self._peers.send_to_all(
            LoadUpdate(
                self._name,
                loads,
                suspicions,
                prompts,
                self._data_centre,
                outcomes,
                self._peers.member_list.own.incarnation,
                self._budgets.use(),
                stated,
                self._held_prompts.collect_untold(),
            )
        )

    def _of_witness(self, findings):
        return [each for each in findings if self._is_witness(each.name)]

    def _apply(self, message):
        self._loads.update(message.name, message.loads)
        self._statements.update(message.stated)
        self._held_prompts.update(message.read_parts)
        self._health.update(message.suspicions)
        if message.data_centre == self._data_centre:
            for outcomes in message.outcomes:
                self._health.add_outcomes(outcomes)
        for part, endpoint in message.prompts.items():
            self._prompts.update(part, endpoint)
        self._budgets.update(
            message.name, message.data_centre, message.epoch, message.retry_use
        )
