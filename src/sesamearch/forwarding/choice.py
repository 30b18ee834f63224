"""Choice of an endpoint for a request, by predicted waiting time."""

import math
import random
from collections import Counter

import msgspec

__all__ = ["Chooser", "GenerationNeed"]

# Maximum number of endpoints compared for one choice; bounds the work of a choice in
# large fleets.
MAX_CANDIDATES = 24
# Number of endpoints sampled before filtering, so that enough usable ones remain.
SAMPLE_SIZE = 2 * MAX_CANDIDATES
# While an engine prefills a new prompt, the generations that run there pause for about
# this share of the prefill time.
DELAY_RATIO = 0.8
# An endpoint without a free slot or memory queues the request until another request
# ends.
FULL_COST_TOKENS = 40_000
# Engines of a data centre often fail together, so if this many of them are
# unreachable, the others in the same data centre are avoided.
OUTAGE_MIN_ENDPOINTS = 2
OUTAGE_COST_TOKENS = 20_000
# A network partition between data centres breaks the requests that this router sent to
# another data centre.
REMOTE_COST_TOKENS = 2000
# The costs of a plain call are in running requests per slot of the endpoint.
REMOTE_COST_REQUESTS = 0.3
FAILURE_COST_REQUESTS = 40.0
# A stated load above this is taken for this much: it is gone before news of it ages.
MAX_STATED_REQUESTS = 2.0


def _without(endpoints, names):
    return [each for each in endpoints if each.name not in names]


class GenerationNeed(msgspec.Struct, frozen=True):
    """Resources that a generation needs on its engine.

    Parameters
    ----------
    prompt_tokens : int
        Prompt tokens to prefill before the first event.
    memory_tokens : int
        Tokens of prompt and output held in memory when the generation ends.
    """

    prompt_tokens: int
    memory_tokens: int


