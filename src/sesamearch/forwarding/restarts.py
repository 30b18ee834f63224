"""Detection of endpoints that restart under a new name during a store outage.

During an outage the store cannot list the new name. The platform gives an address to
another service only some time after its process has ended. A process that answers
there sooner is therefore the crashed endpoint, restarted.

When the old process ended is not known, only that it ran after a request was sent that
it answered. When its answer was read says nothing: the answer may have waited on the
way or in this router.
"""

import itertools

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointNameIgnored, EndpointReturned

__all__ = ["RestartDetector"]

# A lost endpoint is asked for its name at these times after the last data from it. They
# lie within the window in which a new name is trusted at most, 1.85 s by default.
ASK_AFTER_S = (1.0, 1.25, 1.45, 1.65, 1.8)
ASK_TIMEOUT_S = 0.15
# An answer this close to the possible reuse of the address is not trusted.
REUSE_MARGIN_S = 0.15


class _Process(msgspec.Struct):
    """What is known of the process of an endpoint's name at its address.

    Parameters
    ----------
    ran_s : float
        Latest time at which the process is known to have run.
    heard_s : float
        Time at which data from it was last read.
    question : int or None
        Number of the questions that are due since it was lost, None for none.
    ignored_name : str
        Name under which its address answered too late; empty for none.
    """

    ran_s: float
    heard_s: float
    question: int | None = None
    ignored_name: str = ""


class RestartDetector:
    """Asks lost endpoints for their name, to find those that restarted.

    Parameters
    ----------
    client : EndpointClient
    clock : twisted.internet.interfaces.IReactorTime
    reuse_after_s : float
        Time from a process's end until its address may belong to another service.
    health_path_of : callable
        Returns the path at which a service names its instance; empty for none.
    on_restart : callable
        Called with an endpoint and its new name.
    on_alive : callable
        Called with a lost endpoint that answers under its listed name.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_health_path_of",
        "_on_alive",
        "_on_restart",
        "_processes",
        "_question_numbers",
        "_window_s",
    )

    def __init__(
        self, client, clock, reuse_after_s, health_path_of, on_restart, on_alive
    ):
        self._client = client
        self._clock = clock
        self._window_s = reuse_after_s - REUSE_MARGIN_S
        self._health_path_of = health_path_of
        self._on_restart = on_restart
        self._on_alive = on_alive
        # By name and address: a process of the same name elsewhere proves nothing here.
        self._processes = {}
        self._question_numbers = itertools.count(1)

    def note_answer(self, endpoint, sent_s):
        """Record that an endpoint answered under its listed name.

        Parameters
        ----------
        endpoint : Endpoint
        sent_s : float
            Time at which the answered request was sent.
        """
        new = _Process(sent_s, sent_s)
        process = self._processes.setdefault(_key(endpoint), new)
        process.ran_s = max(process.ran_s, sent_s)
        self.note_data(endpoint)

    def note_data(self, endpoint):
        """Record data from an endpoint, which is not asked any more if it was lost."""
        process = self._processes.get(_key(endpoint))
        if process is not None:
            process.heard_s = self._clock.seconds()
            process.question = None

    def note_lost(self, endpoint):
        """Ask a lost endpoint for its name until it answers or the window ends."""
        process = self._processes.get(_key(endpoint))
        if process is None or self._age_s(process.heard_s) >= self._window_s:
            return
        if process.question is not None or not self._path(endpoint):
            return
        process.question = next(self._question_numbers)
        self._ask_later(endpoint, process, process.question)

    def _age_s(self, time_s):
        return self._clock.seconds() - time_s

    def _path(self, endpoint):
        return self._health_path_of(endpoint.service)

    def _ask_later(self, endpoint, process, question):
        now_s = self._clock.seconds()
        for after_s in ASK_AFTER_S:
            delay_s = process.heard_s + after_s - now_s
            if delay_s > 0:
                self._clock.callLater(delay_s, self._ask, endpoint, process, question)
                return
        process.question = None

    def _ask(self, endpoint, process, question):
        if process.question != question:
            return
        asked = self._client.identify(endpoint, self._path(endpoint), ASK_TIMEOUT_S)
        asked.addCallback(self._handle_name, endpoint, process, question)

    def _handle_name(self, name, endpoint, process, question):
        if name and name != endpoint.name:
            process.question = None
            self._judge_name(endpoint, name, process)
        elif name:
            process.question = None
            self._on_alive(endpoint)
        elif process.question == question:
            self._ask_later(endpoint, process, question)

    def note_new_name(self, endpoint, name):
        """Report an endpoint as restarted if its address answers under a new name.

        An answer after the window is ignored, because the address may then belong to
        another service.
        """
        process = self._processes.get(_key(endpoint))
        if name and process is not None:
            self._judge_name(endpoint, name, process)

    def _judge_name(self, endpoint, name, process):
        age_s = self._age_s(process.ran_s)
        age_ms = round(age_s * 1000)
        if age_s < self._window_s:
            logger.info(EndpointReturned(endpoint.name, name, age_ms))
            self._on_restart(endpoint, name)
        elif process.ignored_name != name:
            process.ignored_name = name
            logger.info(EndpointNameIgnored(endpoint.name, name, age_ms))

    def discard_unlisted(self, endpoints):
        """Discard endpoints that are no longer listed."""
        listed = {_key(endpoint) for endpoint in endpoints.values()}
        for key in self._processes.keys() - listed:
            del self._processes[key]


def _key(endpoint):
    return endpoint.name, endpoint.address
