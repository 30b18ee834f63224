"""Limits that endpoints name for the requests of all routers together."""

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointLimited
from sesamearch.configuration.blackboard import Incarnation

__all__ = ["LimitStatement", "LimitTerms", "LimitTracker"]

# Statements that are kept; bounds the memory.
MAX_KEPT_STATEMENTS = 4096
# A statement that a limit has ended is kept for so long, so that an older one that
# arrives later does not bring the limit back.
KEPT_ENDED_S = 30.0
# What a process stated that is not listed is dropped after so long.
KEPT_UNLISTED_S = 60.0
# An endpoint that names malformed limits is logged once in this time.
WARNING_INTERVAL_S = 60.0


class LimitTerms(msgspec.Struct, frozen=True):
    """What a process asks of all routers together.

    Parameters
    ----------
    limit_per_s : float or None
        Requests a second; None for no limit.
    brittle_per_s : int or None
        Refusals a second that it bears, so that no more requests may be under way than
        it lets in; None if it bears any number.
    """

    limit_per_s: float | None = None
    brittle_per_s: int | None = None

    @property
    def is_any(self):
        """Bool : whether it asks for anything."""
        return self.limit_per_s is not None or self.brittle_per_s is not None

    @property
    def strictness(self):
        """Tuple of float : lower for what leaves less to the routers."""
        return _or_infinity(self.limit_per_s), _or_infinity(self.brittle_per_s)


def _or_infinity(number):
    return float("inf") if number is None else number


class LimitStatement(msgspec.Struct, frozen=True):
    """What an answer says of the limit of the process that gave it.

    Parameters
    ----------
    limit_per_s : float or None
        Requests a second; None for no limit.
    asked_s : float
        Time at which the request of the answer was sent, on this router's clock.
    heard_s : float
        Time at which the answer arrived, at this router or at another one.
    brittle_per_s : int or None
        Refusals a second that the process bears; None if it bears any number.
    """

    limit_per_s: float | None
    asked_s: float
    heard_s: float
    brittle_per_s: int | None = None

    @property
    def terms(self):
        """LimitTerms : what the process asks for."""
        return LimitTerms(self.limit_per_s, self.brittle_per_s)

    def replaces(self, known):
        """Return whether this statement is to be followed in place of a known one.

        An answer is newer than another one if its request was sent after that one had
        arrived. If the order is not known, the lower limit is followed.
        """
        if self.asked_s > known.heard_s:
            return True
        if known.asked_s > self.heard_s:
            return False
        return self.terms.strictness < known.terms.strictness


