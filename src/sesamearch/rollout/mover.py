"""The controller of version moves in one router, leader or not."""

import collections

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import logger
from sesamearch.configuration.follower import Follower
from sesamearch.membership.message import SCHEMA_VERSION, EvidenceReport, Veto
from sesamearch.rollout.detector import FALSE_ALARM_RATIO, Detector
from sesamearch.rollout.leadership import LEADER_KEY, RENEW_INTERVAL_S
from sesamearch.rollout.move import WATCH_S, MovePlan, MoveRecord, MoveState
from sesamearch.routing.evidence import EvidenceCollector
from sesamearch.store.store import Comparison, Put

__all__ = [
    "MOVE_PREFIX",
    "MoveFollower",
    "Mover",
    "abort_move",
    "read_moves",
    "start_move",
]

MOVE_PREFIX = b"/sesamearch/moves/"
RECORD_PREFIX = MOVE_PREFIX + b"service/"
WINDOW_S = 2.0
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
            logger.error("move unreadable key={} {}", key.decode(), error)
            continue
        records[record.service] = record
    return records


class MoveFollower(Follower):
    """Keeps the blackboard's moves equal to the store's, and knows the leader."""

    def __init__(self, store, board, clock):
        super().__init__(store, MOVE_PREFIX, clock)
        self._board = board
        self.leader = ""

    def apply_snapshot(self, items):
        """Write the moves."""
        self.leader = items.get(LEADER_KEY, b"").decode().partition(" ")[0]
        records = _read_records(items.items())
        if records != self._board.moves.value:
            self._board.moves.write(records)


class _Weighing:
    """Evidence on one move: this router's, and all routers' at the leader.

    Any router can stop a move and so can the leader: half of the allowed false
    alarms is shared among the routers, the other half is the leader's.
    """

    def __init__(self, record, routers):
        windows = int((record.deadline_s + WATCH_S - record.started_s) / WINDOW_S) + 1
        self.collector = EvidenceCollector(record.new_version, record.old_version)
        half_ratio = FALSE_ALARM_RATIO / 2
        self.own = Detector(windows, MAX_CELLS, half_ratio / routers)
        self.pooled = Detector(windows, MAX_CELLS, half_ratio)
        self.call = None


class VetoLimits(msgspec.Struct, frozen=True):
    """What the evidence must reach for a call, in one router and at the leader."""

    own: float
    pooled: float


