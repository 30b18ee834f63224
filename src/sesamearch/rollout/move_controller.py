"""Controller of version moves in one router, whether or not it is the leader."""

import collections

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import logger
from sesamearch.configuration.follower import Follower
from sesamearch.membership.message import (
    SCHEMA_VERSION,
    BadVersionNotice,
    EvidenceReport,
)
from sesamearch.rollout.detector import FALSE_ALARM_RATIO, Detector
from sesamearch.rollout.leadership import LEADER_KEY, RENEW_INTERVAL_S
from sesamearch.rollout.move import POST_FINISH_WATCH_S, MovePlan, MoveRecord, MoveState
from sesamearch.routing.evidence import EvidenceCollector
from sesamearch.store.store import Comparison, Put

__all__ = [
    "MOVE_PREFIX",
    "MoveFollower",
    "MoveController",
    "abort_move",
    "read_moves",
    "start_move",
]

MOVE_PREFIX = b"/sesamearch/moves/"
RECORD_PREFIX = MOVE_PREFIX + b"service/"
WINDOW_S = 2.0
# Maximum number of cells that one move is expected to have. A cell is a combination of
# event, route and load level.
MAX_CELLS = 48


def record_key(service):
    """Return the store key of a service's move."""
    return RECORD_PREFIX + service.encode()


def _read_records(items):
    """Return the readable records of (key, value) pairs, by service."""
    records = {}
    for key, value in items:
        if not key.startswith(RECORD_PREFIX):
            continue
        try:
            record = MoveRecord.from_json(value)
        except msgspec.DecodeError as error:
            logger.error("cannot decode move record key={}: {}", key.decode(), error)
            continue
        records[record.service] = record
    return records


class MoveFollower(Follower):
    """Copies the moves in the store to the blackboard, and tracks the leader."""

    def __init__(self, store, board, clock):
        super().__init__(store, MOVE_PREFIX, clock)
        self._board = board
        self.leader = ""

    def apply_snapshot(self, items):
        """Update the leader's name and the blackboard's moves."""
        self.leader = items.get(LEADER_KEY, b"").decode().partition(" ")[0]
        records = _read_records(items.items())
        if records != self._board.moves.value:
            self._board.moves.write(records)


class _MoveEvidence:
    """Evidence on one move: this router's own, and that of all routers at the leader.

    Any router can veto a move, and so can the leader. Therefore half of the allowed
    false alarm ratio is divided among the routers; the leader gets the other half.
    """

    def __init__(self, record, routers):
        windows = (
            int((record.deadline_s + POST_FINISH_WATCH_S - record.started_s) / WINDOW_S)
            + 1
        )
        self.collector = EvidenceCollector(record.new_version, record.old_version)
        half_ratio = FALSE_ALARM_RATIO / 2
        self.local = Detector(windows, MAX_CELLS, half_ratio / routers)
        self.pooled = Detector(windows, MAX_CELLS, half_ratio)
        self.alarm = None


class VetoThresholds(msgspec.Struct, frozen=True):
    """Evidence needed for an alarm, in one router and at the leader."""

    local: float
    pooled: float


