import unittest

from sesamearch.membership.fleet_keys import FLEET_KEYS_KEY
from tests.platform.world import World, request_bytes

ODD_KEY = "servers/odd"
ENTRY = {
    "service": "desk",
    "address": "10.1.0.99:8000",
    "zone": "east",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold-left-ms": 0,
    "sequence": 1,
}
# What another writer may leave in place of an entry that can be used.
ODD_ENTRIES = {
    "100,000 brackets deep": b'{"extra": %s%s}' % (b"[" * 100_000, b"]" * 100_000),
    "5,000 brackets deep": b'{"extra": %s%s}' % (b"[" * 5000, b"]" * 5000),
    "start time of 40 digits": {**ENTRY, "born": int("9" * 40)},
    "slots of 40 digits": {**ENTRY, "slots": int("9" * 40)},
    "negative slots": {**ENTRY, "slots": -3},
    "negative start time": {**ENTRY, "born": -7},
    "port of a superscript digit": {**ENTRY, "address": "10.1.0.99:²"},
    "port of 5,000 digits": {**ENTRY, "address": f"10.1.0.99:{'9' * 5000}"},
    "port above the range": {**ENTRY, "address": "10.1.0.99:83430"},
    "port zero": {**ENTRY, "address": "10.1.0.99:0"},
    "host that is no address": {**ENTRY, "address": "a.b.c.d:8000"},
    "host above the range": {**ENTRY, "address": "999.1.0.1:8000"},
    "bytes that are no text": b"\xff\xfe\x00",
    "lone surrogate": b'{"service": "\\ud800"}',
}


class _World(World):
    """Twelve routers; an odd entry is written before another endpoint starts."""

    def __init__(self, entry):
        super().__init__(12, 2, 1)
        self.run(4)
        self.store.put(ODD_KEY, entry)
        self.run(5)
        self.late = self.add_desk(7)
        self.run(3)

    @property
    def routers_that_know(self):
        """Int : number of routers that list the endpoint that started late."""
        boards = [router.board.endpoints.value for router in self.routers]
        return sum(self.late.name in board for board in boards)

    @property
    def routers_with_odd(self):
        """Int : number of routers that list the odd entry."""
        return sum("odd" in r.board.endpoints.value for r in self.routers)

    def failed_requests(self):
        """Return how many of some requests at all routers were not answered 200."""
        clients = []
        for number in range(len(self.routers)):
            for path, method in (("/post/1", "POST"), ("/look/1", "GET")):
                data = request_bytes(path, f"{path[1:5]}{number}", method)
                clients.append(self.connect(number).send(data))
                self.run(0.05)
        self.run(2)
        return sum(client.status != 200 for client in clients)


class TestOddEntries(unittest.TestCase):
    # Guards against: one odd entry of another writer stops the list of endpoints at
    # all routers, or is taken for an endpoint to send to.
    def test_odd_entry_costs_no_other_endpoint(self):
        seen = {}
        for name, entry in ODD_ENTRIES.items():
            world = _World(entry)
            found = (world.routers_that_know, world.routers_with_odd)
            seen[name] = (*found, world.failed_requests())
        self.assertEqual(seen, dict.fromkeys(ODD_ENTRIES, (12, 0, 0)))

    # Guards against: an entry of another writer under the id of a live endpoint, with
    # fields missing, sends it requests of a service that is not its own.
    def test_entry_with_fields_missing_sends_no_request_to_its_address(self):
        world = World(3, 2, 1)
        other = world.add_desk(7)
        world.update_entry(other, "invoices", 7)
        world.run(1)
        fields = ("service", "address", "zone", "version", "state")
        entry = {**ENTRY, "address": other.address}
        world.store.put(f"servers/{other.name}", {f: entry[f] for f in fields})
        world.run(1)
        for number in range(30):
            data = request_bytes("/post/1", f"r{number}", "POST")
            client = world.send_request(data, number % 3, wait_s=0.1)
            self.assertEqual(client.status, 200)
        self.assertEqual(other.runs, [])

    # Guards against: an entry that can't be decoded is logged each time it is read.
    def test_odd_entry_is_logged_once(self):
        world = _World(b"[")
        followers = [router._followers[1] for router in world.routers]
        for _ in range(3):
            world.store.discard_history()
            world.run(3)
            world.update_entry(world.late, "desk", 7, state="draining")
            world.run(1)
            world.update_entry(world.late, "desk", 7)
        counts = [each.skipped_entries for each in followers]
        self.assertEqual(max(counts), 1)

    # Guards against: the end of the history makes all routers read the store again.
    def test_lost_history_is_read_again_by_the_relays_alone(self):
        world = World(12, 2, 1)
        world.run(6)
        watchers = sum(router._follows_store() for router in world.routers)
        before = world.store.calls["kv-watch"]
        prefixes, read = [], world.store._kv_range

        def note_read(query, body, reply):
            prefixes.append(query["prefix"])
            read(query, body, reply)

        world.store._kv_range = note_read
        world.store.discard_history()
        world.run(5)
        watches = world.store.calls["kv-watch"] - before
        # Each reads and watches the operators' keys, the endpoints and the quarantines.
        reads = [each for each in prefixes if each != FLEET_KEYS_KEY.decode()]
        self.assertEqual((watchers, len(reads)), (4, 3 * 4))
        # The first relay of each data centre renews two watches each two seconds; the
        # second one sends its two again, while the first one does not follow the store.
        self.assertEqual(watches, 3 * 4 + 2 * 2 * 2 + 2 * 2)
