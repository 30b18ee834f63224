"""Random restores of the store, writes, cuts and restarts: routers agree in the end."""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from sesamearch.store.store import Put
from tests.platform.world import World, make_configuration, request_bytes

ROUTERS = 4
# Longer than a rollout, and than an ended endpoint is kept out of a restored list.
SETTLED_S = 45.0
# Equal orders within this time after a restore are repetitions.
REPETITION_S = 30.0
DURATION_S = 12
# Endpoints that ended are kept out of a restored list for longer than this.
KEPT_OUT_S = 25.0
FINAL = ("reverted", "complete")


class RestoredStore(RuleBasedStateMachine):
    """Operators, endpoints and routers act while the store loses what it had."""

    def __init__(self):
        super().__init__()
        self.world = World(routers=ROUTERS, desks=2, engines=0)
        self.new = [self.world.add_desk(number, version="v2") for number in (2, 3)]
        self.desks = [*self.world.desks, *self.new]
        self.version = 7
        self.orders = 0
        self.restored_s = float("-inf")
        self.requests = 0
        self.is_cut = set()
        self.revisions = {}
        # An exception in a listener would end the work of the router instead.
        self.violations = []
        self.finals = {}
        for router in self.world.routers:
            self.watch(router)
        self.world.run(3)

    def watch(self, router):
        """Check each configuration of a process against the one before."""
        name = router._settings.name
        self.revisions[name] = 0
        self.finals.pop(name, None)
        left = set()

        def note(table):
            if table.revision < self.revisions[name]:
                self.violations.append(f"{name}: configuration regressed")
            self.revisions[name] = table.revision

        def note_endpoints(endpoints):
            is_recent = self.world.network.seconds() < self.restored_s + KEPT_OUT_S
            for each in endpoints.values():
                process = (each.name, each.born_ms)
                if each.leaving:
                    left.add(process)
                elif is_recent and process in left:
                    self.violations.append(f"{name}: {process} is ready again")

        router.board.configuration.listen(note)
        router.board.endpoints.listen(note_endpoints)

    @invariant()
    def listeners_found_nothing(self):
        """No listener of a router's state has seen a violation."""
        assert not self.violations, self.violations

    @invariant()
    def final_states_stay(self):
        """A process that acted on a final state of the last order keeps to it."""
        for router in self.world.routers:
            rollout = router._rollout_controller.rollouts.get("desk")
            if rollout is None or rollout.state.value not in FINAL:
                assert router._settings.name not in self.finals, "decided anew"
                continue
            if rollout.order.length_s == DURATION_S + self.orders:
                known = self.finals.setdefault(
                    router._settings.name, rollout.state.value
                )
                assert known == rollout.state.value, "another final state"

    def run_steps(self, seconds):
        for _ in range(max(1, int(seconds / 0.5))):
            self.world.run(0.5)
            self.final_states_stay()
            self.listeners_found_nothing()

    @rule(seconds=st.sampled_from([0.5, 2, 6]))
    def wait(self, seconds):
        self.run_steps(seconds)

    @rule()
    def configure(self):
        self.version += 1
        self.world.store.put("op/config", make_configuration(self.version))

    @rule(index=st.integers(0, 3), state=st.sampled_from(["ready", "draining"]))
    def write_entry(self, index, state):
        desk = self.desks[index]
        born = int(self.world.network.seconds() * 1000)
        version = "v2" if desk in self.new else "v1"
        if state == "draining":
            born = getattr(desk, "born", 0)
        desk.born = born
        self.world.update_entry(
            desk, "desk", index, state=state, born=born, version=version
        )

    @rule(index=st.integers(0, 3))
    def remove_entry(self, index):
        self.world.store.remove(f"servers/{self.desks[index].name}")

    @rule(ttl_s=st.sampled_from([1, 3]))
    def lease_an_entry(self, ttl_s):
        state = self.world.store.state
        entry = state.items.get(b"servers/desk-1")
        if entry is not None:
            lease = state.grant_lease(ttl_s)
            put = Put(entry.key, entry.value, lease)
            state.txn([], [put])
            self.world.network.callLater(ttl_s + 0.1, state.expire)

    @rule(is_bad=st.booleans())
    def order(self, is_bad):
        for desk in self.new:
            desk.status = 500 if is_bad else 200
        self.orders += 1
        self.finals.clear()
        order = {
            "service": "desk",
            "target": "v2",
            "duration-s": DURATION_S + self.orders,
        }
        self.world.store.put("op/rollout/desk", order)
        self.run_steps(0.5)

    @precondition(lambda self: self.orders)
    @rule()
    def order_again(self):
        if self.world.network.seconds() < self.restored_s + REPETITION_S:
            return
        key = b"op/rollout/desk"
        item = self.world.store.state.items[key]
        self.finals.clear()
        self.world.store.put(key.decode(), item.value)
        self.run_steps(1)

    @rule(count=st.sampled_from([10, 60]))
    def send_requests(self, count):
        for _ in range(count):
            self.requests += 1
            client = self.world.connect(self.requests % ROUTERS)
            client.send(request_bytes("/look/1", f"q{self.requests}"))
            self.world.run(0.02)
        self.world.run(0.2)

    @rule(
        seconds_back=st.sampled_from([0.2, 2, 8]),
        away_s=st.sampled_from([0.1, 1.5]),
        pause_s=st.sampled_from([0.0, 0.5, 2]),
    )
    def restore(self, seconds_back, away_s, pause_s):
        self.restored_s = self.world.network.seconds() + away_s
        self.world.store.restore(seconds_back, away_s)
        self.world.run(away_s + 0.05)
        if pause_s:
            self.run_steps(pause_s)
        self.world.store.write_again()

    @rule(index=st.integers(0, ROUTERS - 1))
    def cut(self, index):
        self.is_cut ^= {index}
        address = self.world.routers[index]._settings.peer.listen
        self.world.sockets[address].is_cut = index in self.is_cut

    @rule(index=st.integers(0, ROUTERS - 1))
    def restart(self, index):
        router = self.world.routers[index]
        self.world.stop_router(router)
        self.is_cut.discard(index)
        self.world.routers[index] = self.world.add_router(index)
        self.watch(self.world.routers[index])
        self.run_steps(1)

    def teardown(self):
        for index in list(self.is_cut):
            self.cut(index)
        self.run_steps(SETTLED_S)
        self.check_agreement()

    def check_agreement(self):
        routers = self.world.routers
        revisions = {each.board.configuration.value.revision for each in routers}
        assert revisions == {self.version}, revisions
        lists = [
            {
                name: endpoint.leaving
                for name, endpoint in each.board.endpoints.value.items()
            }
            for each in routers
        ]
        assert all(each == lists[0] for each in lists), lists
        keys = {each._peers.keys.public_key for each in routers}
        assert len(keys) == 1, keys
        if self.orders:
            self.check_rollouts()

    def check_rollouts(self):
        rollouts = [
            each._rollout_controller.rollouts["desk"] for each in self.world.routers
        ]
        states = {each.state.value for each in rollouts}
        lengths = {each.order.length_s for each in rollouts}
        assert lengths == {DURATION_S + self.orders}, lengths
        assert len(states) == 1, states
        status = self.world.store.state.items[b"status/rollout/desk"].value
        assert states.pop().encode() in status, status


TestRestoredStore = RestoredStore.TestCase
TestRestoredStore.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=12,
    stateful_step_count=12,
    database=None,
    suppress_health_check=list(HealthCheck),
)


if __name__ == "__main__":
    unittest.main()