class Mover:
    """Collect evidence, veto what this router sees fail, and lead if elected.

    Parameters
    ----------
    name : str
    board : Blackboard
    store : Store
    leadership : Leadership
    follower : MoveFollower
    peers : object with ``handle``, ``send_to`` and ``send_to_all``, or None
    clock : twisted.internet.interfaces.IReactorTime
    is_candidate : callable
        Tells whether this router should try to lead.
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
        self._weighings = {}
        self._pending = collections.defaultdict(list)
        self._tickers = []
        self._is_stepping = False
        board.moves.listen(self._take_records)
        if peers is not None:
            peers.handle(EvidenceReport, self._take_report)
            peers.handle(Veto, self._take_veto)

    def start(self):
        """Begin to close windows and to renew the leadership."""
        for function, interval_s in (
            (self.close_window, WINDOW_S),
            (self._renew, RENEW_INTERVAL_S),
        ):
            ticker = LoopingCall(function)
            ticker.clock = self._clock
            ticker.start(interval_s, now=False)
            self._tickers.append(ticker)

    def stop(self):
        """Stop both."""
        for ticker in self._tickers:
            ticker.stop()
        self._tickers = []

    def _renew(self):
        self._leadership.renew(self._is_candidate())

    def _take_records(self, records):
        routers = len(self._board.members.value) + 1
        live = {record.move_id: record for record in records.values()}
        self._weighings = {
            move_id: self._weighings.get(move_id) or _Weighing(record, routers)
            for move_id, record in live.items()
        }
        self._board.rejected_moves.write(self._board.rejected_moves.value & live.keys())

    def limits(self, move_id):
        """Return the :class:`VetoLimits` of a move."""
        weighing = self._weighings[move_id]
        return VetoLimits(weighing.own.limit, weighing.pooled.limit)

    def note(self, outcome):
        """Count an :class:`~sesamearch.routing.evidence.Outcome` of a request."""
        record = self._board.moves.value.get(outcome.service)
        if record is not None:
            self._weighings[record.move_id].collector.note(outcome)

    # Windows

    def close_window(self):
        """Weigh the window's evidence, hand it on, and step if leading."""
        for record in list(self._board.moves.value.values()):
            if not record.is_over(self._clock.seconds()):
                self._close_window_of(record)
        if self._leadership.is_leading and not self._is_stepping:
            self._is_stepping = True
            Deferred.fromCoroutine(self._step()).addBoth(self._stepped)

    def _close_window_of(self, record):
        weighing = self._weighings[record.move_id]
        cells = weighing.collector.close_window()
        call = weighing.own.add(cells)
        if call is not None:
            self._veto(record, call.show())
            weighing.call = weighing.call or call
        if self._leadership.is_leading:
            self._pending[record.move_id] += cells
        elif self._peers is not None and cells and self._follower.leader:
            report = EvidenceReport(SCHEMA_VERSION, record.move_id, cells)
            self._peers.send_to(self._follower.leader, report)

    def _veto(self, record, reason):
        if record.move_id in self._board.rejected_moves.value:
            return
        logger.warning("version vetoed {}: {}", record.new_version, reason)
        self._board.rejected_moves.write(
            self._board.rejected_moves.value | {record.move_id}
        )
        if self._peers is not None:
            self._peers.send_to_all(Veto(SCHEMA_VERSION, record.move_id, reason))

    def _take_veto(self, message):
        for record in self._board.moves.value.values():
            if record.move_id == message.move_id:
                self._veto(record, message.reason)

    def _take_report(self, message):
        if message.move_id in self._weighings and self._leadership.is_leading:
            self._pending[message.move_id] += message.cells

    # Leading

    def _stepped(self, outcome):
        self._is_stepping = False
        return outcome

    async def _step(self):
        """Take one step of each move, on what the store says now."""
        pending, self._pending = self._pending, collections.defaultdict(list)
        for move_id, cells in pending.items():
            weighing = self._weighings.get(move_id)
            if weighing is not None:
                weighing.call = weighing.pooled.add(_pool(cells)) or weighing.call
        read = await self._store.range(RECORD_PREFIX)
        if read.is_err():
            return
        for item in read.unwrap().items:
            for record in _read_records([(item.key, item.value)]).values():
                await self._step_move(record, item)

    async def _step_move(self, record, item):
        weighing = self._weighings.get(record.move_id)
        if weighing is None:
            return
        plan = MovePlan(record)
        now_s = self._clock.seconds()
        decision = plan.decide(now_s, weighing.pooled.new_requests, weighing.call)
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


def _pool(cells):
    """Add up the cells of all routers that are of the same kind."""
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
        return Err(Problem(ErrorKind.STORE_UNAVAILABLE, "reading the move"))
    for item in read.unwrap().items:
        if item.key == record_key(service):
            return Ok((MoveRecord.from_json(item.value), item.mod_revision))
    return Ok((None, 0))


async def _write_move(store, record, mod_revision):
    key = record_key(record.service)
    comparisons = [Comparison(key, mod_revision)]
    await store.txn(comparisons, [Put(key, record.to_json())])
    # The answer may have been lost: what stands there now decides.
    read = await _read_move(store, record.service)
    if read.is_err():
        return Err(Problem(ErrorKind.STORE_UNAVAILABLE, "ask again with move status"))
    present, _ = read.unwrap()
    return Ok(record) if present == record else Err(_conflict(present))


def _conflict(present):
    detail = f"another operator was first: {present.operator}, {present.state.value}"
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
        ``CONFIGURATION_CONFLICT`` if the service has a move under way.
    """
    read = await _read_move(store, record.service)
    if read.is_err():
        return read
    present, mod_revision = read.unwrap()
    if present is not None and not present.state.is_final:
        return Err(_conflict(present))
    return await _write_move(store, record, mod_revision)


async def abort_move(store, service, operator):
    """Take a move back by an operator's wish.

    Returns
    -------
    result.Result[MoveRecord, Problem]
    """
    read = await _read_move(store, service)
    if read.is_err():
        return read
    present, mod_revision = read.unwrap()
    if present is None or present.state.is_final:
        detail = "no move under way"
        return Err(Problem(ErrorKind.CONFIGURATION_MISSING, detail))
    record = msgspec.structs.replace(
        present,
        state=MoveState.TAKEN_BACK,
        share_ratio=0.0,
        reason=f"aborted by {operator}",
    )
    return await _write_move(store, record, mod_revision)


async def read_moves(store):
    """Return ``Result[list of MoveRecord, Problem]`` with all moves."""
    read = await store.range(RECORD_PREFIX)
    if read.is_err():
        return Err(Problem(ErrorKind.STORE_UNAVAILABLE, "reading the moves"))
    items = [(item.key, item.value) for item in read.unwrap().items]
    return Ok(list(_read_records(items).values()))
