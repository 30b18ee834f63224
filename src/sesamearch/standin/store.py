"""Stand-in for the platform's key-value service: a subset of etcd's JSON gateway."""

import base64
import json

from klein import Klein
from twisted.internet.defer import Deferred

from sesamearch.store.store import Comparison, MemoryStore, Put, WatchReceiver

__all__ = ["StandinStore"]


def _decode_base64(text):
    return base64.b64decode(text or "")


def _encode_base64(value):
    return base64.b64encode(value).decode()


def _header(revision):
    return {"revision": str(revision)}


def _kv_json(item):
    return {
        "key": _encode_base64(item.key),
        "value": _encode_base64(item.value),
        "mod_revision": str(item.mod_revision),
        "lease": str(item.lease),
    }


class _WatchWriter(WatchReceiver):
    """Writes the changes of a watch to its streamed response."""

    def __init__(self, request):
        self._request = request

    def changed(self, puts, revision):
        events = []
        for put in puts:
            kv = {"key": _encode_base64(put.key), "mod_revision": str(revision)}
            if put.value is None:
                events.append({"type": "DELETE", "kv": kv})
            else:
                kv["value"] = _encode_base64(put.value)
                events.append({"kv": kv})
        self.write({"header": _header(revision), "events": events})

    def write(self, result):
        """Write a frame."""
        self._request.write(json.dumps({"result": result}).encode() + b"\n")

    def ended(self):
        self._request.finish()


class StandinStore:
    """Serves a :class:`MemoryStore` over HTTP, with switchable faults.

    ``POST /standin/outage`` with ``true`` or ``false`` begins or ends an outage, in
    which every call fails. ``POST /standin/lost-answers`` with a number makes the
    next writes, up to that number, take effect although their response is an error.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
    items : dict from bytes to bytes
        Initial content.
    """

    app = Klein()

    def __init__(self, reactor, items):
        self.state = MemoryStore(reactor)
        self.state.txn([], [Put(key, value) for key, value in items.items()])
        self.calls = 0
        self._outage = False
        self._lost_answers = 0

    def _answer(self, request, body):
        self.calls += 1
        if self._outage:
            return self._unavailable(request)
        request.setHeader("Content-Type", "application/json")
        return json.dumps(body)

    def _unavailable(self, request):
        request.setResponseCode(503)
        return json.dumps({"error": "unavailable", "code": 14})

    @app.route("/v3/kv/range", methods=["POST"])
    def range(self, request):
        """Read all keys with a prefix."""
        body = json.load(request.content)
        reply = self.state.range(_decode_base64(body["key"]))
        kvs = [_kv_json(item) for item in reply.items]
        header = _header(reply.revision)
        return self._answer(request, {"header": header, "kvs": kvs})

    @app.route("/v3/kv/txn", methods=["POST"])
    def txn(self, request):
        """Write if all comparisons hold."""
        if self._outage:
            return self._unavailable(request)
        body = json.load(request.content)
        comparisons = [
            Comparison(_decode_base64(c["key"]), int(c.get("mod_revision", 0)))
            for c in body.get("compare", ())
        ]
        puts = [self._put(operation) for operation in body.get("success", ())]
        reply = self.state.txn(comparisons, puts)
        if self._lost_answers:
            self._lost_answers -= 1
            return self._unavailable(request)
        parts = [{"response_range": {"kvs": [_kv_json(item)]}} for item in reply.found]
        answer = {"header": _header(reply.revision), "responses": parts}
        answer["succeeded"] = reply.succeeded
        return self._answer(request, answer)

    @staticmethod
    def _put(operation):
        if "request_delete_range" in operation:
            return Put(_decode_base64(operation["request_delete_range"]["key"]), None)
        put = operation["request_put"]
        lease = int(put.get("lease", 0))
        return Put(_decode_base64(put["key"]), _decode_base64(put["value"]), lease)

    @app.route("/v3/lease/grant", methods=["POST"])
    def grant_lease(self, request):
        """Grant a lease."""
        ttl_s = int(json.load(request.content)["TTL"])
        lease = self.state.grant_lease(ttl_s)
        return self._answer(request, {"ID": str(lease), "TTL": str(ttl_s)})

    @app.route("/v3/lease/keepalive", methods=["POST"])
    def renew_lease(self, request):
        """Renew a lease."""
        lease = int(json.load(request.content)["ID"])
        ttl = "1" if self.state.renew_lease(lease) else "0"
        return self._answer(request, {"result": {"ID": str(lease), "TTL": ttl}})

    @app.route("/v3/watch", methods=["POST"])
    def watch(self, request):
        """Stream the changes below a prefix, one JSON frame per line."""
        if self._outage:
            return self._unavailable(request)
        self.calls += 1
        create = json.load(request.content)["create_request"]
        writer = _WatchWriter(request)
        revision = int(create.get("start_revision", self.state.revision + 1)) - 1
        writer.write({"header": _header(self.state.revision), "created": True})
        watch = self.state.watch(_decode_base64(create["key"]), revision, writer)
        request.notifyFinish().addBoth(lambda _: watch.cancel())
        return Deferred()

    def silence_watches(self):
        """Report nothing more to the present watches, whose connections stay open."""
        self.state.watches.clear()

    @app.route("/standin/outage", methods=["POST"])
    def switch_outage(self, request):
        """Begin or end an outage, as the body says."""
        self.set_outage(bool(json.load(request.content)))
        return "{}"

    def set_outage(self, is_unavailable):
        """Begin or end an outage; all watches end when it begins."""
        self._outage = is_unavailable
        if is_unavailable:
            for watch in list(self.state.watches):
                watch.receiver.ended()

    def lose_answers(self, count):
        """Lose the responses of the next `count` writes."""
        self._lost_answers = count

    @app.route("/standin/lost-answers", methods=["POST"])
    def switch_lost_answers(self, request):
        """Lose the responses of the next writes; the body has their number."""
        self.lose_answers(int(json.load(request.content)))
        return "{}"