class Chooser:
    """Chooses endpoints for calls, generations and backups.

    Parameters
    ----------
    endpoint_index : EndpointIndex
    loads : LoadTracker
    health : HealthTracker
    data_centre : str
        Data centre of this router.
    gate : VersionGate
        Decides which versions a request may go to.
    outages : OutageDetector
    pauses : PauseTracker
    limits : LimitTracker
    permits : PermitSource
    rng : random.Random, optional
    statements : LoadStatements, optional
    held : HeldPrompts, optional
    """

    __slots__ = (
        "_data_centre",
        "_endpoint_index",
        "_gate",
        "_health",
        "_held",
        "_limits",
        "_loads",
        "_outages",
        "_pauses",
        "_permits",
        "_random",
        "_statements",
    )

    def __init__(
        self,
        endpoint_index,
        loads,
        health,
        data_centre,
        gate,
        outages,
        pauses,
        limits,
        permits,
        rng=None,
        statements=None,
        held=None,
    ):
        self._held = held
        self._statements = statements
        self._outages = outages
        self._pauses = pauses
        self._limits = limits
        self._permits = permits
        self._gate = gate
        self._endpoint_index = endpoint_index
        self._loads = loads
        self._health = health
        self._data_centre = data_centre
        self._random = rng or random.Random()

    def _candidates(self, service, excluded, request_id, denied=frozenset()):
        """Return the endpoints to compare: a sample if there are many.

        Endpoints that are down or in an unreachable data centre are included only if
        there are no others; those that asked for a pause never are. Nor are those that
        denied a permit, but they count for the version gate: that the old version
        takes no more is no reason to send more to the new one.
        """
        serving = self._endpoint_index.serving(service)
        if len(serving) > SAMPLE_SIZE:
            drawn = self._random.sample(serving, SAMPLE_SIZE)
            allowed = self._allowed(drawn, excluded, request_id)
            found = self._reachable(_without(allowed, denied))
            unlimited = self._unlimited(found)
            if unlimited:
                return unlimited[:MAX_CANDIDATES]
        allowed = _without(self._allowed(serving, excluded, request_id), denied)
        return self._sample(self._reachable(allowed) or allowed)

    def _sample(self, endpoints):
        """Return so many endpoints that they can be compared, unlimited ones first."""
        if len(endpoints) <= MAX_CANDIDATES:
            return endpoints
        preferred = self._unlimited(endpoints) or endpoints
        count = min(MAX_CANDIDATES, len(preferred))
        return self._random.sample(preferred, count)

    def _unlimited(self, endpoints):
        """Return the endpoints that name no limit."""
        if not self._limits.has_any:
            return endpoints
        return [each for each in endpoints if not self._limits.is_limited(each)]

    def has_unlimited(self, service, request_id, excluded=frozenset()):
        """Return whether a request may go to an endpoint that names no limit.

        Parameters
        ----------
        service, request_id : str
        excluded : set of str
            Names of endpoints not to count.
        """
        serving = self._endpoint_index.serving(service)
        allowed = self._allowed(serving, excluded, request_id)
        return bool(self._unlimited(self._reachable(allowed)))

    def _allowed(self, endpoints, excluded, request_id):
        """Return the endpoints that the version gate allows.

        Retries, and requests for which no endpoint is admitted, go to fallbacks.
        """
        rest = [
            each
            for each in endpoints
            if each.name not in excluded and not self._pauses.is_paused(each)
        ]
        if excluded:
            fallbacks = [each for each in rest if self._gate.is_fallback(each)]
            if fallbacks:
                return fallbacks
        admitted = [each for each in rest if self._gate.admits(each, request_id)]
        return admitted or [each for each in rest if self._gate.is_fallback(each)]

    def _reachable(self, endpoints):
        return [
            each
            for each in endpoints
            if not self._health.is_down(each.name)
            and not self._outages.is_unreachable(each.data_centre)
        ]

    def _within_limits(self, endpoints, has_room):
        """Return the endpoints among which the limits leave a choice.

        Those without a limit go first while one of them has room. Where all have one,
        those that have a permit first do.
        """
        unlimited = self._unlimited(endpoints)
        if len(unlimited) == len(endpoints):
            return endpoints
        limited = [each for each in endpoints if self._limits.is_limited(each)]
        due = [each for each in limited if self._permits.is_trial_due(each)]
        if due:
            return due
        if any(map(has_room, unlimited)):
            return unlimited
        waits_s = {each.name: self._permits.wait_s(each) for each in limited}
        shortest_s = 0.0 if unlimited else min(waits_s.values())
        ready = [each for each in limited if waits_s[each.name] <= shortest_s]
        return unlimited + ready

    def _cheapest(self, endpoints, cost):
        if not endpoints:
            return None
        return min(endpoints, key=lambda each: (cost(each), self._random.random()))

    def for_call(self, service, request_id, excluded=frozenset(), denied=frozenset()):
        """Choose an endpoint for a plain call.

        Parameters
        ----------
        service, request_id : str
        excluded : set of str
            Names of endpoints not to choose.
        denied : set of str
            Names of limited endpoints that have no permit for the request.

        Returns
        -------
        Endpoint or None
        """
        endpoints = self._candidates(service, excluded, request_id, denied)
        baseline = self._health.baseline([each.name for each in endpoints])

        def has_room(endpoint):
            running = self._loads.total(endpoint.name).running
            return running < max(endpoint.slots, 1)

        estimates = self._statements.estimates(endpoints) if self._statements else {}

        def work_cost(endpoint):
            if estimates:
                estimate = estimates[endpoint.name]
                occupancy = min(estimate.occupancy_ratio, MAX_STATED_REQUESTS)
                return math.log(estimate.pace_ratio) + occupancy
            running = self._loads.total(endpoint.name).running
            return running / max(endpoint.slots, 1)

        def cost(endpoint):
            is_remote = endpoint.data_centre != self._data_centre
            excess = self._health.excess(endpoint.name, baseline)
            return (
                work_cost(endpoint)
                + REMOTE_COST_REQUESTS * is_remote
                + FAILURE_COST_REQUESTS * excess
            )

        usable = self._within_limits(endpoints, has_room)
        return self._draw(usable, cost) if estimates else self._cheapest(usable, cost)

    def _draw(self, endpoints, cost):
        """Draw an endpoint, with odds in proportion to its speed at equal load.

        Many routers read the same statements, so none may send all to the best one.
        """
        if not endpoints:
            return None
        costs = [cost(each) for each in endpoints]
        least = min(costs)
        odds = [math.exp(least - each) for each in costs]
        return self._random.choices(endpoints, odds)[0]

    def for_generation(
        self,
        service,
        engine,
        need,
        request_id,
        excluded=frozenset(),
        parts=(),
        denied=frozenset(),
    ):
        """Choose an endpoint for a generation.

        Parameters
        ----------
        service : str
        engine : EngineTraits
        need : GenerationNeed
        request_id : str
        excluded : set of str
            Names of endpoints not to choose.
        parts : list of PromptPart
            The prompt's parts, which an engine may still hold.
        denied : set of str
            Names of limited endpoints that have no permit for the request.

        Returns
        -------
        Endpoint or None
        """
        endpoints = self._candidates(service, excluded, request_id, denied)
        names = [each.name for each in endpoints]
        baseline = self._health.baseline(names)
        slowness = self._health.slowness(names)
        unreachable = self._unreachable_counts(service)

        def is_full_at(endpoint, load):
            memory_tokens = load.memory_tokens + need.memory_tokens
            has_slot = load.running < (endpoint.slots or engine.slots)
            return not has_slot or memory_tokens > engine.memory_tokens

        def has_room(endpoint):
            return not is_full_at(endpoint, self._loads.total(endpoint.name))

        def saved_tokens(endpoint, load):
            if self._held is None:
                return 0.0
            free_tokens = engine.memory_tokens - load.memory_tokens
            saved = self._held.saved_tokens(parts, endpoint.name, free_tokens)
            return min(saved, need.prompt_tokens)

        def cost(endpoint):
            load = self._loads.total(endpoint.name)
            is_remote = endpoint.data_centre != self._data_centre
            is_full = is_full_at(endpoint, load)
            excess = self._health.excess(endpoint.name, baseline)
            prompt_tokens = need.prompt_tokens - saved_tokens(endpoint, load)
            ahead_tokens = load.unread_tokens + prompt_tokens
            delayed_tokens = DELAY_RATIO * prompt_tokens * load.running
            return (
                (ahead_tokens + delayed_tokens) * slowness.get(endpoint.name, 1.0)
                + REMOTE_COST_TOKENS * is_remote
                + FULL_COST_TOKENS * (is_full + excess)
                + OUTAGE_COST_TOKENS
                * (unreachable[endpoint.data_centre] >= OUTAGE_MIN_ENDPOINTS)
            )

        return self._cheapest(self._within_limits(endpoints, has_room), cost)

    def for_backup(self, primary, engine, need, request_id):
        """Choose the endpoint that holds the backup of a generation's memory.

        A data centre other than the primary's is preferred, because the engines of
        one data centre often fail together. If the primary is not in this router's
        data centre, the backup goes there, so that this router can still reach it if
        a network partition cuts off the primary.

        Returns
        -------
        Endpoint or None
            None if no engine has room.
        """
        admitted = self._candidates(primary.service, {primary.name}, request_id)
        endpoints = [e for e in admitted if e.version == primary.version]
        away = [e for e in endpoints if e.data_centre != primary.data_centre]
        here = [e for e in away if e.data_centre == self._data_centre]
        with_room = [
            endpoint
            for endpoint in here or away or endpoints
            if self._loads.total(endpoint.name).memory_tokens + need.memory_tokens
            <= engine.memory_tokens
        ]

        unreachable = self._unreachable_counts(primary.service)

        def cost(endpoint):
            load = self._loads.total(endpoint.name)
            return (
                unreachable[endpoint.data_centre] > 0,
                self._limits.is_limited(endpoint),
                load.memory_tokens + load.unread_tokens,
            )

        return self._cheapest(with_room, cost)

    def _unreachable_counts(self, service):
        """Return the number of unreachable endpoints of a service by data centre."""
        counts = Counter()
        for name in self._health.unreachable_names():
            endpoint = self._endpoint_index.find(name)
            if endpoint is not None and endpoint.service == service:
                counts[endpoint.data_centre] += not endpoint.leaving
        return counts
