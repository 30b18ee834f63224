"""Spread of plain calls over workers that many routers choose by stale statements.

Run ``python -m bench.spread --seeds 20``. Prints, for each cell, the mean and the 99th
percentile of the wait for a slot, the share of calls turned away, and the work at the
busiest worker against the mean.
"""

import argparse

from tests.forwarding.spread import Fleet

from bench.micro import print_figure


def study(routers, use, news_s, seeds):
    """Print one cell."""
    fleets = [Fleet(routers, use, news_s, seed).run() for seed in range(seeds)]
    waits_s = sorted(wait for fleet in fleets for wait in fleet.waits_s)
    cell = {"routers": routers, "use": use, "news_s": news_s}

    def mean(values):
        return round(sum(values) / len(values), 4)

    print_figure("wait_mean", round(mean(waits_s) * 1000, 1), "ms", **cell)
    p99_s = waits_s[int(len(waits_s) * 0.99)]
    print_figure("wait_p99", round(p99_s * 1000, 1), "ms", **cell)
    away = mean([fleet.turned_away_ratio for fleet in fleets])
    print_figure("turned_away", away, "share", **cell)
    print_figure("busiest", mean([f.busiest_ratio for f in fleets]), "ratio", **cell)


def main():
    """Run the study."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    arguments = parser.parse_args()
    for routers in (9, 81):
        for use in (0.3, 0.6, 0.9):
            for news_s in (None, 0.1, 0.5):
                study(routers, use, news_s, arguments.seeds)


if __name__ == "__main__":
    main()
