"""Decisions about requests and parts of prompts under which endpoints end."""

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import QuarantineChanged
from sesamearch.quarantine.entry import Quarantine
from sesamearch.quarantine.evidence import SUSPECT_SCORE, LossEvidence
from sesamearch.quarantine.fingerprint import RequestFingerprints
from sesamearch.quarantine.loss import EndpointLoss

__all__ = ["QuarantineController", "retry_after_s"]

# One request is let through after each of these times, to learn whether it is over.
# After the last one, only an operator ends the quarantine. Callers that are refused are
# told to come back after the same time.
TRIAL_DELAYS_S = (60.0, 600.0, 3600.0)
TRIAL_RETRY_DELAY_S = 5.0
# Score beyond that of a suspect from which fewer parts replace a quarantine of more.
# Most often an endpoint has run the others by then.
NARROWING_SCORE = 2.0
# A router that learns of a loss from another one leaves the decision to that one for a
# random time up to this.
MIN_DECISION_DELAY_S = 0.05
MAX_DECISION_DELAY_S = 0.3
MAX_ENTRIES = 1024
# Lifted quarantines are repeated to the other routers for so long.
NEWS_LIFETIME_S = 30.0
# A router that has seen endpoints run a part for which another one reports losses
# says so after a random time up to this, unless a third one does before.
MAX_HISTORY_DELAY_S = 0.15
HISTORY_REPEAT_S = 30.0


def retry_after_s(quarantine):
    """Return the time after which a request that is refused may come back."""
    return TRIAL_DELAYS_S[min(quarantine.trials, len(TRIAL_DELAYS_S) - 1)]


class _Trial:
    """Right to send one request that is refused otherwise."""

    __slots__ = ("request_id",)

    def __init__(self):
        self.request_id = None