class LimitTracker:
    """Tracks which limits are in force, from answers to any router.

    A limit belongs to one process. It holds until a later answer of that process names
    another or none; a later process of the same name has none.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    counters : ForwardCounters

    Attributes
    ----------
    on_answer : callable or None
        Called with an :class:`Incarnation` and its :class:`LimitStatement` if an answer
        to this router has changed the limit.
    on_change : callable or None
        Called with an :class:`Incarnation` whose limit has begun, changed or ended.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_statements",
        "_warned_s",
        "on_answer",
        "on_change",
    )

    def __init__(self, clock, counters):
        self._clock = clock
        self._counters = counters
        self._statements = {}
        self._warned_s = {}
        self.on_answer = None
        self.on_change = None

    def note_answer(self, endpoint, answer, asked_s):
        """Record what an answer says of the limit.

        Parameters
        ----------
        endpoint : Endpoint
        answer : EndpointAnswer
        asked_s : float
            Time at which its request was sent.
        """
        terms = LimitTerms(answer.limit_per_s, answer.brittle_per_s)
        names_limit = terms.is_any or answer.unusable_limit
        if not names_limit and not self._statements:
            return
        incarnation = answer.incarnation_at(endpoint)
        if incarnation is None:
            return
        if answer.unusable_limit:
            self._warn(incarnation, answer)
        has_ended = not names_limit and self._shows_end(incarnation, answer)
        if terms.is_any or has_ended:
            now_s = self._clock.seconds()
            statement = LimitStatement(
                answer.limit_per_s, asked_s, now_s, answer.brittle_per_s
            )
            self._note_own(incarnation, statement)

    def _shows_end(self, incarnation, answer):
        """Return whether an answer without a limit says that there is none any more.

        Refusals, probes and malformed answers may lack what whole answers name.
        """
        return answer.is_signed and incarnation in self._statements

    def _note_own(self, incarnation, statement):
        known = self._statements.get(incarnation)
        if known is not None and known.terms == statement.terms:
            # What has ended is not renewed, so that it is forgotten.
            if known.terms.is_any and statement.heard_s > known.heard_s:
                self._statements[incarnation] = statement
            return
        if self._apply(incarnation, statement, "answer") and self.on_answer is not None:
            self.on_answer(incarnation, statement)

    def update(self, incarnation, statement):
        """Apply what another router heard."""
        if incarnation not in self._statements and not statement.terms.is_any:
            return
        self._apply(incarnation, statement, "peer")

    def _apply(self, incarnation, statement, source):
        """Follow a statement unless a known one holds; return whether it changes it."""
        known = self._statements.get(incarnation)
        if known is not None and not statement.replaces(known):
            return False
        self._statements[incarnation] = statement
        if len(self._statements) > MAX_KEPT_STATEMENTS:
            dropped = next(iter(self._statements))
            del self._statements[dropped]
            logger.warning("too many limits are known, dropped that of {}", dropped)
        before = known.terms if known is not None else LimitTerms()
        if before == statement.terms:
            return False
        self._counters.limit_changes += 1
        self._log(incarnation, before, statement, source)
        if self.on_change is not None:
            self.on_change(incarnation)
        return True

    def _log(self, incarnation, before, statement, source):
        state = "changed" if before.is_any else "limited"
        if not statement.terms.is_any:
            state = "ended"
        age_ms = round((self._clock.seconds() - statement.heard_s) * 1000)
        logger.info(
            EndpointLimited(
                incarnation.name,
                state,
                statement.limit_per_s,
                source,
                age_ms,
                statement.brittle_per_s,
            )
        )

    def _warn(self, incarnation, answer):
        now_s = self._clock.seconds()
        warned_s = self._warned_s.get(incarnation, float("-inf"))
        if now_s - warned_s < WARNING_INTERVAL_S:
            return
        self._warned_s[incarnation] = now_s
        logger.warning(
            "malformed limit ignored endpoint={} stated={!r}",
            incarnation.name,
            answer.unusable_limit,
        )

    def find(self, endpoint):
        """Return the :class:`LimitStatement` about an endpoint's process, or None."""
        if not self._statements:
            return None
        return self._statements.get(self.key_of(endpoint))

    def key_of(self, endpoint):
        """Return the :class:`Incarnation` under which an endpoint's limit is known.

        A statement without a start time is of any process of the name.
        """
        if endpoint.incarnation in self._statements:
            return endpoint.incarnation
        return Incarnation(endpoint.name, 0)

    def terms_of(self, incarnation):
        """Return the :class:`LimitTerms` of a process."""
        statement = self._statements.get(incarnation)
        return statement.terms if statement is not None else LimitTerms()

    def limit_per_s(self, endpoint):
        """Return the limit of an endpoint, or None if it has none."""
        statement = self.find(endpoint)
        return statement.limit_per_s if statement is not None else None

    def is_limited(self, endpoint):
        """Return whether an endpoint has a limit, or is brittle."""
        statement = self.find(endpoint)
        return statement is not None and statement.terms.is_any

    @property
    def has_any(self):
        """Bool : whether any limit is in force or has ended lately."""
        return bool(self._statements)

    @property
    def statements(self):
        """Dict from Incarnation to LimitStatement : those of ended limits included."""
        return dict(self._statements)

    @property
    def limited(self):
        """Set of Incarnation : the processes that have a limit."""
        kept = self._statements.items()
        return {key for key, each in kept if each.terms.is_any}

    @property
    def active_count(self):
        """Int : number of endpoints that have a limit."""
        return len(self.limited)

    def drop_expired(self, endpoints):
        """Drop what is no longer needed; called at intervals.

        Parameters
        ----------
        endpoints : dict from str to Endpoint
            The listed endpoints by name.
        """
        now_s = self._clock.seconds()
        for incarnation, statement in list(self._statements.items()):
            listed = endpoints.get(incarnation.name)
            age_s = now_s - statement.heard_s
            if listed is not None and listed.born_ms > incarnation.born_ms > 0:
                self._drop_replaced(incarnation, statement)
            elif listed is None and age_s > KEPT_UNLISTED_S:
                del self._statements[incarnation]
            elif not statement.terms.is_any and age_s > KEPT_ENDED_S:
                del self._statements[incarnation]
        oldest_s = now_s - WARNING_INTERVAL_S
        self._warned_s = {i: s for i, s in self._warned_s.items() if s > oldest_s}

    def _drop_replaced(self, incarnation, statement):
        """Drop what a process stated that another one of its name has replaced."""
        del self._statements[incarnation]
        if statement.terms.is_any:
            ended = msgspec.structs.replace(
                statement, limit_per_s=None, brittle_per_s=None
            )
            self._log(incarnation, statement.terms, ended, "list")
