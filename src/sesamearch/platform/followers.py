"""Followers that decode the values of the platform's keys and apply them."""

from twisted.internet.defer import DeferredList
from twisted.internet.task import deferLater

from sesamearch.base.log import logger
from sesamearch.base.record import ConfigurationInForce
from sesamearch.configuration.follower import Follower
from sesamearch.platform.configuration import CONFIGURATION_KEY, decode_configuration
from sesamearch.platform.endpoints import ENDPOINT_PREFIX, decode_endpoint
from sesamearch.platform.quarantine import QUARANTINE_PREFIX, decode_quarantine
from sesamearch.platform.rollout import (
    ORDER_PREFIX,
    STATUS_PREFIX,
    decode_order,
    decode_outcome,
)
from sesamearch.store.store import StoreRevision

__all__ = [
    "OperatorFollower",
    "OutcomeFollower",
    "QuarantineFollower",
    "ServerFollower",
]

OPERATOR_PREFIX = b"op/"
MAX_RETRY_DELAY_S = 1.0
# A watch also ends when the store drops its history, and what changes until the next
# read is late.
FIRST_RETRY_DELAY_S = 0.1
# A router that starts waits so long for what the store holds of rejected versions.
MAX_STANDINGS_WAIT_S = 0.3
# Most routers join a relay within this time after their start and need no watch.
FIRST_WATCH_DELAY_S = 1.0


class OperatorFollower(Follower):
    """Follows the keys that operators write: the configuration and rollout orders.

    Parameters
    ----------
    store : Store
    board : Blackboard
    rollout_controller : RolloutController
    clock : twisted.internet.interfaces.IReactorTime
    """

    def __init__(self, store, board, rollout_controller, clock):
        super().__init__(
            store,
            OPERATOR_PREFIX,
            clock,
            MAX_RETRY_DELAY_S,
            FIRST_WATCH_DELAY_S,
            FIRST_RETRY_DELAY_S,
        )
        self._board = board
        self._rollout_controller = rollout_controller
        self._last_value = None
        self._is_waiting = False

    def apply_snapshot(self, items):
        """Apply the rollout orders, and the configuration if it changed.

        The first configuration, with which requests can be served, waits until it is
        known which versions earlier orders rejected.
        """
        read = self._apply_orders(items)
        if read is not None and self._last_value is None:
            self._is_waiting = True
            waited = deferLater(self._clock, MAX_STANDINGS_WAIT_S)
            first = DeferredList([read, waited], fireOnOneCallback=True)
            first.addCallback(self._end_wait)
        elif not self._is_waiting:
            self._apply_configuration(items)

    def _end_wait(self, _):
        self._is_waiting = False
        self._apply_configuration(self._items)

    def _apply_orders(self, items):
        orders = []
        for key, value in items.items():
            if not key.startswith(ORDER_PREFIX):
                continue
            decoded = decode_order(value, StoreRevision(self.era, self.revisions[key]))
            if decoded.is_err():
                logger.error("cannot decode rollout order: {}", decoded.unwrap_err())
            else:
                orders.append(decoded.unwrap())
        return self._rollout_controller.apply_orders(orders)

    def _apply_configuration(self, items):
        value = items.get(CONFIGURATION_KEY)
        if value is None or value == self._last_value:
            return
        self._last_value = value
        decoded = decode_configuration(value)
        if decoded.is_err():
            logger.error(
                "cannot decode configuration, keeping current: {}", decoded.unwrap_err()
            )
            return
        table = decoded.unwrap()
        if self._board.accept_configuration(table):
            logger.info(
                ConfigurationInForce(
                    table.revision,
                    "store",
                    len(table.routes),
                    len(table.organisations),
                )
            )


class OutcomeFollower(Follower):
    """Follows the stored states of rollouts.

    Parameters
    ----------
    store : Store
    rollout_controller : RolloutController
    clock : twisted.internet.interfaces.IReactorTime
    """

    def __init__(self, store, rollout_controller, clock):
        super().__init__(store, STATUS_PREFIX, clock, MAX_RETRY_DELAY_S)
        self._rollout_controller = rollout_controller
        self._applied_era = None

    def apply_snapshot(self, items):
        """Apply the states that can be decoded; replace those that a restore lost."""
        decoded = [
            decode_outcome(key, value, StoreRevision(self.era, self.revisions[key]))
            for key, value in items.items()
        ]
        self._rollout_controller.apply_outcomes(
            [r.unwrap() for r in decoded if r.is_ok()]
        )
        if self._applied_era not in (None, self.era):
            self._rollout_controller.write_states_again()
        self._applied_era = self.era


class QuarantineFollower(Follower):
    """Follows the stored quarantines of prompts.

    Parameters
    ----------
    store : Store
    quarantine : QuarantineController
    clock : twisted.internet.interfaces.IReactorTime
    """

    def __init__(self, store, quarantine, clock):
        # Routers tell each other of quarantines; the stored ones are for later starts.
        super().__init__(
            store, QUARANTINE_PREFIX, clock, MAX_RETRY_DELAY_S, is_urgent=False
        )
        self._quarantine = quarantine

    def apply_snapshot(self, items):
        """Apply the quarantines that can be decoded."""
        found = []
        for key, value in items.items():
            decoded = decode_quarantine(value)
            if decoded.is_err():
                logger.warning(
                    "skipped invalid quarantine key={} fault={}",
                    key.decode(errors="replace"),
                    decoded.unwrap_err(),
                )
            else:
                found.append(decoded.unwrap())
        self._quarantine.update_stored(found)


class ServerFollower(Follower):
    """Follows the entries in which endpoints register themselves.

    Parameters
    ----------
    store : Store
    listing : EndpointListing
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    skipped_entries : int
        Number of invalid entries so far; an unchanged entry counts once.
    """

    def __init__(self, store, listing, clock):
        super().__init__(
            store,
            ENDPOINT_PREFIX,
            clock,
            MAX_RETRY_DELAY_S,
            FIRST_WATCH_DELAY_S,
            FIRST_RETRY_DELAY_S,
        )
        self._listing = listing
        self._decoded = {}
        self.skipped_entries = 0

    def apply_snapshot(self, items):
        """Pass the endpoints to the listing; skip invalid entries."""
        self._decoded = {
            (key, value): self._decoded.get((key, value)) or self._decode(key, value)
            for key, value in items.items()
        }
        found = [r.unwrap() for r in self._decoded.values() if r.is_ok()]
        endpoints = {endpoint.name: endpoint for endpoint in found}
        revision = StoreRevision(self.era, self.revision)
        self._listing.apply_snapshot(endpoints, revision)

    def _decode(self, key, value):
        decoded = decode_endpoint(key, value)
        if decoded.is_err():
            self.skipped_entries += 1
            logger.warning(
                "skipped invalid endpoint entry key={} fault={}",
                key.decode(errors="replace"),
                decoded.unwrap_err(),
            )
        return decoded
