"""Dispatcher: matches requests to routes and starts their exchanges."""

import hashlib

import msgspec

from sesamearch.base.errors import ErrorKind
from sesamearch.base.log import logger
from sesamearch.base.record import RequestRefused
from sesamearch.forwarding.call import CallExchange
from sesamearch.forwarding.exchange import PROBLEM_HEADERS
from sesamearch.forwarding.stream import StreamExchange
from sesamearch.routing.table import RouteKind, ServiceSpec

__all__ = ["Dispatcher", "ForwardCounters"]

CHECK_INTERVAL_S = 0.05
_HASH_VALUES = 1 << 64
# Longest host and path of an unmatched request that are logged.
MAX_LOGGED_CHARACTERS = 64


class ForwardCounters:
    """Plain counters for the hot path, exported as metrics when they are read.

    Attributes
    ----------
    requests, refusals : int
        Requests received, and those that this router answered with an error.
    tries, tries_lost : int
        Sends to endpoints, and those without a usable answer.
    tries_kept : int
        Tries at silent engines that were kept, because no other engine could take over.
    resumes, streams_cut : int
        Generations resumed at another engine, and those that were cut off.
    callers_left : int
        Callers that disconnected before the final answer.
    callers_unheard : int
        Those of them that had heard nothing, not even the head of an answer.
    copies : int
        Copies of engine memory that were requested.
    probes : int
        Health probes sent to silent engines.
    retries_denied : int
        Retries that the retry budget did not allow.
    unread : int
        Connections that closed when bytes of a further request had arrived.
    unreadable : int
        Requests that could not be parsed.
    leaving_endpoints : int
        Endpoints that said that they leave, to this router or to another one.
    pauses : int
        Pauses that endpoints asked for.
    limit_changes : int
        Limits of endpoints that began, changed or ended.
    permits_claimed, permits_granted, permits_denied, permits_unanswered : int
        Claims of permits for endpoints that name a limit, and what became of them; the
        unanswered ones are among the denied ones.
    sends_without_permit : int
        Requests sent to a limited endpoint without a permit; none are expected.
    proxied, proxied_for_peers : int
        Requests sent by way of another router, and those taken from another router.
    quarantines, quarantine_refusals : int
        Quarantines of parts of prompts that began, and requests refused by them.
    """

    __slots__ = (
        "callers_left",
        "callers_unheard",
        "copies",
        "leaving_endpoints",
        "limit_changes",
        "pauses",
        "permits_claimed",
        "permits_denied",
        "permits_granted",
        "permits_unanswered",
        "probes",
        "proxied",
        "proxied_for_peers",
        "quarantine_refusals",
        "quarantines",
        "refusals",
        "requests",
        "resumes",
        "retries_denied",
        "sends_without_permit",
        "streams_cut",
        "tries",
        "tries_kept",
        "tries_lost",
        "unread",
        "unreadable",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class Dispatcher:
    """Starts an exchange for each request and tracks it until its end.

    Parameters
    ----------
    board : Blackboard
        Shared state, whose configuration is a :class:`RoutingTable`.
    tools : ForwardTools
    """

    __slots__ = (
        "_board",
        "_check",
        "_exchanges",
        "_in_force_s",
        "_streams",
        "_tools",
    )

    def __init__(self, board, tools):
        self._board = board
        self._tools = tools
        self._in_force_s = tools.clock.seconds()
        board.configuration.listen(self._note_configuration)
        self._exchanges = set()
        self._streams = set()
        self._check = None
        tools.quarantine.on_begin = self._refuse_quarantined

    @property
    def in_flight(self):
        """Int : number of requests without a final answer."""
        return len(self._exchanges)

    def _note_configuration(self, table):
        self._in_force_s = self._tools.clock.seconds()

    def note_unread(self):
        """Count a connection that closed with bytes of a further request."""
        self._tools.counters.unread += 1

    def note_unreadable(self):
        """Count a request that could not be parsed."""
        self._tools.counters.unreadable += 1

    def handle(self, request, reply, terms=None):
        """Forward a :class:`CallerRequest` and answer through `reply`.

        Parameters
        ----------
        request : CallerRequest
        reply : Reply
        terms : ProxyTerms or None
            Terms of the router that the request comes from, None if it comes from its
            caller. The other router counts it.
        """
        if terms is None:
            self._tools.counters.requests += 1
        else:
            self._tools.counters.proxied_for_peers += 1
        table = self._board.configuration.value
        route = table.match(request.host, request.path)
        organisation = table.organisation_of(request.key) if request.key else None
        problem = table.problem_of(route, organisation)
        if problem is not None:
            self._refuse(request, route, problem, table, reply)
            return
        service = table.services.get(_choose_service(route, request.request_id))
        exchange_type = CallExchange
        if service is not None and route.kind is RouteKind.GENERATION:
            exchange_type = StreamExchange
        exchange = exchange_type(
            self._tools,
            request,
            route,
            service or ServiceSpec("", 0),
            organisation,
            table,
            reply,
            self._ended,
            terms,
        )
        self._exchanges.add(exchange)
        if exchange_type is StreamExchange:
            self._streams.add(exchange)
            self._schedule_check()
        if terms is None:
            self._tools.budgets.count_request(exchange.service.name)
        phase = self._board.drain.value
        if phase.refusing and exchange.end_by_s > phase.hand_over_s:
            # The shutdown could cut off this request, because it arrives so late in
            # the drain. Generations that arrive earlier are accepted: if one is cut
            # off, its caller resumes it at another router. That router knows where the
            # prompt is cached, because routers send each other the prompt locations of
            # their running generations.
            exchange.refuse(ErrorKind.DRAINING, "this router is shutting down", 0)
            return
        if terms is not None and not self._tools.proxy_admission.admits(exchange.rank):
            exchange.refuse(ErrorKind.OVERLOADED, "this router has no room")
            return
        if exchange.is_late:
            exchange.refuse(ErrorKind.NO_ENDPOINT, "deadline has passed")
            return
        exchange.start()

    def _refuse(self, request, route, problem, table, reply):
        self._tools.counters.refusals += 1
        self._tools.meter.request_ended(
            route.name if route else "", problem.kind.value, 0.0
        )
        record = RequestRefused(
            request.request_id,
            route.name if route else "",
            problem.kind.value,
            problem.answer.status,
            "",
            0,
            0,
            table.revision,
        )
        if route is None:
            record = self._describe_unmatched(record, request, table)
        logger.info(record)
        headers = list(PROBLEM_HEADERS)
        if problem.retry_delay_s is not None:
            headers.append((b"Retry-After", b"%.3f" % problem.retry_delay_s))
        reply.refuse(problem, headers)

    def _describe_unmatched(self, record, request, table):
        """Add what tells a wrong address of a caller from a stale configuration."""
        in_force_s = self._tools.clock.seconds() - self._in_force_s
        return msgspec.structs.replace(
            record,
            host=request.host[:MAX_LOGGED_CHARACTERS],
            path=request.path[:MAX_LOGGED_CHARACTERS],
            routes=len(table.routes),
            in_force_ms=round(in_force_s * 1000),
        )

    def _ended(self, exchange):
        self._exchanges.discard(exchange)
        self._streams.discard(exchange)

    def hand_over(self):
        """Cut off the generations, so that their callers resume at another router."""
        for stream in list(self._streams):
            stream.hand_over()

    def end_calls(self):
        """Answer what is still in flight, since the process is about to end."""
        for exchange in list(self._exchanges):
            exchange.end_for_shutdown()

    def note_path_lost(self, service):
        """Have requests go on by way of other routers that wait for a connection."""
        for exchange in list(self._exchanges):
            exchange.note_path_lost(service)

    def give_up_untaken(self):
        """Cut off the answers that nobody takes, where others are refused meanwhile."""
        for exchange in self._tools.untaken.find(self._exchanges):
            exchange.give_up_untaken()

    def _refuse_quarantined(self):
        """Refuse the generations in flight that a new quarantine concerns."""
        for stream in list(self._streams):
            stream.refuse_if_quarantined()

    def _schedule_check(self):
        if self._check is None:
            self._check = self._tools.clock.callLater(
                CHECK_INTERVAL_S, self._check_streams
            )

    def _check_streams(self):
        """Check all generations for silent engines."""
        self._check = None
        for stream in list(self._streams):
            stream.check()
        if self._streams:
            self._schedule_check()


def _choose_service(route, request_id):
    """Return the name of the service for a request, by the weights of its route.

    The same request id always gets the same service.
    """
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(share.weight for share in route.services)
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    position = int.from_bytes(digest, "big") / _HASH_VALUES * total
    for share in route.services:
        position -= share.weight
        if position < 0:
            return share.service
    return route.services[-1].service
