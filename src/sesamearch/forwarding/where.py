"""Where a request would go now, and why, without sending it."""

import msgspec

from sesamearch.forwarding.choice import Chooser, GenerationNeed
from sesamearch.forwarding.request import PromptPart
from sesamearch.routing.table import RouteKind

__all__ = [
    "EndpointView",
    "ObservedChooser",
    "WhereAnswer",
    "WhereFinder",
    "WhereQuery",
]

EXAMPLE_ID = "where"


class WhereQuery(msgspec.Struct, frozen=True):
    """The request to look at.

    Parameters
    ----------
    host, path : str
    organisation : str
        Name of the organisation; empty for none.
    parts : list of PromptPart
    output_tokens : int
    """

    host: str
    path: str
    organisation: str = ""
    parts: list[PromptPart] = []
    output_tokens: int = 0


class EndpointView(msgspec.Struct):
    """One endpoint of the service as the router sees it.

    Parameters
    ----------
    name, data_centre, version : str
    cost : float or None
        What the choice compares; tokens for generations, requests for each slot for
        calls. None if the endpoint is not among the candidates.
    why_not : list of str
        Why it is not chosen; empty for the endpoint that is.
    running, unread_tokens, memory_tokens : int
        Load in flight from all routers.
    saved_tokens : int
        Prompt tokens that it is expected to hold.
    occupancy_ratio, pace_ratio : float or None
        What it stated of its load; None if it states nothing.
    permit_wait_s : float or None
        Time until a permit may be free; None if it names no limit.
    """

    name: str
    data_centre: str
    version: str
    cost: float | None
    why_not: list[str]
    running: int
    unread_tokens: int
    memory_tokens: int
    saved_tokens: int
    occupancy_ratio: float | None = None
    pace_ratio: float | None = None
    permit_wait_s: float | None = None


class WhereAnswer(msgspec.Struct):
    """Where a request would go.

    Parameters
    ----------
    router : str
    revision : int
        Revision of the configuration.
    error : str
        Why it would go nowhere; empty otherwise.
    route, service : str
    urgency : int
        Zero for the most urgent requests of the service.
    chosen : str
        Name of the endpoint; the likeliest one where the choice is drawn.
    news_age_ms : int
        Age of the oldest report of another router in use.
    endpoints : list of EndpointView
    """

    router: str
    revision: int
    error: str = ""
    route: str = ""
    service: str = ""
    urgency: int = 0
    chosen: str = ""
    news_age_ms: int = 0
    endpoints: list[EndpointView] = []


class ObservedChooser(Chooser):
    """Makes the same choice among all endpoints, and keeps what it compared.

    Attributes
    ----------
    costs : dict from str to float
        Costs of the candidates of the last choice.
    """

    __slots__ = ("costs",)

    def _sample(self, endpoints):
        return endpoints

    def _candidates(self, service, excluded, request_id, denied=frozenset()):
        serving = self._endpoint_index.serving(service)
        allowed = self._allowed(serving, excluded, request_id)
        return self._reachable(allowed) or allowed

    def _cheapest(self, endpoints, cost):
        self.costs = {each.name: cost(each) for each in endpoints}
        return min(endpoints, key=lambda each: self.costs[each.name], default=None)

    _draw = _cheapest


class WhereFinder:
    """Answers queries from what a router knows; changes nothing.

    Parameters
    ----------
    name : str
        Name of the router.
    board : Blackboard
    tools : ForwardTools
    chooser : ObservedChooser
    """

    __slots__ = ("_board", "_chooser", "_name", "_tools")

    def __init__(self, name, board, tools, chooser):
        self._name = name
        self._board = board
        self._tools = tools
        self._chooser = chooser

    def find(self, query):
        """Return the :class:`WhereAnswer` for a :class:`WhereQuery`."""
        table = self._board.configuration.value
        answer = WhereAnswer(self._name, table.revision)
        if table.revision == 0:
            answer.error = "this router knows no configuration yet"
            return answer
        route = table.match(query.host, query.path)
        if route is None:
            answer.error = f"no route for host {query.host!r} and path {query.path!r}"
            return answer
        organisation = self._organisation(table, query.organisation)
        if query.organisation and organisation is None:
            answer.error = f"no organisation {query.organisation!r}"
            return answer
        service = table.services.get(route.services[0].service)
        answer.route, answer.service = route.name, route.services[0].service
        if service is None:
            answer.error = "the configuration lacks the route's service"
            return answer
        answer.urgency = table.urgency_of(route, organisation, service.name)
        answer.news_age_ms = self._tools.loads.oldest_report_age_ms()
        self._choose(answer, query, route, service)
        return answer

    def _organisation(self, table, name):
        found = (each for each in table.organisations if each.name == name)
        return next(found, None)

    def _choose(self, answer, query, route, service):
        if route.kind is RouteKind.GENERATION:
            prompt_tokens = sum(part.tokens for part in query.parts)
            need = GenerationNeed(prompt_tokens, prompt_tokens + query.output_tokens)
            chosen = self._chooser.for_generation(
                service.name, service.traits, need, EXAMPLE_ID, parts=query.parts
            )
        else:
            chosen = self._chooser.for_call(service.name, EXAMPLE_ID)
        answer.chosen = chosen.name if chosen is not None else ""
        if chosen is None:
            answer.error = "no endpoint can take the request"
        listed = self._board.endpoints.value.values()
        mine = [each for each in listed if each.service == service.name]
        stated = self._tools.statements.estimates(mine)
        views = [
            self._view(each, answer, query, service, stated.get(each.name))
            for each in mine
        ]
        answer.endpoints = sorted(views, key=_order)

    def _view(self, endpoint, answer, query, service, stated):
        tools, name = self._tools, endpoint.name
        load = tools.loads.total(name)
        free_tokens = service.traits.memory_tokens - load.memory_tokens
        saved = tools.held_prompts.saved_tokens(query.parts, name, free_tokens)
        view = EndpointView(
            name,
            endpoint.data_centre,
            endpoint.version,
            self._chooser.costs.get(name),
            [] if name == answer.chosen else self._why_not(endpoint),
            load.running,
            load.unread_tokens,
            load.memory_tokens,
            round(saved),
        )
        if stated is not None:
            view.occupancy_ratio = round(stated.occupancy_ratio, 3)
            view.pace_ratio = round(stated.pace_ratio, 3)
        if tools.limits.is_limited(endpoint):
            view.permit_wait_s = round(tools.permits.wait_s(endpoint), 3)
        return view

    def _why_not(self, endpoint):
        tools = self._tools
        reasons = {
            "leaves": endpoint.leaving,
            "asked for a pause": tools.pauses.is_paused(endpoint),
            "version is not admitted": not tools.gate.admits(endpoint, EXAMPLE_ID),
            "did not answer lately": tools.health.is_down(endpoint.name),
            "data centre cannot be reached": tools.outages.is_unreachable(
                endpoint.data_centre
            ),
        }
        found = [reason for reason, holds in reasons.items() if holds]
        if not found and endpoint.name not in self._chooser.costs:
            found.append("names a limit, and others have room")
        return found or ["costs more"]


def _order(view):
    """Return the sort key of an endpoint: the chosen one first, then by cost."""
    cost = float("inf") if view.cost is None else view.cost
    return bool(view.why_not), cost, view.name
