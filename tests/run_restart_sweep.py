"""Runs ``restart_sweep`` for many seeds: ``run_restart_sweep.py FIRST COUNT SIZE``.

The seeds are those from ``FIRST``, and ``SIZE`` is the number of ranks.
"""

import collections
import sys

from restart_sweep import Scenario, draw_phases, late_restarts, run_restarts

ROUNDS = 10
SCENARIOS = ((0.0, 0.0), (0.4, 0.0), (0.0, 0.4), (0.4, 0.4))


def main(first, count, size):
    """Run ``count`` seeds from ``first``; return how many had a late recovery."""
    late_seeds = 0
    for seed in range(first, first + count):
        scenario = Scenario(size, *SCENARIOS[seed % len(SCENARIOS)])
        restarts = run_restarts(seed, scenario, draw_phases(seed, ROUNDS))
        late = late_restarts(restarts)
        late_seeds += bool(late)
        longest_s = max(restart.recovery_s for restart in restarts)
        phases = collections.Counter(restart.phase for restart in restarts)
        print(
            f"seed {seed}: {scenario}: slowest recovery {longest_s:.2f} s,",
            dict(phases),
        )
        print(*late, sep="\n", end="", flush=True)
    return late_seeds


if __name__ == "__main__":
    sys.exit(1 if main(*map(int, sys.argv[1:4])) else 0)