class MoveController:
    """Collects evidence on moves, vetoes bad versions, and leads moves if elected.

    Parameters
    ----------
    name : str
    board : Blackboard
    store : Store
    leadership : Leadership
    follower : MoveFollower
    peers : object with ``handle``, ``send_to`` and ``send_to_all``, or None
        Connection to the other routers.
    clock : twisted.internet.interfaces.IReactorTime
    is_candidate : callable
        Returns whether this router should try to become the leader.
    """

    def __init__(
        self, name, board, store, leadership, follower, peers, clock, is_candidate
    ):
        self._name = name
        self._board = board
        self._store = store
        self._leadership = leadership
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._is_candidate = is_candidate
        self._evidence = {}
        self._pending = collections.defaultdict(list)
        self._tickers = []
        self._is_stepping = False
        board.moves.listen(self._update_records)
        if peers is not None:
            peers.handle(EvidenceReport, self._receive_report)
            peers.handle(BadVersionNotice, self._receive_veto)

    def start(self):
        """Start to close windows and to renew the leadership periodically."""
        for function, interval_s in (
            (self.close_window, WINDOW_S),
            (self._renew, RENEW_INTERVAL_S),
        ):
            ticker = LoopingCall(function)
            ticker.clock = self._clock
            ticker.start(interval_s, now=False)
            self._tickers.append(ticker)

    def stop(self):
        """Stop what :meth:`start` started."""
        for ticker in self._tickers:
            ticker.stop()
        self._tickers = []

    def _renew(self):
        self._leadership.renew(self._is_candidate())

    def _update_records(self, records):
        routers = len(self._board.members.value) + 1
        live = {record.move_id: record for record in records.values()}
        self._evidence = {
            move_id: self._evidence.get(move_id) or _MoveEvidence(record, routers)
            for move_id, record in live.items()
        }
        self._board.rejected_moves.write(self._board.rejected_moves.value & live.keys())

    def veto_thresholds(self, move_id):
        """Return the :class:`VetoThresholds` of a move."""
        evidence = self._evidence[move_id]
        return VetoThresholds(evidence.local.threshold, evidence.pooled.threshold)

    def note(self, outcome):
        """Count an :class:`~sesamearch.routing.evidence.Outcome` of a request."""
        record = self._board.moves.value.get(outcome.service)
        if record is not None:
            self._evidence[record.move_id].collector.note(outcome)

    # Windows

    def close_window(self):
        """Evaluate and forward the window's evidence; as the leader, advance moves."""
        for record in list(self._board.moves.value.values()):
            if not record.is_over(self._clock.seconds()):
                self._close_window_of(record)
        if self._leadership.is_leading and not self._is_stepping:
            self._is_stepping = True
            Deferred.fromCoroutine(self._step()).addBoth(self._step_ended)

    def _close_window_of(self, record):
        evidence = self._evidence[record.move_id]
        cells = evidence.collector.close_window()
        alarm = evidence.local.add(cells)
        if alarm is not None:
            self._veto(record, alarm.to_text())
            evidence.alarm = evidence.alarm or alarm
        if self._leadership.is_leading:
            self._pending[record.move_id] += cells
        elif self._peers is not None and cells and self._follower.leader:
            report = EvidenceReport(SCHEMA_VERSION, record.move_id, cells)
            self._peers.send_to(self._follower.leader, report)

    def _veto(self, record, reason):
        if record.move_id in self._board.rejected_moves.value:
            return
        logger.warning("vetoed version {}: {}", record.new_version, reason)
        self._board.rejected_moves.write(
            self._board.rejected_moves.value | {record.move_id}
        )
        if self._peers is not None:
            self._peers.send_to_all(
                BadVersionNotice(SCHEMA_VERSION, record.move_id, reason)
            )

    def _receive_veto(self, message):
        for record in self._board.moves.value.values():
            if record.move_id == message.move_id:
                self._veto(record, message.reason)

    def _receive_report(self, message):
        if message.move_id in self._evidence and self._leadership.is_leading:
            self._pending[message.move_id] += message.cells

    # Leading

    def _step_ended(self, outcome):
        self._is_stepping = False
        return outcome

    async def _step(self):
        """Evaluate pending evidence, and advance each move by at most one step."""
        pending, self._pending = self._pending, collections.defaultdict(list)
        for move_id, cells in pending.items():
            evidence = self._evidence.get(move_id)
            if evidence is not None:
                evidence.alarm = (
                    evidence.pooled.add(_merge_cells(cells)) or evidence.alarm
                )
        read = await self._store.range(RECORD_PREFIX)
        if read.is_err():
            return
        for item in read.unwrap().items:
            for record in _read_records([(item.key, item.value)]).values():
                await self._step_move(record, item)

    async def _step_move(self, record, item):
        evidence = self._evidence.get(record.move_id)
        if evidence is None:
            return
        plan = MovePlan(record)
        now_s = self._clock.seconds()
        decision = plan.decide(now_s, evidence.pooled.new_requests, evidence.alarm)
        if decision is None or not self._leadership.is_leading:
            return
        changed = plan.apply(decision)
        if changed.state is MoveState.TAKEN_BACK and decision.reason:
            self._veto(record, decision.reason)
        written = await self._store.txn(
            [
                Comparison(LEADER_KEY, self._leadership.epoch),
                Comparison(item.key, item.mod_revision),
            ],
            [Put(item.key, changed.to_json())],
        )
        if written.is_ok() and written.unwrap().succeeded:
            logger.info(
                "move {} service={} share={} {}",
                changed.state.value,
                changed.service,
                changed.share_ratio,
                changed.reason,
            )


