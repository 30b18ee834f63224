"""Operations: calls of plain services that run at most once."""

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
MAX_KEPT_REPLY_BYTES = 64 << 10
KEY_CLOCK_SKEW_S = 300.0
UNKNOWN_AFTER_S = 1.0
REPLAYED_HEADER = ("Sesame-Replayed", "true")
_MS = 1000
_UUID7_TIME_SHIFT = 80


class OperationRequest(msgspec.Struct, frozen=True):
    """A call that must not be repeated.

    Parameters
    ----------
    service : PlainService
    version, organisation, idempotency_key : str
    request : PlainRequest
    fingerprint : str
        Digest of the request; another request under the same key is refused.
    deadline_s : float
        On the process's clock.
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
        """Bytes : store key of the claim."""
        return claim_key(self.service.service, self.organisation, self.idempotency_key)


class OperationTools(msgspec.Struct, frozen=True):
    """What every operation of a router works with.

    Parameters
    ----------
    calls : CallTools
    claims : ClaimWriter or ClaimRelay
    counters : Counters
    router : str
        Name written into claims.
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
        ``KEY_EXPIRED`` for a key whose outcome may no longer be kept: running it
        could be the second time.
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
        return Err(Problem(ErrorKind.KEY_INVALID, "expected a UUID of version 7"))
    made_s = (parsed.int >> _UUID7_TIME_SHIFT) / _MS
    if made_s > now_s + KEY_CLOCK_SKEW_S:
        return Err(Problem(ErrorKind.KEY_INVALID, "its time lies ahead"))
    if made_s < now_s - service.key_retention_s:
        return Err(Problem(ErrorKind.KEY_EXPIRED, "its outcome is no longer kept"))
    return Ok(str(parsed))