class QuarantineController:
    """Decides which requests are refused, because endpoints end under them.

    A quarantine begins when the losses of all routers make some parts suspect. It ends
    when an endpoint has run these parts, which only a request can show that was
    under way or is let through as a trial, or when an operator lifts it.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    register : QuarantineRegister
    counters : ForwardCounters
    rng : random.Random

    Attributes
    ----------
    fingerprints : RequestFingerprints
    on_loss, on_written, on_alive : callable
        Called with an :class:`EndpointLoss`, with a list of parts that losses had
        counted against, or with the incarnation of an endpoint that has not ended, if
        this router saw it itself.
    on_history : callable
        Called with a list of parts that were written before others reported losses.
    on_decision : callable
        Called with each :class:`Quarantine` that this router changed.
    on_begin : callable
        Called without arguments when more prompts are refused than before.
    """

    __slots__ = (
        "_changed_s",
        "_claiming",
        "_clock",
        "_counters",
        "_decision",
        "_entries",
        "_evidence",
        "_history_timer",
        "_history_told_s",
        "_keys",
        "_random",
        "_register",
        "_trials",
        "_undecided",
        "_unstored",
        "_untold",
        "fingerprints",
        "on_alive",
        "on_begin",
        "on_decision",
        "on_history",
        "on_loss",
        "on_written",
    )

    def __init__(self, clock, register, counters, rng):
        self._clock = clock
        self._register = register
        self._counters = counters
        self._random = rng
        self._evidence = LossEvidence(clock)
        self.fingerprints = RequestFingerprints()
        self._entries = {}
        self._changed_s = {}
        # Keys of the active entries.
        self._keys = []
        self._trials = {}
        self._claiming = set()
        self._unstored = set()
        self._undecided = set()
        self._decision = None
        self._untold = set()
        self._history_told_s = {}
        self._history_timer = None
        self.on_loss = self.on_written = self.on_alive = lambda item: None
        self.on_history = lambda parts: None
        self.on_decision = lambda quarantine: None
        self.on_begin = lambda: None

    @property
    def active_count(self):
        """Int : number of quarantines in force."""
        return len(self._keys)

    @property
    def entries(self):
        """List of Quarantine : all known entries, those that were lifted included."""
        return list(self._entries.values())

    @property
    def news(self):
        """List of Quarantine : entries that are active or were lifted lately."""
        since_s = self._clock.seconds() - NEWS_LIFETIME_S
        return [
            entry
            for key, entry in self._entries.items()
            if entry.is_active or self._changed_s[key] > since_s
        ]

    # Requests.

    def parts_of(self, request, organisation):
        """List what other requests may share with one: prompt parts, and all of it.

        Parameters
        ----------
        request : CallerRequest
        organisation : str
            Name of the caller's organisation; empty on a public route.

        Returns
        -------
        list of str
            Names of the parts of its prompt that other requests may share, and of the
            whole request.
        """
        name = self.fingerprints.name(request, organisation)
        return [*request.shared_parts, name] if name else request.shared_parts

    def find(self, parts, request_id):
        """Find the quarantine by which a request is refused.

        Parameters
        ----------
        parts : list of str
            Parts of its prompt that other requests may share.
        request_id : str

        Returns
        -------
        Quarantine or None
        """
        for key in self._keys:
            if key.issubset(parts) and not self._is_trial(key, request_id):
                return self._entries[key]
        return None

    def _is_trial(self, key, request_id):
        trial = self._trials.get(key)
        if trial is None:
            self._claim_trial(key)
            return False
        if trial.request_id is None:
            trial.request_id = request_id
        return trial.request_id == request_id

    def note_sent(self, request_id):
        """Record a send: a trial is sent to one endpoint only."""
        for key, trial in list(self._trials.items()):
            if trial.request_id == request_id:
                del self._trials[key]

    def note_over(self, request_id):
        """Record the end of a request: a trial that was not sent is another one's."""
        for trial in self._trials.values():
            if trial.request_id == request_id:
                trial.request_id = None

    def note_lost(self, endpoint, request_id, parts, was_writing):
        """Count a request that was lost with its endpoint before it got under way.

        Parameters
        ----------
        endpoint : Endpoint
        request_id : str
        parts : list of str
            See :meth:`parts_of`.
        was_writing : bool
            Whether the endpoint had just begun to write the answer.
        """
        if not parts:
            return
        loss = EndpointLoss(
            endpoint.incarnation, request_id, parts, was_writing, endpoint.service
        )
        self.on_loss(loss)
        self._untold.update(filter(self._has_news_of, parts))
        self._tell_history()
        self._evidence.add(loss)
        self._decide(parts)

    def note_written(self, parts):
        """Record that an endpoint has run a request, or writes on it for some time."""
        counted = self._evidence.note_written(parts)
        if counted:
            self.on_written(counted)
        self._narrow(parts)

    def note_alive(self, endpoint, sent_s):
        """Record that an endpoint still answers a try that was sent at `sent_s`."""
        if not self._evidence.has_ends:
            return
        incarnation = endpoint.incarnation
        if self._evidence.disproves_end(incarnation, sent_s):
            self._evidence.discard(incarnation)
            self.on_alive(incarnation)

    # Reports of other routers.

    def add_loss(self, loss):
        """Count an :class:`EndpointLoss` that another router saw."""
        self._evidence.add(loss)
        self._undecided.update(loss.parts)
        if self._decision is None:
            delay_s = self._random.uniform(MIN_DECISION_DELAY_S, MAX_DECISION_DELAY_S)
            self._decision = self._clock.callLater(delay_s, self._decide_later)
        self._untold.update(filter(self._has_news_of, loss.parts))
        if self._untold and self._history_timer is None:
            delay_s = self._random.uniform(0.0, MAX_HISTORY_DELAY_S)
            self._history_timer = self._clock.callLater(delay_s, self._tell_history)

    def _has_news_of(self, part):
        told_s = self._history_told_s.get(part, float("-inf"))
        is_old = self._clock.seconds() - told_s > HISTORY_REPEAT_S
        return is_old and self._evidence.has_history(part)

    def _tell_history(self):
        if self._history_timer is not None and self._history_timer.active():
            self._history_timer.cancel()
        self._history_timer = None
        untold, self._untold = self._untold, set()
        if untold:
            self._note_told(untold)
            self.on_history(sorted(untold))

    def _note_told(self, parts):
        now_s = self._clock.seconds()
        self._history_told_s = {
            part: told_s
            for part, told_s in self._history_told_s.items()
            if now_s - told_s <= HISTORY_REPEAT_S
        }
        self._history_told_s.update(dict.fromkeys(parts, now_s))
        self._untold.difference_update(parts)

    def add_written(self, parts):
        """Record parts that an endpoint has run for another router."""
        self._evidence.note_written(parts)

    def add_history(self, parts):
        """Record parts that were written for another router before the losses."""
        self._evidence.note_history(parts)
        self._note_told(parts)

    def add_alive(self, incarnation):
        """Record that an endpoint has not ended, as another router saw."""
        self._evidence.discard(incarnation)

    def update(self, quarantine):
        """Apply a :class:`Quarantine` from another router or from the store."""
        if quarantine.supersedes(self._entries.get(quarantine.key)):
            self._apply(quarantine, "peer")

    def update_stored(self, quarantines):
        """Apply the stored entries, and store again what is missing there."""
        stored = {each.key: each for each in quarantines}
        for quarantine in quarantines:
            if quarantine.supersedes(self._entries.get(quarantine.key)):
                self._apply(quarantine, "store")
        for key, entry in self._entries.items():
            if entry.supersedes(stored.get(key)):
                self._unstored.add(key)

    # Decisions.

    def _decide_later(self):
        self._decision = None
        parts, self._undecided = self._undecided, set()
        self._decide(parts)

    def _decide(self, parts):
        suspect = self._evidence.find_suspect(parts, self._keys)
        if suspect is None or any(key <= suspect.parts for key in self._keys):
            return
        wider = [key for key in self._keys if suspect.parts < key]
        if wider and suspect.score < SUSPECT_SCORE + NARROWING_SCORE:
            return
        for key in (*wider, *suspect.cases):
            self._change(key, is_active=False)
        self._change(suspect.parts, is_active=True, suspect=suspect)

    def _narrow(self, parts):
        """Take parts that an endpoint has run out of the quarantines."""
        written = frozenset(parts)
        for key in [each for each in self._keys if not written.isdisjoint(each)]:
            self._change(key, is_active=False)
            rest = key - written
            if rest and not any(each <= rest for each in self._keys):
                self._change(rest, is_active=True)

    def _change(self, key, is_active, suspect=None):
        known = self._entries.get(key)
        change = known.change + 1 if known else 1
        trials = known.trials if known else 0
        entry = Quarantine(sorted(key), change, is_active, trials)
        self._unstored.add(key)
        self._apply(entry, "own", suspect)
        self.on_decision(entry)

    def _apply(self, entry, source, suspect=None):
        known = self._entries.get(entry.key)
        was_active = known is not None and known.is_active
        self._entries[entry.key] = entry
        self._changed_s[entry.key] = self._clock.seconds()
        self._keys = [key for key, each in self._entries.items() if each.is_active]
        if not entry.is_active:
            self._trials.pop(entry.key, None)
        if entry.is_active != was_active:
            self._log(entry, source, suspect)
        self._drop_surplus()
        if entry.is_active and not was_active:
            self._counters.quarantines += 1
            self.on_begin()

    def _drop_surplus(self):
        if len(self._entries) > MAX_ENTRIES:
            lifted = [key for key, each in self._entries.items() if not each.is_active]
            for key in lifted[:1]:
                del self._entries[key]

    def _log(self, entry, source, suspect):
        state = "active" if entry.is_active else "lifted"
        record = QuarantineChanged(
            entry.parts,
            state,
            source,
            entry.trials,
            round(suspect.score, 1) if suspect else None,
            suspect.ends if suspect else None,
            suspect.requests if suspect else None,
        )
        logger.warning(record)

    # Trials and storage.

    def _claim_trial(self, key):
        """Try to get the right to let one request through, if one is due."""
        entry = self._entries[key]
        if key in self._claiming or entry.trials >= len(TRIAL_DELAYS_S):
            return
        due_s = self._changed_s[key] + TRIAL_DELAYS_S[entry.trials]
        if self._clock.seconds() < due_s:
            return
        self._claiming.add(key)
        claimed = msgspec.structs.replace(
            entry, change=entry.change + 1, trials=entry.trials + 1
        )
        self._register.write(claimed).addCallback(self._handle_claim, claimed)

    def _handle_claim(self, result, claimed):
        key = claimed.key
        if result.is_err() or not result.unwrap():
            # The trial is another router's, or the store is away.
            self._clock.callLater(
                TRIAL_RETRY_DELAY_S, self._claiming.discard, claimed.key
            )
            return
        self._claiming.discard(key)
        known = self._entries.get(key)
        if known is not None and known.change > claimed.change:
            return
        self._trials[key] = _Trial()
        if claimed.supersedes(known):
            self._apply(claimed, "own")
        self.on_decision(claimed)

    def refresh(self):
        """Store what could not be stored before; called at intervals."""
        unstored, self._unstored = self._unstored, set()
        for key in unstored:
            entry = self._entries.get(key)
            if entry is not None:
                written = self._register.write(entry)
                written.addCallback(self._handle_write, key)

    def _handle_write(self, result, key):
        if result.is_err():
            self._unstored.add(key)
