"""Runs the path soak with a range of seeds: ``run_path_soak.py FIRST COUNT``."""

import asyncio
import sys
import traceback

from path_soak import Soak

DURATION_S = 6.0


def main(first, count):
    """Run ``count`` seeds from ``first``; return how many failed."""
    failed_seeds = 0
    for seed in range(first, first + count):
        soak = Soak(seed, DURATION_S)
        try:
            asyncio.run(soak.run())
            result = "kept"
        except Exception:
            failed_seeds += 1
            result = traceback.format_exc()
        statuses = sorted({str(one.status) for one in soak.seen})
        print(f"seed {seed}: {len(soak.seen)} calls, {len(soak.faults)} faults,")
        print(f"  {' '.join(statuses)}; {soak.group.maps()} maps,", end=" ")
        pause_s = soak.group.longest_pause_s()
        print(
            f"longest pause {pause_s:.1f} s, back after {soak.recovery_s:.1f} s:",
            end=" ",
        )
        print(result, flush=True)
    return failed_seeds


if __name__ == "__main__":
    sys.exit(1 if main(int(sys.argv[1]), int(sys.argv[2])) else 0)
