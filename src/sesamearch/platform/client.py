"""Endpoints, as the platform's protocol reaches them."""

from twisted.internet.defer import Deferred

from sesamearch.forwarding.request import EndpointClient
from sesamearch.platform.headers import (
    decode_answer,
    encode_request,
    keep_alive_s,
    request_id_of,
)
from sesamearch.wire.endpoint import (
    AnswerReceiver,
    ConnectionPool,
    Loss,
    OutgoingRequest,
)

__all__ = ["PlatformEndpointClient"]

REPORT_PATH = b"/sesamearch/report"
# Endpoints close idle connections; one that is used just then is lost.
IDLE_USE_RATIO = 0.6
UNSTATED_IDLE_S = 0.4
SWEEP_INTERVAL_S = 0.5


def _reusable_s(head):
    return keep_alive_s(head, UNSTATED_IDLE_S) * IDLE_USE_RATIO


class _Forwarding(AnswerReceiver):
    """Translates one answer."""

    __slots__ = ("_listener", "_request_id")

    def __init__(self, request_id, listener):
        self._request_id = request_id
        self._listener = listener

    def is_mine(self, head):
        return request_id_of(head.headers) == self._request_id

    def began(self, head):
        self._listener.answer_began(decode_answer(head))

    def received(self, data):
        self._listener.answer_received(data)

    def ended(self):
        self._listener.answer_ended()

    def lost(self, loss):
        self._listener.answer_lost(loss)


class _Probe(AnswerReceiver):
    """Waits for the first sign of life."""

    __slots__ = ("answered",)

    def __init__(self):
        self.answered = Deferred()

    def _tell(self, is_alive):
        answered, self.answered = self.answered, None
        if answered is not None:
            answered.callback(is_alive)

    def is_mine(self, head):
        return True

    def began(self, head):
        self._tell(True)

    def received(self, data):
        """Ignore the content: that it came is enough."""

    def ended(self):
        self._tell(True)

    def lost(self, loss):
        self._tell(loss is Loss.MALFORMED)

    def timed_out(self):
        self._tell(False)


class PlatformEndpointClient(EndpointClient):
    """Sends requests to endpoints over kept connections.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTCP
    """

    __slots__ = ("_pools", "_reactor")

    def __init__(self, reactor):
        self._reactor = reactor
        self._pools = {}

    def _pool(self, endpoint):
        pool = self._pools.get(endpoint.name)
        if pool is None:
            pool = ConnectionPool(self._reactor, endpoint.address, _reusable_s)
            self._pools[endpoint.name] = pool
        return pool

    def forward(self, request, passage, listener):
        """Send a request to an endpoint."""
        outgoing = encode_request(request, passage, self._reactor.seconds())
        receiver = _Forwarding(request.request_id, listener)
        pool = self._pool(passage.endpoint)
        return pool.send(outgoing, receiver, passage.needs_fresh_connection)

    def probe(self, endpoint, timeout_s):
        """Ask an engine for its report, and whether it answers at all."""
        headers = [(b"Host", endpoint.address.encode())]
        outgoing = OutgoingRequest(b"GET", REPORT_PATH, headers)
        probe = _Probe()
        answered = probe.answered
        # A kept connection may be gone while its endpoint is well.
        sending = self._pool(endpoint).send(outgoing, probe, is_fresh=True)
        timer = self._reactor.callLater(timeout_s, probe.timed_out)

        def settle(is_alive):
            if timer.active():
                timer.cancel()
            else:
                sending.cancel()
            return is_alive

        return answered.addCallback(settle)

    def keep_only(self, endpoints):
        """Close what is kept for endpoints that are not listed any more.

        Parameters
        ----------
        endpoints : dict from str to Endpoint
        """
        for name in self._pools.keys() - endpoints.keys():
            self._pools.pop(name).close()

    def sweep(self):
        """Close connections that idled for too long."""
        for pool in self._pools.values():
            pool.sweep()

    @property
    def opened(self):
        """Int : connections opened by the pools that are kept."""
        return sum(pool.opened for pool in self._pools.values())
