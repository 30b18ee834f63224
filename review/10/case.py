"""A version raises a limit; connections that were open before refuse what it allows."""

import os
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
# With TROUBLE=0 the script does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(CASE.parent))

from lib2.world import (  # noqa: E402
    BROKEN,
    CANNOT_RUN,
    HELD,
    HOST,
    KEY,
    Answer,
    World,
    configuration,
    free_address,
    new_id,
    now_s,
    reactor,
    route,
    run,
    serve,
    sleep,
    unix_ms,
)
from twisted.internet.defer import Deferred  # noqa: E402
from twisted.internet.protocol import ClientCreator, Protocol  # noqa: E402

from sesamearch.standin.platform_worker import PlatformServiceStandin  # noqa: E402

CONTACT_S = 3.0
APPLY_S = 2.0
OLD_HEADER_BYTES = 4096
NEW_HEADER_BYTES = 16384
# Header of a request, within the new limit and above the old one.
LONG_HEADER_BYTES = 8000
IDLE_TIMEOUT_MS = 15000
CONNECTIONS = 24
# DENIED: more than 5 + one in 500 of all requests.
ALLOWED = 5


class KeptClient(Protocol):
    """A client that keeps its connection for several requests."""

    def connectionMade(self):
        """Begin without a request."""
        self.answer = self.done = None

    def ask(self, number, padding=0):
        """Send one request; return a Deferred of its Answer."""
        self.answer, self.done = Answer(new_id(), f"/book/{number}"), Deferred()
        lines = [
            f"POST {self.answer.path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {self.answer.request_id}",
            "X-Deadline-Ms: 1000",
            f"Authorization: Token {KEY}",
            "Content-Length: 1",
        ]
        if padding:
            lines.append("X-Note: " + "n" * padding)
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\nx")
        return self.done

    def dataReceived(self, data):
        """Gather an answer."""
        self.answer.data += data
        head, separator, body = self.answer.data.partition(b"\r\n\r\n")
        if separator and len(body) >= int(self.answer.header("content-length") or 0):
            self.finish()

    def connectionLost(self, reason):
        """End the answer with the connection."""
        self.finish()

    def finish(self):
        """Report the answer."""
        done, self.done = self.done, None
        if done is not None:
            done.callback(self.answer)


def make_configuration(version, header_bytes):
    """Return a version with a limit for heads."""
    content = configuration(version, [route("book", "unsafe", "duct-app")])
    content["limits"]["max-header-bytes"] = header_bytes
    content["limits"]["idle-timeout-ms"] = IDLE_TIMEOUT_MS
    return content


async def main(world):
    """Play the case; return its exit code."""
    worker = PlatformServiceStandin(reactor, "i-7f3a91c2", slots=64)
    address = free_address()
    serve(address, worker)
    world.put_worker(worker.name, "duct-app", address, "ba-north", born=unix_ms())
    before, after = OLD_HEADER_BYTES, NEW_HEADER_BYTES
    if not world.trouble:
        before = after
    world.store.put("op/config", make_configuration(7, before))
    world.add_routers(["ba-north", "ba-south", "trnava"])
    await world.wait_ready()
    await sleep(CONTACT_S)
    clients = []
    for number in range(CONNECTIONS):
        router = world.routers[number % len(world.routers)]
        host, _, port = router.frontend.rpartition(":")
        client = await ClientCreator(reactor, KeptClient).connectTCP(host, int(port))
        answer = await client.ask(number)
        if answer.status != 200:
            return CANNOT_RUN
        clients.append(client)
    world.note(f"{CONNECTIONS} connections are open, each has had one answer")

    world.store.put("op/config", make_configuration(9, after))
    acknowledged_s = now_s()
    world.note(f"version 9 is acknowledged: max-header-bytes is {after}")
    await sleep(APPLY_S + CONTACT_S)
    denied = 0
    for number, client in enumerate(clients):
        answer = await client.ask(number, LONG_HEADER_BYTES)
        has_run = answer.request_id in worker.served
        denied += 400 <= answer.status < 500
        age_s = now_s() - acknowledged_s
        world.note(
            f"head above {LONG_HEADER_BYTES} bytes, on a kept connection,"
            f" {age_s:.1f} s after it: {answer.status}, ran: {has_run}"
        )
    # The same on new connections.
    for number in range(CONNECTIONS):
        router = world.routers[number % len(world.routers)]
        host, _, port = router.frontend.rpartition(":")
        client = await ClientCreator(reactor, KeptClient).connectTCP(host, int(port))
        answer = await client.ask(number, LONG_HEADER_BYTES)
        world.note(f"the same on a new connection: {answer.status}")
        if answer.status != 200:
            return CANNOT_RUN
    total = 3 * CONNECTIONS
    allowed = ALLOWED + total / 500
    world.note(f"{denied} of {total} requests denied, {allowed:.1f} may be")
    return BROKEN if denied > allowed else HELD


if __name__ == "__main__":
    run(World(CASE, TROUBLE), main)
