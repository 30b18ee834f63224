"""Graceful shutdown: report not ready, refuse requests, hand over, then stop."""

from typing import Protocol

import msgspec
from automat import TypeMachineBuilder

from sesamearch.base.log import logger

__all__ = ["Drain"]

POLL_INTERVAL_S = 0.1
SETTLE_TIMEOUT_S = 5.0


class _Inputs(Protocol):
    def shutdown_requested(self) -> None:
        """Start the shutdown, or hand generations over at once if it has started."""

    def grace_elapsed(self) -> None:
        """Refuse requests: the load balancer had time to notice "not ready"."""

    def timed_out(self) -> None:
        """Hand over the generations that are still running."""

    def all_finished(self) -> None:
        """Stop, since no request is in flight."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, Drain)
    serving = builder.state("serving")
    leaving = builder.state("leaving")
    refusing = builder.state("refusing")
    handing_over = builder.state("handing-over")
    stopped = builder.state("stopped")

    @serving.upon(_Inputs.shutdown_requested).to(leaving)
    def leave(inputs, drain):
        drain._leave()

    @leaving.upon(_Inputs.grace_elapsed).to(refusing)
    def refuse(inputs, drain):
        drain._refuse()

    @leaving.upon(_Inputs.shutdown_requested).to(handing_over)
    @refusing.upon(_Inputs.shutdown_requested).to(handing_over)
    @refusing.upon(_Inputs.timed_out).to(handing_over)
    def hand_over(inputs, drain):
        drain._hand_over()

    @refusing.upon(_Inputs.all_finished).to(stopped)
    @handing_over.upon(_Inputs.all_finished).to(stopped)
    def stop(inputs, drain):
        drain._stop()

    for state in (handing_over, stopped):
        state.upon(_Inputs.shutdown_requested).loop().returns(None)
        state.upon(_Inputs.grace_elapsed).loop().returns(None)
        state.upon(_Inputs.timed_out).loop().returns(None)
    leaving.upon(_Inputs.all_finished).loop().returns(None)
    leaving.upon(_Inputs.timed_out).loop().returns(None)
    serving.upon(_Inputs.all_finished).loop().returns(None)
    stopped.upon(_Inputs.all_finished).loop().returns(None)
    return builder.build()


class Drain:
    """Shuts a router down without interrupting requests.

    :meth:`shut_down` starts the shutdown; a second call hands generations over at once.
    Operations are never interrupted; their own timeout limits them.

    Parameters
    ----------
    board : Blackboard
    gateway : object with ``in_flight``, ``unsettled`` and ``hand_over()``
        Number of requests without a final answer, number of claims and outcomes that
        the store has not confirmed, and a method that ends all generations so that
        their callers resume them at another router.
    settings : DrainSettings
    clock : twisted.internet.interfaces.IReactorTime
    on_refuse, on_stop : callable
        Called without arguments when the router starts to refuse requests, and when
        the process can exit.
    """

    __slots__ = (
        "_board",
        "_clock",
        "_gateway",
        "_lifecycle",
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
        self._lifecycle = _machine(self)

    def shut_down(self):
        """Start the shutdown, or hand generations over at once if it has started."""
        self._lifecycle.shutdown_requested()

    def _write(self, **changes):
        phase = self._board.drain.value
        self._board.drain.write(msgspec.structs.replace(phase, **changes))

    def _leave(self):
        timeout_s = self._settings.timeout_s
        self._write(draining=True, hand_over_s=self._clock.seconds() + timeout_s)
        logger.info("shutdown started in_flight={}", self._gateway.in_flight)
        self._clock.callLater(
            self._settings.balancer_grace_s, self._lifecycle.grace_elapsed
        )

    def _refuse(self):
        self._write(refusing=True)
        self._on_refuse()
        logger.info("refusing new requests in_flight={}", self._gateway.in_flight)
        self._poll()

    def _hand_over(self):
        if not self._board.drain.value.refusing:
            self._write(refusing=True)
            self._on_refuse()
            self._clock.callLater(0, self._poll)
        self._gateway.hand_over()
        logger.info("handing generations over in_flight={}", self._gateway.in_flight)

    def _poll(self):
        if self._gateway.in_flight == 0 and self._is_settled():
            self._lifecycle.all_finished()
            return
        if self._clock.seconds() >= self._board.drain.value.hand_over_s:
            self._lifecycle.timed_out()
        self._clock.callLater(POLL_INTERVAL_S, self._poll)

    def _is_settled(self):
        """Return whether all outcomes are stored or ``SETTLE_TIMEOUT_S`` has passed."""
        if self._gateway.unsettled == 0:
            return True
        now_s = self._clock.seconds()
        if self._settle_until_s is None:
            self._settle_until_s = now_s + SETTLE_TIMEOUT_S
        return now_s >= self._settle_until_s

    def _stop(self):
        logger.info("shutdown complete")
        self._on_stop()


_machine = _build_machine()
