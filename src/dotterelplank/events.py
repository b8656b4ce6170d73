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


# 200: configuration and host list revisions
REVISION_ADOPTED = _define(
    200, "revision-adopted", logging.INFO, "A newer revision is in force here."
)
REVISION_REFUSED = _define(
    201,
    "revision-refused",
    logging.ERROR,
    "A published revision is invalid and changed nothing; publish a mended one.",
)
REVISION_CONFLICT = _define(
    202,
    "revision-conflict",
    logging.ERROR,
    "One revision was seen with two texts; the one held stays. Publish a newer one.",
)
STALE_READ = _define(
    203,
    "stale-read",
    logging.WARNING,
    "The platform answered with an older revision than the one in force.",
)
READER_STARTED = _define(
    204, "reader-started", logging.INFO, "This process now watches the platform."
)
READER_STOPPED = _define(
    205, "reader-stopped", logging.INFO, "This process watches the platform no more."
)
PLATFORM_UNREAD = _define(
    206,
    "platform-unread",
    logging.WARNING,
    "The platform can't be read; what is in force stays in force.",
)
REFUSED_ELSEWHERE = _define(
    207,
    "refused-elsewhere",
    logging.WARNING,
    "A peer refused a newer published revision.",
)
JOIN_FINISHED = _define(
    208,
    "join-finished",
    logging.INFO,
    "The peers were asked for their revision; reads are trusted from now on.",
)
PULL_FAILED = _define(
    209, "pull-failed", logging.WARNING, "A peer didn't hand over an offered revision."
)

# 250: membership
MEMBER_ALIVE = _define(
    250, "member-alive", logging.INFO, "A process is heard and may be used."
)
MEMBER_SUSPECT = _define(
    251,
    "member-suspect",
    logging.WARNING,
    "A process isn't heard by its watcher and answered no probe.",
)
MEMBER_DEAD = _define(
    252, "member-dead", logging.ERROR, "The watchers of a process agree that it died."
)
MEMBER_LEAVING = _define(
    253, "member-leaving", logging.INFO, "A process gets no new work from now on."
)
MEMBER_REPLACED = _define(
    254, "member-replaced", logging.INFO, "A new process runs on a known host."
)
MEMBER_UNHEARD = _define(
    255,
    "member-unheard",
    logging.WARNING,
    "This process has no fresh word of another and gives it no new work.",
)
MEMBER_UNLISTED = _define(
    256,
    "member-unlisted",
    logging.INFO,
    "A process proved its membership before the host list shows it.",
)
MEMBER_DROPPED = _define(
    257,
    "member-dropped",
    logging.WARNING,
    "The host list dropped a process that still sends heartbeats.",
)
OWN_PAUSE = _define(
    258,
    "own-pause",
    logging.WARNING,
    "This process was paused or starved; it judges its peers from now on afresh.",
)
CLOCK_WENT_BACK = _define(
    259,
    "clock-went-back",
    logging.ERROR,
    "The monotonic clock went back; what was heard before counts as unheard.",
)
PROCESS_SUPERSEDED = _define(
    260,
    "process-superseded",
    logging.CRITICAL,
    "A newer process runs under this host's name; this one must stop.",
)
