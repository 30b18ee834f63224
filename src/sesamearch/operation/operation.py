"""Operations: calls of plain services that must run at most once."""

import uuid
from typing import Protocol

import msgspec
from automat import TypeMachineBuilder
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.operation.call import send_call
from sesamearch.operation.claim import Claim, ClaimState, claim_key, new_claim_id
from sesamearch.operation.plain import CallFailure, PlainReply

__all__ = ["OperationRequest", "OperationRunner", "OperationTools", "check_key"]

MAX_SENDS = 3
MAX_KEY_CHARACTERS = 255
MAX_STORED_REPLY_BYTES = 64 << 10
KEY_CLOCK_SKEW_S = 300.0
# An operation without an outcome counts as running until this long after the deadline
# in its claim, and as unknown from then on.
UNKNOWN_GRACE_S = 1.0
REPLAYED_HEADER = ("Sesame-Replayed", "true")
_MS = 1000
_UUID7_TIME_SHIFT = 80


class OperationRequest(msgspec.Struct, frozen=True):
    """A call that must run at most once.

    Parameters
    ----------
    service : PlainService
    version, organisation, idempotency_key : str
    request : PlainRequest
    fingerprint : str
        Digest of the request; the key is refused for any other request.
    deadline_s : float
        Unix time, on this process's clock.
    """

    service: object
    version: str
    organisation: str
    idempotency_key: str
    request: object
    fingerprint: str
    deadline_s: float

    @property
    def key(self):
        """Bytes : store key of the operation's claim."""
        return claim_key(self.service.service, self.organisation, self.idempotency_key)


class OperationTools(msgspec.Struct, frozen=True):
    """Dependencies that all operations of a router share.

    Parameters
    ----------
    calls : CallTools
    claims : ClaimWriter or ClaimRelay
    counters : Counters
    router : str
        Name of the router, which is stored in claims.
    """

    calls: object
    claims: object
    counters: object
    router: str


def check_key(service, key, now_s):
    """Check the form and age of an idempotency key.

    Parameters
    ----------
    service : PlainService
    key : str or None
    now_s : float
        Unix time.

    Returns
    -------
    result.Result[str, Problem]
        ``KEY_EXPIRED`` if the outcome of the key may no longer be stored, because the
        operation could then run a second time.
    """
    if not key:
        return Err(Problem(ErrorKind.KEY_REQUIRED))
    if len(key) > MAX_KEY_CHARACTERS:
        return Err(Problem(ErrorKind.KEY_INVALID, "too long"))
    if service.key_format == "any":
        return Ok(key)
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        return Err(Problem(ErrorKind.KEY_INVALID, "expected a version 7 UUID"))
    created_s = (parsed.int >> _UUID7_TIME_SHIFT) / _MS
    if created_s > now_s + KEY_CLOCK_SKEW_S:
        return Err(Problem(ErrorKind.KEY_INVALID, "its timestamp is in the future"))
    if created_s < now_s - service.key_retention_s:
        return Err(Problem(ErrorKind.KEY_EXPIRED, "its outcome is no longer stored"))
    return Ok(str(parsed))


