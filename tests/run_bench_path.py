"""Starts the processes that the path benchmark measures, and prints its report.

Run as ``python tests/run_bench_path.py [--json]``.
"""

import dataclasses
import json
import sys

from processes import start_small, system

from dotterelplank.benches import path as bench_path
from dotterelplank.benches.path import Load, Target

ENGINES = 4
FAST = {"base_step_ms": 1.0, "per_running_ms": 0.0, "max_running": 64}
STEADY = {"base_step_ms": 26.0, "per_running_ms": 0.0, "max_running": 64}
SHORT_LOADS = [
    Load(f"unary, {count} at once", False, count, 200 * min(count, 8), 1)
    for count in (1, 8, 64)
]
STREAM_LOADS = [
    Load(f"stream, {count} at once", True, count, 20 * min(count, 16), 40)
    for count in (1, 16, 64)
]
SHARE_LOAD = Load("share of an entry", True, 0, 280, 400, rate_per_s=7.0)


def measure(engine_settings, loads):
    with system() as made:
        arguments = ("--settings", json.dumps(engine_settings), "--threads", "160")
        start_small(
            made, entries=1, engines=ENGINES, services=0, engine_arguments=arguments
        )
        engines = [made.url(f"engine-{number}") for number in range(1, ENGINES + 1)]
        hosts = ["entry-1"] + [f"drafting-{n}" for n in range(1, ENGINES + 1)]
        addresses = [
            f"127.0.0.1:{made.processes[host].ports['status_port']}" for host in hosts
        ]
        through = Target("through", (made.caller_url("entry-1"),), tuple(addresses[:2]))
        targets = [Target("direct", tuple(engines)), through]
        return bench_path.run(loads, targets, "drafting", "crew")


def main():
    short = measure(FAST, SHORT_LOADS)
    steady = measure(STEADY, [*STREAM_LOADS, SHARE_LOAD])
    report = dataclasses.replace(
        short, measurements=short.measurements + steady.measurements
    )
    if "--json" in sys.argv:
        print(json.dumps(dataclasses.asdict(report), indent=2))
    else:
        print(bench_path.as_text(report), end="")


if __name__ == "__main__":
    main()
