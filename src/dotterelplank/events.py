"""Numbered log events and the one way to log them.

Each event has a fixed number, a name, a level and a sentence for operators;
``docs/EVENTS.md`` lists them all.
"""

import dataclasses
import logging
import typing as t

_EVENTS: dict[int, "Event"] = {}


@dataclasses.dataclass(frozen=True)
class Event:
    """A kind of log record.

    :param number: fixed number, unique in the package.
    :param name: short name, unique in the package.
    :param level: level of :mod:`logging`.
    :param meaning: what an operator should read in it.
    """

    number: int
    name: str
    level: int
    meaning: str


def _define(number: int, name: str, level: int, meaning: str) -> Event:
    if number in _EVENTS:
        raise ValueError(f"event {number} is defined twice")
    event = Event(number, name, level, meaning)
    _EVENTS[number] = event
    return event


def all_events() -> t.Sequence[Event]:
    """Return every event in order of number."""
    return [_EVENTS[number] for number in sorted(_EVENTS)]


def emit(logger: logging.Logger, event: Event, **fields: t.Any) -> None:
    """Log ``event`` with typed ``fields``; each field's name carries its unit."""
    if logger.isEnabledFor(event.level):
        logger.log(
            event.level, event.name, extra={"event": event, "event_fields": fields}
        )


# 100: processes
PROCESS_STARTED = _define(
    100, "process-started", logging.INFO, "A daemon serves from now on."
)
PROCESS_STOPPING = _define(
    101, "process-stopping", logging.INFO, "A graceful shutdown has begun."
)
PROCESS_STOPPED = _define(
    102, "process-stopped", logging.INFO, "A daemon has finished its shutdown."
)
STOP_BOUND_REACHED = _define(
    103,
    "stop-bound-reached",
    logging.ERROR,
    "The bound on the shutdown ended requests that were still in progress.",
)
PAUSE_NOTICED = _define(
    104,
    "pause-noticed",
    logging.WARNING,
    "The process was paused; what it held is checked again before it acts.",
)
INVARIANT_BROKEN = _define(
    105,
    "invariant-broken",
    logging.CRITICAL,
    "A promise that must always hold was found broken; report it.",
)

# 450: expert maps
SPLIT_PLANNED = _define(
    450,
    "expert-split-planned",
    logging.INFO,
    "Tokens are split anew over replicas that ranks hold already; nothing is loaded.",
)
MOVES_PLANNED = _define(
    451,
    "expert-moves-planned",
    logging.INFO,
    "Replicas are loaded from the weight store; the step time should fall by then.",
)
