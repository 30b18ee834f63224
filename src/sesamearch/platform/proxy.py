"""Requests between routers, over HTTP: sent on as the caller sent them, and sealed."""

import msgspec

from sesamearch.base.errors import ErrorKind, Problem, Ran
from sesamearch.base.log import logger
from sesamearch.base.record import ProxyRefused
from sesamearch.forwarding.peer_proxy import PeerProxy
from sesamearch.platform.client import ProbeReceiver
from sesamearch.platform.headers import (
    decode_answer,
    decode_request,
    encode_for_router,
)
from sesamearch.proxy.envelope import ENVELOPE_VERSION, ProxyEnvelope, digest_of
from sesamearch.proxy.peers import PeerWork
from sesamearch.proxy.reply import OWN_PREFIX, ProxyReply
from sesamearch.wire.caller import CallerFactory, CallerLimits
from sesamearch.wire.endpoint import OutgoingRequest, ResponseReceiver
from sesamearch.wire.head import RequestHead, ResponseHead, first_value
from sesamearch.wire.pool import ConnectionPool

__all__ = ["ProxyPort", "RouterProxy"]

_ENVELOPE = b"Sesamearch-Proxy"
_NUMBER = b"Sesamearch-Proxy-Number"
_REFUSAL = b"Sesamearch-Proxy-Refusal"
_LOAD = b"Sesamearch-Proxy-Load"
_RETRY_AFTER = b"retry-after"
_PROBE_PATH = b"/sesamearch-proxy/alive"
_CONTENT_LENGTH = b"content-length"
OK = 200
IDLE_TIMEOUT_S = 4.0
# The other router has read the request within the limits for callers, perhaps those of
# a newer configuration, and adds its own headers. The account bounds what all hold.
MAX_OWN_HEAD_BYTES = 64 << 10
MAX_BODY_BYTES = 64 << 20
MAX_LOAD_DIGITS = 6
MAX_RETRY_AFTER_S = 3600.0
# Statuses of refusals after which the request is sent by way of another router.
_RETRIED_STATUSES = (429, 503)


def _without_own(headers):
    return [pair for pair in headers if not pair[0].lower().startswith(OWN_PREFIX)]


def _fields_of(copy):
    if copy is None:
        return []
    return [copy.target_address, copy.source_address, copy.handle]


def _decode_refusal(headers):
    """Return the :class:`Problem` for which a router refused a request, or None."""
    value = first_value(headers, _REFUSAL.lower())
    if value is None:
        return None
    try:
        kind = ErrorKind(value.decode("latin-1"))
        advice_s = float(first_value(headers, _RETRY_AFTER) or 0.0)
    except ValueError:
        return Problem(ErrorKind.NO_ENDPOINT, "unknown refusal of another router")
    if kind is ErrorKind.PROXY_REFUSED:
        # It concerns the routers, not the caller.
        return Problem(ErrorKind.NO_ENDPOINT, "refused by another router")
    if not 0.0 <= advice_s <= MAX_RETRY_AFTER_S:
        advice_s = 0.0
    return Problem(kind, "", advice_s or None)


class _ProxyReceiver(ResponseReceiver):
    """Decodes the response of a router and passes it to a :class:`ForwardListener`."""

    __slots__ = ("_chooser", "_listener", "_name", "_number")

    def __init__(self, chooser, name, number, listener):
        self._chooser = chooser
        self._name = name
        self._number = b"%d" % number
        self._listener = listener

    def matches_request(self, head):
        return first_value(head.headers, _NUMBER.lower()) == self._number

    def began(self, head):
        load = first_value(head.headers, _LOAD.lower()) or b""
        if load.isdigit() and len(load) <= MAX_LOAD_DIGITS:
            self._chooser.note_load(self._name, int(load))
        refusal = _decode_refusal(head.headers)
        own = ResponseHead(head.status, head.reason, _without_own(head.headers))
        answer = decode_answer(own)
        if refusal is not None:
            answer = msgspec.structs.replace(
                answer,
                refusal=refusal,
                has_not_run=_may_send_again(head.status, refusal),
            )
        self._listener.answer_began(answer)

    def received(self, data):
        self._listener.answer_received(data)

    def ended(self):
        self._listener.answer_ended()

    def lost(self, loss):
        self._listener.answer_lost(loss)


def _may_send_again(status, refusal):
    has_not_run = refusal.answer.ran is Ran.NOT_RUN
    is_own = refusal.kind is ErrorKind.NO_ENDPOINT
    return has_not_run and (status in _RETRIED_STATUSES or is_own)


