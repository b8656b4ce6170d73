"""Comparison of heartbeat schemes by their traffic and failure detection time.

The traffic is computed for one entry of a domain at full size, both directions
together, with the encodings of :mod:`dotterelplank.daemons.datagrams`.
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
class HeartbeatScheme:
    """The cost and the detection time of one heartbeat scheme.

    :param messages_per_s: messages that an entry sends and receives.
    :param notice_ms: time until all entries have detected a death, without loss.
    :param false_a_day: live endpoints of the domain that one entry declares dead in a
        day because of lost datagrams p_suspected; None if it isn't computed.
    :param lease: whether each entry regularly receives heartbeats of each endpoint.
    """

    name: str
    messages_per_s: float
    bytes_per_s: float
    notice_ms: float
    false_a_day: float | None
    lease: bool


def run() -> tuple[HeartbeatScheme, ...]:
    """Return the figures of every heartbeat scheme."""
    return (
        _full_mesh("full mesh, 1 Hz, dead after 1 miss", 1.0, 1),
        _full_mesh("full mesh, 1 Hz, dead after 4 misses", 1.0, 4),
        _full_mesh("full mesh, 5 Hz, dead after 4 misses", 0.2, 4),
        _table(),
        _swim(),
        _watchers(),
    )


def _heartbeat_bytes(watch: bool) -> int:
    load = None if watch else mm.Load(130, 12, 870)
    heartbeat = mm.Heartbeat(
        "ep-2-0123",
        incarnation=900_000_000,
        sequence=10_000_000,
        sent_ms=1_000_000_000,
        intent=mm.Intent.SERVING,
        watch=watch,
        load=load,
    )
    return len(datagrams.seal(heartbeat, DATAGRAM_KEY)) + datagrams.HEADER_BYTES


def _full_mesh(name: str, period_s: float, misses: int) -> HeartbeatScheme:
    messages = AGENTS / period_s
    false_a_day = messages * 86_400 * LOSS**misses
    size_bytes = messages * _heartbeat_bytes(False)
    notice_ms = 1_000 * period_s * (misses + 1)
    return HeartbeatScheme(name, messages, size_bytes, notice_ms, false_a_day, True)


def _table() -> HeartbeatScheme:
    """Return the scheme in which entries gossip a table of all endpoints.

    Each entry receives the heartbeats of its share of the endpoints at 5 Hz and sends
    the whole table on.
    """
    rows = [(index, 10_000_000 + index, 142) for index in range(AGENTS)]
    table_bytes = len(msgpack.packb(rows)) + datagrams.HEADER_BYTES
    exchanges = 2 * TABLE_FANOUT / TABLE_PERIOD_S
    own_messages = AGENTS / ENTRIES / SWIM_PERIOD_S
    size_bytes = exchanges * table_bytes + own_messages * _heartbeat_bytes(True)
    rounds = math.log2(ENTRIES) + math.log(ENTRIES)
    notice_ms = 1_000 * TABLE_PERIOD_S * (rounds + 3)
    return HeartbeatScheme(
        "table passed on at 5 Hz",
        exchanges + own_messages,
        size_bytes,
        notice_ms,
        None,
        True,
    )


def _swim() -> HeartbeatScheme:
    """Return the scheme in which each process probes a random other each period."""
    probe_bytes = len(
        datagrams.seal(datagrams.Probe("en-2-0123", 10_000), DATAGRAM_KEY)
    )
    probe_bytes += datagrams.HEADER_BYTES
    exchange_bytes = probe_bytes + _heartbeat_bytes(True)
    messages = 4 / SWIM_PERIOD_S
    # It takes some periods until a process probes the dead one.
    tail_periods = math.log(0.01) / math.log(1 - 1 / math.e)
    dissemination_periods = math.log(ENTRIES + AGENTS)
    notice_ms = 1_000 * SWIM_PERIOD_S * (tail_periods + 1 + dissemination_periods)
    size_bytes = 2 * exchange_bytes / SWIM_PERIOD_S
    name = "one drawn probe each 200 ms (SWIM), 99 in 100 deaths"
    return HeartbeatScheme(name, messages, size_bytes, notice_ms, None, False)


def _watchers() -> HeartbeatScheme:
    policy = MembershipPolicy()
    watched = AGENTS * policy.watchers / ENTRIES
    fast = watched * 1_000 / policy.agent_heartbeat_ms
    slow = AGENTS * 1_000 / policy.agent_rotation_ms
    size_bytes = fast * _heartbeat_bytes(True) + slow * _heartbeat_bytes(False)
    missed_ms = policy.max_missed * policy.agent_heartbeat_ms + policy.slack_ms
    probing_ms = policy.probes * policy.probe_interval_ms
    notice_ms = missed_ms + probing_ms + policy.tick_ms
    # Two watchers must each lose two heartbeats and three probes or their answers.
    p_suspected = LOSS**policy.max_missed * (2 * LOSS) ** policy.probes
    false_a_day = AGENTS * policy.watchers * 1_000 / policy.agent_heartbeat_ms
    false_a_day *= 86_400 * p_suspected**policy.suspecters
    name = "three watchers at 3.3 Hz, all entries at 0.4 Hz"
    return HeartbeatScheme(name, fast + slow, size_bytes, notice_ms, false_a_day, True)


def command(
    as_json: t.Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Compare the heartbeat schemes at full size."""
    shapes = run()
    if as_json:
        typer.echo(json.dumps([dataclasses.asdict(s) for s in shapes], indent=2))
        return
    for shape in shapes:
        false = "unknown" if shape.false_a_day is None else f"{shape.false_a_day:.2g}"
        lease = "heartbeats of each" if shape.lease else "no heartbeats of each"
        typer.echo(
            f"{shape.name}: {shape.messages_per_s:.0f}/s, {shape.bytes_per_s:.0f} B/s,"
            f" detected in {shape.notice_ms:.0f} ms, false a day:"
            f" {false}, {lease}"
        )


if __name__ == "__main__":
    typer.run(command)
