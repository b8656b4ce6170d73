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

# 400: changes of the expert map
MAP_STAGED = _define(
    400, "map-staged", logging.INFO, "An engine holds a new map until it is decided."
)
MAP_COMMITTED = _define(
    401, "map-committed", logging.INFO, "An engine has taken the decision for a map."
)
MAP_ABORTED = _define(
    402,
    "map-aborted",
    logging.INFO,
    "An engine has dropped a map that some rank denied.",
)
MAP_INSTALLED = _define(
    403, "map-installed", logging.INFO, "A replaced engine got the map of its group."
)
MAP_ASKED = _define(
    404,
    "map-asked",
    logging.WARNING,
    "A ballot stayed open too long; this agent asks every other one for its vote.",
)
ENGINE_REPLACED = _define(
    405,
    "engine-replaced",
    logging.WARNING,
    "The engine lost its map; this agent starts a new incarnation.",
)
ORDER_WAITED_OUT = _define(
    406,
    "order-waited-out",
    logging.WARNING,
    "An order got no answer; no other goes out until it can't take effect any more.",
)
INCARNATION_RAISED = _define(
    407,
    "incarnation-raised",
    logging.WARNING,
    "Another agent had met a higher incarnation of this host; check the clock.",
)
AGENT_SUPERSEDED = _define(
    408,
    "agent-superseded",
    logging.ERROR,
    "Another process gives orders to this agent's engine; this agent ends.",
)
PROPOSAL_UNANSWERED = _define(
    409,
    "proposal-unanswered",
    logging.WARNING,
    "A new map was not proposed since some agent of the group didn't answer.",
)