class _Inputs(Protocol):
    def claimed(self) -> None:
        """Note that the claim is held."""

    def sent(self) -> None:
        """Note that the call is about to be sent."""

    def proved_not_run(self) -> None:
        """Note a proof that the call sent last has not run."""

    def ended(self) -> None:
        """Note the final answer."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, _Operation)
    claiming = builder.state("claiming")
    held = builder.state("held")
    sent = builder.state("sent")
    ended = builder.state("ended")
    # Sending is possible from "held" only: after a loss that proves nothing the
    # machine itself has no way to a second send.
    claiming.upon(_Inputs.claimed).to(held).returns(None)
    claiming.upon(_Inputs.ended).to(ended).returns(None)
    held.upon(_Inputs.sent).to(sent).returns(None)
    held.upon(_Inputs.ended).to(ended).returns(None)
    sent.upon(_Inputs.proved_not_run).to(held).returns(None)
    sent.upon(_Inputs.ended).to(ended).returns(None)
    return builder.build()


class _Operation:
    """One operation from its claim to its answer."""

    __slots__ = ("_life", "_request", "_tools", "_tried")

    def __init__(self, request, tools):
        self._request = request
        self._tools = tools
        self._tried = set()
        self._life = _machine(self)

    async def run(self):
        """Return ``Result[PlainReply, Problem]``."""
        request, claims = self._request, self._tools.claims
        claim = Claim(
            new_claim_id(),
            self._tools.router,
            request.fingerprint,
            ClaimState.CLAIMED,
            int(request.deadline_s * _MS),
        )
        retention_s = request.service.key_retention_s
        outcome = await claims.claim(request.key, claim, retention_s)
        if outcome.hold is None:
            self._life.ended()
            return self._refuse(outcome.existing)
        self._life.claimed()
        result = await self._send_until_proved(outcome.hold)
        self._life.ended()
        return result

    def _refuse(self, existing):
        if existing is None:
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, "no claim without it"))
        if existing.fingerprint not in ("", self._request.fingerprint):
            return Err(Problem(ErrorKind.KEY_REUSED))
        now_s = self._tools.calls.clock.seconds()
        return answer_from_claim(existing, self._request.service.service, now_s)

    async def _send_until_proved(self, hold):
        """Send, and again elsewhere only while it is proved not to have run."""
        claims, problem = self._tools.claims, None
        for _ in range(MAX_SENDS):
            left_s = self._request.deadline_s - self._tools.calls.clock.seconds()
            endpoint = self._choose()
            if left_s <= 0:
                problem = Problem(ErrorKind.DEADLINE_PASSED)
            if left_s <= 0 or endpoint is None:
                break
            result = await self._send(endpoint, left_s)
            if result.is_ok():
                claims.settle(hold, ClaimState.DONE, _kept(result.unwrap()))
                return result
            if result.unwrap_err() is CallFailure.LOST:
                self._tools.counters.operations_unknown += 1
                return Err(unknown_outcome(self._request.service.service))
            self._life.proved_not_run()
        claims.settle(hold, ClaimState.NOT_RUN)
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
        self._life.sent()
        return await send_call(
            self._tools.calls, endpoint, self._request.request, timeout_s
        )


_machine = _build_machine()


def _kept(reply):
    if len(reply.body) > MAX_KEPT_REPLY_BYTES:
        return msgspec.Raw(b"null")
    return msgspec.Raw(msgspec.json.encode(reply))


def ask_again_path(service_name):
    """Return the path at which an outcome can be asked for."""
    return f"/operations/{service_name}"


def unknown_outcome(service_name):
    """Return the problem of an operation that may or may not have run."""
    return Problem(
        ErrorKind.OPERATION_UNKNOWN,
        "it may have run; it will not be sent again",
        ask_again=ask_again_path(service_name),
    )


def answer_from_claim(claim, service_name, now_s):
    """Return what a claim says about its operation.

    Parameters
    ----------
    claim : Claim
    service_name : str
    now_s : float
        Unix time.

    Returns
    -------
    result.Result[PlainReply, Problem]
        The kept reply, marked as replayed; or that the operation is running, ran,
        has not run, or is unknown.
    """
    if claim.state is ClaimState.DONE:
        reply = msgspec.json.decode(claim.reply, type=PlainReply | None)
        if reply is None:
            return Err(Problem(ErrorKind.OPERATION_RAN, "its reply was not kept"))
        headers = [*reply.headers, REPLAYED_HEADER]
        return Ok(msgspec.structs.replace(reply, headers=headers))
    if claim.state is ClaimState.NOT_RUN:
        return Err(Problem(ErrorKind.OPERATION_NOT_RUN, retry_after_s=0))
    if now_s < claim.expires_ms / _MS + UNKNOWN_AFTER_S:
        again = ask_again_path(service_name)
        return Err(Problem(ErrorKind.OPERATION_RUNNING, ask_again=again))
    return Err(unknown_outcome(service_name))


class _Running(msgspec.Struct):
    """An operation under way in this process, and who waits for it."""

    fingerprint: str
    waiters: list


class OperationRunner:
    """Run operations at most once each.

    Parameters
    ----------
    tools : OperationTools
    store : Store
        Read when a caller asks for an outcome.
    """

    __slots__ = ("_running", "_store", "_tools")

    def __init__(self, tools, store):
        self._tools = tools
        self._store = store
        self._running = {}

    @property
    def unsettled(self):
        """Int : claims and outcomes that the store has not taken yet."""
        return self._tools.claims.unsettled

    def run(self, request):
        """Run an operation, or join the same one that is already running here.

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
        else:
            waiter.callback(Err(Problem(ErrorKind.KEY_REUSED)))
        return waiter

    def _ended(self, outcome, key):
        for waiter in self._running.pop(key).waiters:
            waiter.callback(outcome)

    def look_up(self, service, organisation, idempotency_key):
        """Tell what became of an operation, without running anything.

        Returns
        -------
        Deferred of result.Result[PlainReply, Problem]
        """
        key = claim_key(service.service, organisation, idempotency_key)
        return Deferred.fromCoroutine(self._look_up(service, key))

    async def _look_up(self, service, key):
        result = await self._store.range(key)
        if result.is_err():
            return Err(Problem(ErrorKind.UNREACHABLE, "the store gives no answer"))
        for item in result.unwrap().items:
            if item.key == key:
                claim = Claim.from_json(item.value)
                now_s = self._tools.calls.clock.seconds()
                return answer_from_claim(claim, service.service, now_s)
        return Err(Problem(ErrorKind.OPERATION_NOT_FOUND))
