"""Share of requests served at routers that lost the path to all endpoints.

Run ``python -m bench.paths --seeds 20``; ``--cut`` takes one of the rows.
"""

import argparse

from tests.platform.path_storm import CONTACT_S, PATHS, PathStorm, Share

from bench.micro import print_figure
from sesamearch.standin.network import PathFault

CUT_S = 8.0
CUTS = {
    "3 of 9": (9, (1, 4, 7)),
    "a data centre of 9": (9, (0, 2, 4, 6, 8)),
    "20 of 40": (40, tuple(range(0, 40, 2))),
}


class _Cell:
    """What some runs served, at routers that were cut off and at the others."""

    def __init__(self):
        self.at_cut = Share([])
        self.at_others = Share([])
        self.run_twice = 0

    def add(self, storm, from_s, to_s):
        """Add the requests of one run."""
        at_cut, at_others = storm.shares(from_s, to_s)
        self.at_cut.add(at_cut)
        self.at_others.add(at_others)
        self.run_twice += len(storm.run_twice)


def _play(cell, routers, cut, fault, kind, seed):
    storm = PathStorm(routers, desks=9, engines=9, seed=seed)
    storm.send_for(2, (kind,))
    begun_s = storm.network.seconds()
    storm.cut_off(cut, (fault,))
    storm.send_for(CUT_S, (kind,))
    ended_s = storm.network.seconds()
    storm.run(3)
    cell.add(storm, begun_s + CONTACT_S, ended_s)


def study(name, seeds):
    """Print a cell for each kind of cut and of request."""
    routers, cut = CUTS[name]
    for fault in PathFault:
        for kind in PATHS:
            cell = _Cell()
            for seed in range(1, seeds + 1):
                _play(cell, routers, cut, fault, kind, seed)
            print_figure(
                "served_at_cut_routers",
                round(cell.at_cut.ratio, 3),
                "share",
                cut=name,
                fault=fault.value,
                kind=kind,
                seeds=seeds,
                at_cut=repr(cell.at_cut),
                at_others=repr(cell.at_others),
                run_twice=cell.run_twice if kind == "unsafe" else None,
            )


def main():
    """Run the study for the rows that are asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--cut", choices=CUTS)
    arguments = parser.parse_args()
    for name in [arguments.cut] if arguments.cut else CUTS:
        study(name, arguments.seeds)


if __name__ == "__main__":
    main()