def _merge_cells(cells):
    """Add up the counts of all routers for each route, load level and event."""
    sums = {}
    for cell in cells:
        key = (cell.route, cell.load, cell.event)
        known = sums.get(key)
        sums[key] = cell if known is None else known.plus(cell)
    return list(sums.values())


# Operators


async def _read_move(store, service):
    """Return ``Result[tuple of record or None and revision, Problem]``."""
    read = await store.range(record_key(service))
    if read.is_err():
        return Err(Problem(ErrorKind.STORE_UNAVAILABLE, "cannot read the move"))
    for item in read.unwrap().items:
        if item.key == record_key(service):
            return Ok((MoveRecord.from_json(item.value), item.mod_revision))
    return Ok((None, 0))


async def _write_move(store, record, mod_revision):
    key = record_key(record.service)
    comparisons = [Comparison(key, mod_revision)]
    await store.txn(comparisons, [Put(key, record.to_json())])
    # The write may have succeeded without an answer, so the stored record decides.
    read = await _read_move(store, record.service)
    if read.is_err():
        return Err(
            Problem(
                ErrorKind.STORE_UNAVAILABLE,
                "the write may have succeeded; see move status",
            )
        )
    current, _ = read.unwrap()
    return Ok(record) if current == record else Err(_conflict(current))


def _conflict(current):
    if current is None:
        detail = "the write failed, and no move is stored"
        return Problem(ErrorKind.STORE_UNAVAILABLE, detail)
    detail = f"the stored move is by {current.operator}, state {current.state.value}"
    return Problem(ErrorKind.CONFIGURATION_CONFLICT, detail)


async def start_move(store, record):
    """Propose a move.

    Parameters
    ----------
    store : Store
    record : MoveRecord
        In the state ``PROPOSED``.

    Returns
    -------
    result.Result[MoveRecord, Problem]
        ``CONFIGURATION_CONFLICT`` if the service has a move in progress.
    """
    read = await _read_move(store, record.service)
    if read.is_err():
        return read
    current, mod_revision = read.unwrap()
    if current is not None and not current.state.is_final:
        return Err(_conflict(current))
    return await _write_move(store, record, mod_revision)


async def abort_move(store, service, operator):
    """Take back a move at an operator's request.

    Returns
    -------
    result.Result[MoveRecord, Problem]
    """
    read = await _read_move(store, service)
    if read.is_err():
        return read
    current, mod_revision = read.unwrap()
    if current is None or current.state.is_final:
        detail = "the service has no move in progress"
        return Err(Problem(ErrorKind.CONFIGURATION_MISSING, detail))
    record = msgspec.structs.replace(
        current,
        state=MoveState.TAKEN_BACK,
        share_ratio=0.0,
        reason=f"aborted by {operator}",
    )
    return await _write_move(store, record, mod_revision)


async def read_moves(store):
    """Return ``Result[list of MoveRecord, Problem]`` with all moves."""
    read = await store.range(RECORD_PREFIX)
    if read.is_err():
        return Err(Problem(ErrorKind.STORE_UNAVAILABLE, "cannot read the moves"))
    items = [(item.key, item.value) for item in read.unwrap().items]
    return Ok(list(_read_records(items).values()))
