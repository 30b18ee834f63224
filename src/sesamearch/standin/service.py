"""Stand-in for a plain service whose calls must run at most once."""

import json
import os

import msgspec
from klein import Klein
from twisted.internet.task import deferLater

__all__ = ["ServiceSwitches", "StandinService"]


class ServiceSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Faults and timing of the stand-in.

    Parameters
    ----------
    delay_ms : float
        Delay of each response.
    error : bool
        Run the call, then respond with status 500.
    refuse : bool
        Respond with status 503 and ``Sesame-Ran: not_run``, without running the call.
    lose_answers : bool
        Run the call, then reset the connection.
    die_on_call : int or None
        Run the call with this number, counted from one, then exit abruptly before the
        response.
    """

    delay_ms: float = 5.0
    error: bool = False
    refuse: bool = False
    lose_answers: bool = False
    die_on_call: int | None = None


class StandinService:
    """Runs calls and records the idempotency keys of those that are not GET requests.

    ``GET /standin/runs`` lists the keys in the order in which the calls ran; a key
    that occurs twice belongs to an operation that wrongly ran twice.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
    version : str
    switches : ServiceSwitches
    """

    app = Klein()

    def __init__(self, reactor, version, switches):
        self._reactor = reactor
        self.version = version
        self.switches = switches
        self.runs = []

    @app.route("/standin/runs", methods=["GET"])
    def list_runs(self, request):
        """List the keys of the calls that ran."""
        return json.dumps(self.runs)

    @app.route("/standin/switch", methods=["POST"])
    def switch(self, request):
        """Change the switches that the body names."""
        changes = json.load(request.content)
        merged = {**msgspec.to_builtins(self.switches), **changes}
        self.switches = msgspec.convert(merged, ServiceSwitches)
        return "{}"

    @app.route("/", branch=True, methods=["GET", "POST", "PUT", "PATCH", "DELETE"])
    def call(self, request):
        """Run a call; handles all other paths."""
        if self.switches.refuse:
            request.setResponseCode(503)
            request.setHeader("Sesame-Ran", "not_run")
            return "leaving"
        key = request.getHeader("Idempotency-Key") or ""
        if request.method != b"GET":
            self.runs.append(key)
        if self.switches.die_on_call == len(self.runs):
            os._exit(9)
        if self.switches.lose_answers:
            request.transport.abortConnection()
            return ""
        if self.switches.error:
            request.setResponseCode(500)
            return "service error"
        answer = {"number": len(self.runs), "key": key, "version": self.version}
        answer["path"] = request.path.decode()
        request.setHeader("Content-Type", "application/json")
        delay_s = self.switches.delay_ms / 1000
        return deferLater(self._reactor, delay_s, json.dumps, answer)