class _Inputs(Protocol):
    def claimed(self) -> None:
        """Record that this router holds the claim."""

    def sent(self) -> None:
        """Record that the call is about to be sent."""

    def proved_not_run(self) -> None:
        """Record proof that the call sent last has not run."""

    def ended(self) -> None:
        """Record that the operation has ended."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, _Operation)
    claiming = builder.state("claiming")
    held = builder.state("held")
    sent = builder.state("sent")
    ended = builder.state("ended")
    # The call can be sent only in the state "held". After a call that may have run, the
    # state machine has no transition back to "held", so the call cannot be sent again.
    claiming.upon(_Inputs.claimed).to(held).returns(None)
    claiming.upon(_Inputs.ended).to(ended).returns(None)
    held.upon(_Inputs.sent).to(sent).returns(None)
    held.upon(_Inputs.ended).to(ended).returns(None)
    sent.upon(_Inputs.proved_not_run).to(held).returns(None)
    sent.upon(_Inputs.ended).to(ended).returns(None)
    return builder.build()


class _Operation:
    """One operation, from its claim to its final answer."""

    __slots__ = ("_request", "_state_machine", "_tools", "_tried")

    def __init__(self, request, tools):
        self._request = request
        self._tools = tools
        self._tried = set()
        self._state_machine = _machine(self)

    async def run(self):
        """Run the operation; return ``Result[PlainReply, Problem]``."""
        request = self._request
        claim = Claim(
            new_claim_id(),
            self._tools.router,
            request.fingerprint,
            ClaimState.CLAIMED,
            int(request.deadline_s * _MS),
        )
        outcome = await self._claim(claim)
        if outcome is None:
            self._state_machine.ended()
            return Err(self._timed_out())
        if outcome.held_claim is None:
            self._state_machine.ended()
            return self._refuse(outcome.existing)
        self._state_machine.claimed()
        result = await self._send_with_failover(outcome.held_claim)
        self._state_machine.ended()
        return result

    def _claim(self, claim):
        """Return a Deferred of the :class:`ClaimOutcome`; None at the deadline."""
        request, clock = self._request, self._tools.calls.clock
        in_time = Deferred()
        remaining_s = max(0.0, request.deadline_s - clock.seconds())
        timer = clock.callLater(remaining_s, in_time.callback, None)
        retention_s = request.service.key_retention_s
        claimed = self._tools.claims.claim(request.key, claim, retention_s)
        claimed.addCallback(self._handle_claim, timer, in_time)
        return in_time

    def _handle_claim(self, outcome, timer, in_time):
        if timer.active():
            timer.cancel()
            in_time.callback(outcome)
        elif outcome.held_claim is not None:
            self._tools.claims.settle(outcome.held_claim, ClaimState.NOT_RUN)

    def _timed_out(self):
        # The store did not say whether an earlier request with this key has run.
        return Problem(
            ErrorKind.TIMED_OUT,
            "the store did not answer in time",
            ask_again=outcome_path(self._request.service.service),
        )

    def _refuse(self, existing):
        if existing is None:
            return Err(
                Problem(ErrorKind.STORE_UNAVAILABLE, "operations need the store")
            )
        if existing.fingerprint not in ("", self._request.fingerprint):
            return Err(Problem(ErrorKind.KEY_REUSED))
        now_s = self._tools.calls.clock.seconds()
        return answer_from_claim(existing, self._request.service.service, now_s)

    async def _send_with_failover(self, held_claim):
        """Send the call; try another endpoint only if it has provably not run."""
        claims, problem = self._tools.claims, None
        for _ in range(MAX_SENDS):
            remaining_s = self._request.deadline_s - self._tools.calls.clock.seconds()
            endpoint = self._choose()
            if remaining_s <= 0:
                problem = Problem(ErrorKind.DEADLINE_PASSED)
            if remaining_s <= 0 or endpoint is None:
                break
            result = await self._send(endpoint, remaining_s)
            if result.is_ok():
                claims.settle(
                    held_claim, ClaimState.DONE, _encode_reply(result.unwrap())
                )
                return result
            if result.unwrap_err() is CallFailure.LOST:
                self._tools.counters.operations_unknown += 1
                return Err(unknown_outcome(self._request.service.service))
            self._state_machine.proved_not_run()
        claims.settle(held_claim, ClaimState.NOT_RUN)
        return Err(problem or Problem(ErrorKind.NO_ENDPOINT))

    def _choose(self):
        request = self._request
        endpoint = self._tools.calls.placement.choose(
            request.service.service, request.version, self._tried
        )
        if endpoint is not None:
            self._tried.add(endpoint.name)
        return endpoint

    async def _send(self, endpoint, timeout_s):
        self._state_machine.sent()
        return await send_call(
            self._tools.calls, endpoint, self._request.request, timeout_s
        )


_machine = _build_machine()


def _cancel_timer(outcome, timer):
    if timer.active():
        timer.cancel()
    return outcome


def _encode_reply(reply):
    if len(reply.body) > MAX_STORED_REPLY_BYTES:
        return msgspec.Raw(b"null")
    return msgspec.Raw(msgspec.json.encode(reply))


def outcome_path(service_name):
    """Return the path at which callers can read an operation's outcome."""
    return f"/operations/{service_name}"


