"""Traffic and time to notice of other shapes of heartbeats, from real encodings.

Each shape is counted for one entry of a domain at full size, both directions
together, with the encodings of :mod:`dotterelplank.datagrams`.
"""

import dataclasses
import json
import math
import typing as t

import msgpack
import typer

from ..daemons import datagrams
from ..members import messages as mm
from ..members.state import MembershipPolicy
from .carriers import DATAGRAM_KEY

ENTRIES = 82
AGENTS = 152
LOSS = 0.01
SWIM_PERIOD_S = 0.2
TABLE_PERIOD_S = 0.2
TABLE_FANOUT = 1


@dataclasses.dataclass(frozen=True)
class Shape:
    """One way of sending heartbeats, as it burdens an entry.

    :param notice_ms: time in which all entries know of a death, without loss.
    :param false_a_day: deaths of the living that loss alone makes one entry judge,
        summed over the endpoints of the domain; ``None`` where it isn't worked out.
    :param lease: whether each entry keeps a fresh word of each endpoint.
    """

    name: str
    messages_per_s: float
    bytes_per_s: float
    notice_ms: float
    false_a_day: float | None
    lease: bool


def run() -> tuple[Shape, ...]:
    """Return every shape."""
    return (
        _mesh("full mesh, 1 Hz, dead after 1 miss", 1.0, 1),
        _mesh("full mesh, 1 Hz, dead after 4 misses", 1.0, 4),
        _mesh("full mesh, 5 Hz, dead after 4 misses", 0.2, 4),
        _table(),
        _swim(),
        _watchers(),
    )


def _beat_bytes(watch: bool) -> int:
    load = None if watch else mm.Load(130, 12, 870)
    beat = mm.Heartbeat(
        "ep-2-0123",
        incarnation=900_000_000,
        sequence=10_000_000,
        sent_ms=1_000_000_000,
        intent=mm.Intent.SERVING,
        watch=watch,
        load=load,
    )
    return len(datagrams.seal(beat, DATAGRAM_KEY)) + datagrams.HEADER_BYTES


def _mesh(name: str, period_s: float, misses: int) -> Shape:
    messages = AGENTS / period_s
    false_a_day = messages * 86_400 * LOSS**misses
    size_bytes = messages * _beat_bytes(False)
    notice_ms = 1_000 * period_s * (misses + 1)
    return Shape(name, messages, size_bytes, notice_ms, false_a_day, True)


def _table() -> Shape:
    """Entries watch a share each at 5 Hz and pass the whole table on."""
    rows = [(index, 10_000_000 + index, 142) for index in range(AGENTS)]
    table_bytes = len(msgpack.packb(rows)) + datagrams.HEADER_BYTES
    exchanges = 2 * TABLE_FANOUT / TABLE_PERIOD_S
    own = AGENTS / ENTRIES / SWIM_PERIOD_S
    size_bytes = exchanges * table_bytes + own * _beat_bytes(True)
    rounds = math.log2(ENTRIES) + math.log(ENTRIES)
    notice_ms = 1_000 * TABLE_PERIOD_S * (rounds + 3)
    return Shape(
        "table passed on at 5 Hz", exchanges + own, size_bytes, notice_ms, None, True
    )


def _swim() -> Shape:
    """Each process probes one drawn other in each period."""
    probe_bytes = len(
        datagrams.seal(datagrams.Probe("en-2-0123", 10_000), DATAGRAM_KEY)
    )
    probe_bytes += datagrams.HEADER_BYTES
    pair_bytes = probe_bytes + _beat_bytes(True)
    messages = 4 / SWIM_PERIOD_S
    # The probe that finds the death is only sent some periods later.
    tail_periods = math.log(0.01) / math.log(1 - 1 / math.e)
    spread = math.log(ENTRIES + AGENTS)
    notice_ms = 1_000 * SWIM_PERIOD_S * (tail_periods + 1 + spread)
    size_bytes = 2 * pair_bytes / SWIM_PERIOD_S
    name = "one drawn probe each 200 ms (SWIM), 99 in 100 deaths"
    return Shape(name, messages, size_bytes, notice_ms, None, False)


def _watchers() -> Shape:
    policy = MembershipPolicy()
    watched = AGENTS * policy.watchers / ENTRIES
    fast = watched * 1_000 / policy.agent_heartbeat_ms
    slow = AGENTS * 1_000 / policy.agent_rotation_ms
    size_bytes = fast * _beat_bytes(True) + slow * _beat_bytes(False)
    quiet_ms = policy.max_missed * policy.agent_heartbeat_ms + policy.slack_ms
    probing_ms = policy.probes * policy.probe_interval_ms
    notice_ms = quiet_ms + probing_ms + policy.tick_ms
    # Two watchers each lose two heartbeats and three answers to probes.
    alone = LOSS**policy.max_missed * (2 * LOSS) ** policy.probes
    false_a_day = AGENTS * policy.watchers * 1_000 / policy.agent_heartbeat_ms
    false_a_day *= 86_400 * alone**policy.suspecters
    name = "three watchers at 3.3 Hz, all entries at 0.4 Hz"
    return Shape(name, fast + slow, size_bytes, notice_ms, false_a_day, True)


def command(
    as_json: t.Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Compare the shapes of heartbeats at full size."""
    shapes = run()
    if as_json:
        typer.echo(json.dumps([dataclasses.asdict(s) for s in shapes], indent=2))
        return
    for shape in shapes:
        false = "unknown" if shape.false_a_day is None else f"{shape.false_a_day:.2g}"
        lease = "fresh word of each" if shape.lease else "no fresh word"
        typer.echo(
            f"{shape.name}: {shape.messages_per_s:.0f}/s, {shape.bytes_per_s:.0f} B/s,"
            f" noticed in {shape.notice_ms:.0f} ms, false a day:"
            f" {false}, {lease}"
        )


if __name__ == "__main__":
    typer.run(command)
