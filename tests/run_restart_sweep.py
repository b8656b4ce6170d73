"""Plays restarts of all agents by hand: ``run_restart_sweep.py FIRST COUNT SIZE``."""

import collections
import sys

from restart_sweep import Scenario, draw_phases, late_restarts, run_restarts

ROUNDS = 10
SCENARIOS = ((0.0, 0.0), (0.4, 0.0), (0.0, 0.4), (0.4, 0.4))


def main(first, count, size):
    """Play ``count`` seeds from ``first``; return how many weren't back in time."""
    broken = 0
    for seed in range(first, first + count):
        scenario = Scenario(size, *SCENARIOS[seed % len(SCENARIOS)])
        restarts = run_restarts(seed, scenario, draw_phases(seed, ROUNDS))
        late = late_restarts(restarts)
        broken += bool(late)
        longest_s = max(one.recovery_s for one in restarts)
        met = collections.Counter(one.phase for one in restarts)
        print(
            f"seed {seed}: {scenario}: back after {longest_s:.2f} s at most,", dict(met)
        )
        print(*late, sep="\n", end="", flush=True)
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(*map(int, sys.argv[1:4])) else 0)
