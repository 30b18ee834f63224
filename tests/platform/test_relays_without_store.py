import unittest

from sesamearch.configuration.platform_settings import PlatformBounds
from sesamearch.standin.network import PathFault
from tests.platform.world import World, make_configuration

CHANGE_INTERVAL_S = 0.7
LOOK_INTERVAL_S = 0.1
CUT_S = 4.0
CYCLE_S = 5.0
CYCLES = 3


class _ChangingWorld(World):
    """A deployment whose operator writes a newer configuration at short intervals.

    Attributes
    ----------
    acknowledged_s : dict from int to float
        Time at which the store acknowledged each version.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.acknowledged_s = {}
        self._write()

    def _write(self):
        version = 100 + len(self.acknowledged_s)
        self.store.put("op/config", make_configuration(version))
        self.acknowledged_s[version] = self.network.seconds()
        self.network.callLater(CHANGE_INTERVAL_S, self._write)

    def relays(self):
        """Return the numbers of the routers that relay for their data centres."""
        return [n for n, each in enumerate(self.routers) if each._peers.is_relay]

    def required_version(self, apply_s):
        """Return the newest version that was acknowledged `apply_s` ago."""
        by_s = self.network.seconds() - apply_s
        known = [v for v, at_s in self.acknowledged_s.items() if at_s <= by_s]
        return max(known, default=0)

    def late_looks(self, numbers, apply_s, seconds):
        """Return how often one of some routers had too old a version in force."""
        late = 0
        for _ in range(round(seconds / LOOK_INTERVAL_S)):
            self.run(LOOK_INTERVAL_S)
            required = self.required_version(apply_s)
            for number in numbers:
                table = self.routers[number].board.configuration.value
                late += table.revision < required
        return late


class _OneWatches(_ChangingWorld):
    """Bounds under which one relay of each data centre stands by."""

    bounds = PlatformBounds(drain_s=3.0)
    apply_s = 3.0


class _BothWatch(_ChangingWorld):
    """Bounds under which both relays of each data centre watch the store."""

    bounds = PlatformBounds(drain_s=2.0)
    apply_s = 2.0


def late_looks(make_world, routers, fault, cut=None):
    """Cut relays off the store for 4 of each 5 s; return the looks at old versions."""
    world = make_world(routers, 1, 1)
    world.run(6)
    cut = world.relays() if cut is None else cut(world)
    others = [n for n in range(routers) if n not in cut]
    late = 0
    for _ in range(CYCLES):
        for number in cut:
            world.cut_store(number, fault)
        late += world.late_looks(others, world.apply_s, CUT_S)
        for number in cut:
            world.mend_store(number)
        late += world.late_looks(others, world.apply_s, CYCLE_S - CUT_S)
    return late


class TestRelaysWithoutStore(unittest.TestCase):
    # Guards against: relays that are alive but don't reach the store keep a newer
    # configuration from all routers that rely on them.
    def test_relays_cut_off_store_keep_no_version_from_the_others(self):
        cases = (
            (_OneWatches, 12, PathFault.RESET),
            (_OneWatches, 12, PathFault.SILENT),
            (_OneWatches, 40, PathFault.RESET),
            (_BothWatch, 9, PathFault.RESET),
            (_BothWatch, 9, PathFault.SILENT),
        )
        self.assertEqual([late_looks(*case) for case in cases], [0] * len(cases))

    # Guards against: the routers that take over from the relays are cut off as well,
    # and the rest waits for them.
    def test_most_routers_cut_off_store_keep_no_version_from_the_rest(self):
        def most(world):
            relays = world.relays()
            rest = [n for n in range(12) if n not in relays]
            return relays + rest[:4]

        worlds = (_OneWatches, _BothWatch)
        late = [late_looks(each, 12, PathFault.SILENT, most) for each in worlds]
        self.assertEqual(late, [0, 0])