def unknown_outcome(service_name):
    """Return the problem for an operation that may or may not have run."""
    return Problem(
        ErrorKind.OPERATION_UNKNOWN,
        "the operation may have run; it will not be sent again",
        ask_again=outcome_path(service_name),
    )


def answer_from_claim(claim, service_name, now_s):
    """Return the answer to a caller from the stored claim of an operation.

    Parameters
    ----------
    claim : Claim
    service_name : str
    now_s : float
        Unix time.

    Returns
    -------
    result.Result[PlainReply, Problem]
        The stored reply, marked as replayed; or a problem that says that the operation
        is running, ran without a stored reply, has not run, or has an unknown outcome.
    """
    if claim.state is ClaimState.DONE:
        reply = msgspec.json.decode(claim.reply, type=PlainReply | None)
        if reply is None:
            return Err(
                Problem(ErrorKind.OPERATION_RAN, "the reply was too large to store")
            )
        headers = [*reply.headers, REPLAYED_HEADER]
        return Ok(msgspec.structs.replace(reply, headers=headers))
    if claim.state is ClaimState.NOT_RUN:
        return Err(Problem(ErrorKind.OPERATION_NOT_RUN, retry_after_s=0))
    if now_s < claim.expires_ms / _MS + UNKNOWN_GRACE_S:
        again = outcome_path(service_name)
        return Err(Problem(ErrorKind.OPERATION_RUNNING, ask_again=again))
    return Err(unknown_outcome(service_name))


class _Running(msgspec.Struct):
    """An operation that runs in this process, and the callers that wait for it."""

    fingerprint: str
    waiters: list


class OperationRunner:
    """Runs operations, each at most once.

    Parameters
    ----------
    tools : OperationTools
    store : Store
        Read when a caller requests an outcome.
    """

    __slots__ = ("_running", "_store", "_tools")

    def __init__(self, tools, store):
        self._tools = tools
        self._store = store
        self._running = {}

    @property
    def unsettled(self):
        """Int : number of claims and outcomes that the store has not confirmed."""
        return self._tools.claims.unsettled

    def run(self, request):
        """Run an operation, or wait for it if it already runs in this process.

        Parameters
        ----------
        request : OperationRequest

        Returns
        -------
        Deferred of result.Result[PlainReply, Problem]
        """
        waiter = Deferred()
        running = self._running.get(request.key)
        if running is None:
            self._running[request.key] = _Running(request.fingerprint, [waiter])
            work = Deferred.fromCoroutine(_Operation(request, self._tools).run())
            work.addBoth(self._ended, request.key)
        elif running.fingerprint == request.fingerprint:
            running.waiters.append(waiter)
            self._limit_wait(waiter, request)
        else:
            waiter.callback(Err(Problem(ErrorKind.KEY_REUSED)))
        return waiter

    def _ended(self, outcome, key):
        for waiter in self._running.pop(key).waiters:
            if not waiter.called:
                waiter.callback(outcome)

    def _limit_wait(self, waiter, request):
        """Answer a caller that joined at its deadline, as its operation still runs."""
        clock = self._tools.calls.clock
        path = outcome_path(request.service.service)
        answer = Err(Problem(ErrorKind.OPERATION_RUNNING, ask_again=path))
        remaining_s = max(0.0, request.deadline_s - clock.seconds())
        timer = clock.callLater(remaining_s, waiter.callback, answer)
        waiter.addBoth(_cancel_timer, timer)

    def look_up(self, service, organisation, idempotency_key):
        """Return the outcome of an operation, without running it.

        Returns
        -------
        Deferred of result.Result[PlainReply, Problem]
        """
        key = claim_key(service.service, organisation, idempotency_key)
        return Deferred.fromCoroutine(self._look_up(service, key))

    async def _look_up(self, service, key):
        result = await self._store.range(key)
        if result.is_err():
            return Err(Problem(ErrorKind.UNREACHABLE, "the store did not answer"))
        for item in result.unwrap().items:
            if item.key == key:
                claim = Claim.from_json(item.value)
                now_s = self._tools.calls.clock.seconds()
                return answer_from_claim(claim, service.service, now_s)
        return Err(Problem(ErrorKind.OPERATION_NOT_FOUND))