class RouterProxy(PeerProxy):
    """Sends requests by way of other routers, over pooled connections.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTCP
    name : str
        Name of this router.
    incarnation : int
        Distinguishes processes of that name.
    chooser : PeerChooser
    sealer : EnvelopeSealer
    """

    def __init__(self, reactor, name, incarnation, chooser, sealer):
        self._reactor = reactor
        self._name = name
        self._incarnation = incarnation
        self._chooser = chooser
        self._sealer = sealer
        self._number = 0
        self._pools = {}

    def choose(self, service, excluded):
        """Choose a router; see ``PeerProxy``."""
        return self._chooser.choose(service, excluded)

    def begin(self, peer):
        """Count a request that is sent to a router; see ``PeerProxy``."""
        return PeerWork(self._chooser, peer.name)

    def note_failed(self, peer):
        """Leave out a router for a while; see ``PeerProxy``."""
        self._chooser.note_failed(peer.name)

    def forward(self, request, options, terms, listener):
        """Send a request to a router; see ``PeerProxy``."""
        peer, now_s = options.endpoint, self._reactor.seconds()
        self._number += 1
        outgoing = encode_for_router(request, options, now_s)
        headers = _without_own(outgoing.headers)
        envelope = ProxyEnvelope(
            ENVELOPE_VERSION,
            self._name,
            self._incarnation,
            self._number,
            peer.name,
            terms.revision,
            terms.max_runs,
            _fields_of(terms.copy),
            digest_of(outgoing.method, outgoing.target, headers, outgoing.body),
        )
        number = (_NUMBER, b"%d" % self._number)
        headers = [*headers, number, (_ENVELOPE, self._sealer.seal(envelope))]
        sealed = msgspec.structs.replace(outgoing, headers=headers)
        receiver = _ProxyReceiver(self._chooser, peer.name, self._number, listener)
        remaining_s = options.deadline_s - now_s
        return self._pool(peer).send(sealed, receiver, remaining_s=remaining_s)

    def probe(self, peer, timeout_s):
        """Probe whether a router answers; see ``PeerProxy``."""
        receiver = ProbeReceiver(lambda answer: None)
        answered = receiver.answered
        headers = [(b"Host", peer.address.encode())]
        outgoing = OutgoingRequest(b"GET", _PROBE_PATH, headers)
        pending = self._pool(peer).send(outgoing, receiver, force_new_connection=True)
        receiver.start(pending, self._reactor, timeout_s)
        return answered

    def _pool(self, peer):
        pool = self._pools.get(peer.address)
        if pool is None:
            pool = ConnectionPool(
                self._reactor, peer.address, lambda head: IDLE_TIMEOUT_S
            )
            self._pools[peer.address] = pool
        return pool

    def sweep(self):
        """Close connections whose idle timeout has expired."""
        for pool in self._pools.values():
            pool.sweep()


class ProxyPort:
    """Takes requests of other routers and hands them to the dispatcher.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
    address : str
        ``ip:port`` to listen on; empty for none.
    board : Blackboard
    dispatcher : Dispatcher
    sealer : EnvelopeSealer
    listen : callable
        Listens on an address; see :func:`listen_tcp`.
    account : CallerAccount
        Account of what all that connect to this process hold.
    """

    def __init__(self, reactor, address, board, dispatcher, sealer, listen, account):
        self._reactor = reactor
        self._address = address
        self._board = board
        self._dispatcher = dispatcher
        self._sealer = sealer
        self._listen = listen
        self._port = None
        self._factory = CallerFactory(
            reactor,
            self._handle,
            self._limits,
            self._note_unreadable,
            account=account,
        )

    def start(self):
        """Listen for requests of other routers, if there is an address for them."""
        if self._address:
            self._port = self._listen(self._reactor, self._address, self._factory)

    def close(self):
        """Stop accepting requests."""
        if self._port is not None:
            self._port.stopListening()
        self.close_idle()

    def close_idle(self):
        """Close the connections on which no request is in flight."""
        self._factory.close_idle()

    @property
    def in_flight(self):
        """Int : number of connections on which a request or an answer is on its way."""
        return self._factory.unsettled_count

    def _limits(self):
        limits = self._board.configuration.value.limits
        return CallerLimits(
            limits.header_bytes + MAX_OWN_HEAD_BYTES,
            max(limits.body_bytes, MAX_BODY_BYTES),
        )

    def _note_unreadable(self, status, detail):
        logger.warning(ProxyRefused("", status, detail))

    def _handle(self, head, body, reply):
        sealed = first_value(head.headers, _ENVELOPE.lower())
        number = first_value(head.headers, _NUMBER.lower()) or b""
        if sealed is None and head.target == _PROBE_PATH:
            reply.answer(OK, [], b"")
            return
        headers = [
            pair
            for pair in _without_own(head.headers)
            if pair[0].lower() != _CONTENT_LENGTH
        ]
        digest = digest_of(head.method, head.target, headers, body)
        opened = self._sealer.open(sealed or b"", digest)

        def own_headers(kind):
            return self._own_headers(number, kind)

        if opened.is_err():
            self._refuse(reply, "", opened.unwrap_err(), own_headers)
            return
        envelope = opened.unwrap()
        problem = self._problem_of(envelope)
        if problem is not None:
            self._refuse(reply, envelope.sender, problem, own_headers)
            return
        request = decode_request(
            RequestHead(head.method, head.target, headers),
            body,
            self._reactor.seconds(),
            reply.begun_s,
        )
        proxy_reply = ProxyReply(reply, own_headers)
        self._dispatcher.handle(request, proxy_reply, envelope.terms)

    def _problem_of(self, envelope):
        """Return why a genuine request is refused, or None."""
        if self._board.drain.value.draining:
            return Problem(ErrorKind.DRAINING, "this router is shutting down")
        if envelope.revision > self._board.configuration.value.revision:
            detail = "older configuration than the sender's"
            return Problem(ErrorKind.CONFIGURATION_MISSING, detail)
        return None

    def _own_headers(self, number, kind):
        headers = [
            (_NUMBER, number),
            (_LOAD, b"%d" % self._dispatcher.in_flight),
        ]
        if kind is not None:
            headers.append((_REFUSAL, kind.value.encode()))
        return headers

    def _refuse(self, reply, sender, problem, own_headers):
        status = problem.answer.status
        logger.warning(ProxyRefused(sender, status, problem.detail))
        reply.refuse(problem, own_headers(problem.kind))
