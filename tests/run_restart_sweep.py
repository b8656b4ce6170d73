"""Plays restarts of all agents by hand: ``run_restart_sweep.py FIRST COUNT SIZE``."""

import collections
import sys

from restart_sweep import Kind, draw, late_ones, play

ROUNDS = 10
KINDS = ((0.0, 0.0), (0.4, 0.0), (0.0, 0.4), (0.4, 0.4))


def main(first, count, size):
    """Play ``count`` seeds from ``first``; return how many weren't back in time."""
    broken = 0
    for seed in range(first, first + count):
        kind = Kind(size, *KINDS[seed % len(KINDS)])
        restarts = play(seed, kind, draw(seed, ROUNDS))
        late = late_ones(restarts)
        broken += bool(late)
        longest_s = max(one.back_s for one in restarts)
        met = collections.Counter(one.phase for one in restarts)
        print(f"seed {seed}: {kind}: back after {longest_s:.2f} s at most,", dict(met))
        print(*late, sep="\n", end="", flush=True)
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(*map(int, sys.argv[1:4])) else 0)
