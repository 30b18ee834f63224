"""Suspicion that the engine of a running try is lost, because it is silent."""

import enum
from typing import Protocol

from automat import TypeMachineBuilder

from sesamearch.base.log import logger
from sesamearch.base.record import TrySuspected

__all__ = ["Obstacle", "TrySuspicion"]

# Interval at which another engine is looked for while a suspected try is kept.
SEARCH_INTERVAL_S = 0.2


class Obstacle(enum.Enum):
    """Why no other engine takes over from a suspected try."""

    NO_ENGINE = "no_engine"
    NO_BUDGET = "no_budget"
    NO_ATTEMPTS = "no_attempts"
    NO_EVENT_NUMBERS = "no_event_numbers"
    QUARANTINED = "quarantined"
    REFUSED = "refused"
    NO_PERMIT = "no_permit"


class _Inputs(Protocol):
    def fell_silent(self) -> None:
        """Handle a stall, or a probe without an answer."""

    def answered(self) -> None:
        """Handle an event or an answered probe."""

    def ended(self) -> None:
        """Handle the end of the try."""


class _Core(Protocol):
    def begin(self) -> None:
        """Begin to suspect the try."""

    def clear(self) -> None:
        """Trust the try again, because its engine answered."""

    def end(self) -> None:
        """Forget the try."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, _Core)
    trusted = builder.state("trusted")
    suspected = builder.state("suspected")
    trusted.upon(_Inputs.answered).loop().returns(None)
    trusted.upon(_Inputs.ended).loop().returns(None)
    suspected.upon(_Inputs.fell_silent).loop().returns(None)

    @trusted.upon(_Inputs.fell_silent).to(suspected)
    def begin(inputs, core):
        core.begin()

    @suspected.upon(_Inputs.answered).to(trusted)
    def clear(inputs, core):
        core.clear()

    @suspected.upon(_Inputs.ended).to(trusted)
    def end(inputs, core):
        core.end()

    return builder.build()


class TrySuspicion:
    """Whether the engine of a generation's current try is suspected to be lost.

    A suspected try stays in use until another engine takes over, and is trusted again
    if its engine answers::

        trusted --fell_silent--> suspected --answered--> trusted
                                 suspected --ended--> trusted

    A try ends when it is replaced, lost or complete.

    Parameters
    ----------
    tools : ForwardTools
    request_id : str

    Attributes
    ----------
    is_on : bool
        Whether the current try is suspected.
    cause : str
        ``stalled`` or ``silent``.
    """

    __slots__ = (
        "_attempt",
        "_began_s",
        "_machine",
        "_obstacle",
        "_request_id",
        "_search_due_s",
        "_tools",
        "cause",
        "is_on",
    )

    def __init__(self, tools, request_id):
        self._tools = tools
        self._request_id = request_id
        self._machine = _machine(self)
        self._attempt = None
        self._obstacle = None
        self._began_s = 0.0
        self._search_due_s = 0.0
        self.cause = ""
        self.is_on = False

    # Inputs.

    def note_silent(self, attempt, cause):
        """Suspect a try whose engine stalled or did not answer a probe."""
        self._attempt = attempt
        self.cause = cause
        attempt.report_unreachable()
        self._machine.fell_silent()

    def note_answer(self):
        """Trust the try again after an event or an answered probe."""
        self._machine.answered()

    def note_replaced(self):
        """Record that another engine takes over."""
        self._log("replaced")
        self._machine.ended()

    def note_ended(self):
        """Record that the try was lost or is complete."""
        self._machine.ended()

    # Outputs.

    def begin(self):
        """Begin to suspect the try."""
        self.is_on = True
        self._began_s = self._now_s()
        self._search_due_s = self._began_s
        self._obstacle = None

    def clear(self):
        """Trust the try and its engine again."""
        endpoint = self._attempt.endpoint
        self._tools.health.note_alive(endpoint.name)
        self._tools.outages.note_alive(endpoint)
        self._log("answered")
        self.end()

    def end(self):
        """Forget the try."""
        self.is_on = False
        self._attempt = None

    # Search for another engine.

    @property
    def is_search_due(self):
        """Bool : whether to look for another engine now."""
        return self.is_on and self._now_s() >= self._search_due_s

    def keep(self, obstacle):
        """Keep the try for now, because no other engine can take over.

        Parameters
        ----------
        obstacle : Obstacle
        """
        self._search_due_s = self._now_s() + SEARCH_INTERVAL_S
        if self._obstacle is None:
            self._tools.counters.tries_kept += 1
        if obstacle is not self._obstacle:
            self._obstacle = obstacle
            self._log("kept", obstacle.value)

    def _now_s(self):
        return self._tools.clock.seconds()

    def _log(self, state, obstacle=""):
        logger.info(
            TrySuspected(
                self._request_id,
                self._attempt.endpoint.name,
                self._attempt.number,
                self.cause,
                state,
                round((self._now_s() - self._began_s) * 1000),
                obstacle,
            )
        )


_machine = _build_machine()
