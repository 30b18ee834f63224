"""Stand-in for a plain service whose calls may not be repeated."""

import json
import os

import msgspec
from klein import Klein
from twisted.internet.task import deferLater

__all__ = ["ServiceSwitches", "StandinService"]


class ServiceSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """What the stand-in does wrong.

    Parameters
    ----------
    delay_ms : float
        Time before each answer.
    error : bool
        Answer 500 after having run.
    refuse : bool
        Answer 503 with ``Sesame-Ran: not_run`` without running.
    lose_answers : bool
        Run, then drop the connection.
    die_on_call : int or None
        Exit without notice in the middle of that call, after having run it.
    """

    delay_ms: float = 5.0
    error: bool = False
    refuse: bool = False
    lose_answers: bool = False
    die_on_call: int | None = None


class StandinService:
    """Run calls and remember each one.

    ``GET /standin/runs`` lists the idempotency keys in the order in which they
    ran; a key that stands there twice is a broken promise.

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
        """List what ran."""
        return json.dumps(self.runs)

    @app.route("/standin/switch", methods=["POST"])
    def switch(self, request):
        """Change the faults."""
        changes = json.load(request.content)
        merged = {**msgspec.to_builtins(self.switches), **changes}
        self.switches = msgspec.convert(merged, ServiceSwitches)
        return "{}"

    @app.route("/", branch=True, methods=["GET", "POST", "PUT", "PATCH", "DELETE"])
    def call(self, request):
        """Run any other call."""
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
