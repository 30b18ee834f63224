"""Graceful shutdown: not ready, then refusing, then handing over, then gone."""

from typing import Protocol

import msgspec
from automat import TypeMachineBuilder

from sesamearch.base.log import logger

__all__ = ["Drain"]

POLL_INTERVAL_S = 0.1
SETTLE_TIMEOUT_S = 5.0


class _Inputs(Protocol):
    def asked(self) -> None:
        """Take a signal to stop."""

    def grace_passed(self) -> None:
        """Note that the balancer had time to see that this router is not ready."""

    def timed_out(self) -> None:
        """Note that the time for running generations is over."""

    def emptied(self) -> None:
        """Note that no request is left."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, Drain)
    serving = builder.state("serving")
    leaving = builder.state("leaving")
    refusing = builder.state("refusing")
    handing_over = builder.state("handing-over")
    stopped = builder.state("stopped")

    @serving.upon(_Inputs.asked).to(leaving)
    def leave(inputs, drain):
        drain._leave()

    @leaving.upon(_Inputs.grace_passed).to(refusing)
    def refuse(inputs, drain):
        drain._refuse()

    @leaving.upon(_Inputs.asked).to(handing_over)
    @refusing.upon(_Inputs.asked).to(handing_over)
    @refusing.upon(_Inputs.timed_out).to(handing_over)
    def hand_over(inputs, drain):
        drain._hand_over()

    @refusing.upon(_Inputs.emptied).to(stopped)
    @handing_over.upon(_Inputs.emptied).to(stopped)
    def stop(inputs, drain):
        drain._stop()

    for state in (handing_over, stopped):
        state.upon(_Inputs.asked).loop().returns(None)
        state.upon(_Inputs.grace_passed).loop().returns(None)
        state.upon(_Inputs.timed_out).loop().returns(None)
    leaving.upon(_Inputs.emptied).loop().returns(None)
    leaving.upon(_Inputs.timed_out).loop().returns(None)
    serving.upon(_Inputs.emptied).loop().returns(None)
    stopped.upon(_Inputs.emptied).loop().returns(None)
    return builder.build()


class Drain:
    """Shut a router down without cutting a request.

    :meth:`shut_down` begins; asking again hands generations over at once. Operations
    are always waited for: their own timeout bounds them.

    Parameters
    ----------
    board : Blackboard
    gateway : object with ``in_flight``, ``unsettled`` and ``hand_over()``
    settings : DrainSettings
    clock : twisted.internet.interfaces.IReactorTime
    on_refuse, on_stop : callable
        Called without arguments when no new connection is to be taken, and when
        the process can end.
    """

    __slots__ = (
        "_board",
        "_clock",
        "_gateway",
        "_life",
        "_on_refuse",
        "_on_stop",
        "_settings",
        "_settle_until_s",
    )

    def __init__(self, board, gateway, settings, clock, on_refuse, on_stop):
        self._board = board
        self._gateway = gateway
        self._settings = settings
        self._clock = clock
        self._on_refuse = on_refuse
        self._on_stop = on_stop
        self._settle_until_s = None
        self._life = _machine(self)

    def shut_down(self):
        """Begin to shut down, or hand over at once if that has begun."""
        self._life.asked()

    def _write(self, **changes):
        phase = self._board.drain.value
        self._board.drain.write(msgspec.structs.replace(phase, **changes))

    def _leave(self):
        timeout_s = self._settings.timeout_s
        self._write(draining=True, hand_over_s=self._clock.seconds() + timeout_s)
        logger.info("drain leaving in_flight={}", self._gateway.in_flight)
        self._clock.callLater(self._settings.balancer_grace_s, self._life.grace_passed)

    def _refuse(self):
        self._write(refusing=True)
        self._on_refuse()
        logger.info("drain refusing in_flight={}", self._gateway.in_flight)
        self._poll()

    def _hand_over(self):
        if not self._board.drain.value.refusing:
            self._write(refusing=True)
            self._on_refuse()
            self._clock.callLater(0, self._poll)
        self._gateway.hand_over()
        logger.info("drain handing over in_flight={}", self._gateway.in_flight)

    def _poll(self):
        if self._gateway.in_flight == 0 and self._is_settled():
            self._life.emptied()
            return
        if self._clock.seconds() >= self._board.drain.value.hand_over_s:
            self._life.timed_out()
        self._clock.callLater(POLL_INTERVAL_S, self._poll)

    def _is_settled(self):
        """Return whether no outcome waits for the store, or has waited enough."""
        if self._gateway.unsettled == 0:
            return True
        now_s = self._clock.seconds()
        if self._settle_until_s is None:
            self._settle_until_s = now_s + SETTLE_TIMEOUT_S
        return now_s >= self._settle_until_s

    def _stop(self):
        logger.info("drain stopped")
        self._on_stop()


_machine = _build_machine()
