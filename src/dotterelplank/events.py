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

# 110: links between the system's processes
LINK_READY = _define(110, "link-ready", logging.INFO, "A peer has proved itself.")
LINK_CLOSED = _define(111, "link-closed", logging.INFO, "A stream to a peer ended.")
PEER_REFUSED = _define(
    112,
    "peer-refused",
    logging.WARNING,
    "A peer that is not of this system, or of another version, was turned away.",
)
FRAME_REFUSED = _define(
    113, "frame-refused", logging.WARNING, "A peer sent bytes that are no valid frame."
)
ANSWER_DROPPED = _define(
    114,
    "answer-dropped",
    logging.INFO,
    "An answer came for a request that is over or unknown; it was dropped.",
)

HANDLER_FAILED = _define(
    115,
    "handler-failed",
    logging.ERROR,
    "A fault of this program ended the handling of a message or task; report it.",
)

HTTP_FAULT = _define(
    116,
    "http-fault",
    logging.INFO,
    "A connection to a caller was broken off: its stream could not be finished.",
)

# 120: requests
REQUEST_ENDED = _define(
    120, "request-ended", logging.INFO, "A caller's request has its final answer."
)
REQUEST_FAILED = _define(
    121,
    "request-failed",
    logging.ERROR,
    "A request ended by a fault in this process; the caller was told so.",
)
ENDPOINT_FAILED = _define(
    122, "endpoint-failed", logging.WARNING, "The endpoint failed a call."
)
ENDPOINT_SILENT = _define(
    123,
    "endpoint-silent",
    logging.WARNING,
    "The endpoint writes nothing for a call, while its group goes on; the call is "
    "sent to another one if it may be.",
)

# 130: the platform
PLATFORM_READ_FAILED = _define(
    130,
    "platform-read-failed",
    logging.WARNING,
    "A read of the configuration service or the host list failed.",
)

PLATFORM_REGAINED = _define(
    131, "platform-regained", logging.INFO, "The platform answers again."
)
TABLE_IN_FORCE = _define(
    132, "table-in-force", logging.INFO, "A newer routing table is in force here."
)
TABLE_REFUSED = _define(
    133,
    "table-refused",
    logging.ERROR,
    "A routing table is invalid and changed nothing; publish a mended one.",
)
ENDPOINT_LISTED = _define(
    134, "endpoint-listed", logging.INFO, "The list of endpoints changed."
)
ENTRY_REFUSED = _define(
    135,
    "entry-refused",
    logging.WARNING,
    "An entry of the list of endpoints can't be used; it names no endpoint.",
)
PEER_FOUND = _define(136, "peer-found", logging.INFO, "Another process was heard.")
PEER_LOST = _define(
    137, "peer-lost", logging.WARNING, "Another process is silent; it counts no more."
)
SETTINGS_RELOADED = _define(
    138, "settings-reloaded", logging.INFO, "Changed settings are in force."
)
SETTINGS_REFUSED = _define(
    139,
    "settings-refused",
    logging.ERROR,
    "Changed settings can't be used; the earlier ones stay in force.",
)
LOG_LINES_DROPPED = _define(
    140,
    "log-lines-dropped",
    logging.WARNING,
    "Log lines were dropped, as they weren't taken fast enough.",
)
CALL_UNREADABLE = _define(
    141, "call-unreadable", logging.INFO, "Bytes of a caller are no call, or too many."
)

# 160: expert maps in the agent
RANK_GROUP_CHANGED = _define(
    160,
    "rank-group-changed",
    logging.ERROR,
    "The hosts of a rank group differ from those at the start; they stay as they were.",
)
PROPOSAL_CLOSED = _define(
    161, "proposal-closed", logging.INFO, "A proposed expert map came to its end here."
)
PLANNER_CHANGED = _define(
    162, "planner-changed", logging.INFO, "Another agent plans the group's maps now."
)
PLAN_DROPPED = _define(
    163,
    "plan-dropped",
    logging.INFO,
    "A planned map was given up, as another came into use or it wasn't agreed on.",
)
MAP_UNPLANNABLE = _define(
    164,
    "map-unplannable",
    logging.WARNING,
    "The map in use doesn't fit the settings of the group; no other is planned.",
)
STORE_UNREAD = _define(
    165, "store-unread", logging.WARNING, "A fetch from the weight store failed."
)

# 170: expert maps at the ranks
RANK_LOST = _define(
    170, "rank-lost", logging.WARNING, "The rank on this host doesn't answer."
)
RANK_REGAINED = _define(
    171, "rank-regained", logging.INFO, "The rank on this host answers; its state."
)
LEADER_CHANGED = _define(
    172, "leader-changed", logging.INFO, "Another agent plans the group's maps now."
)
CHANGE_BEGUN = _define(
    173, "map-change-begun", logging.INFO, "A change of the expert map begins."
)
CHANGE_ENDED = _define(
    174, "map-change-ended", logging.INFO, "A change of the expert map is over."
)
CHANGE_TAKEN_OVER = _define(
    175,
    "map-change-taken-over",
    logging.WARNING,
    "A pass was held and nobody went on with its change; this agent clears it up.",
)
ORDER_GIVEN = _define(
    176, "order-given", logging.INFO, "The rank was given an order; what it answered."
)
ORDER_UNANSWERED = _define(
    177,
    "order-unanswered",
    logging.WARNING,
    "An order got no answer; it may still be carried out, seconds later.",
)
MAP_CHANGE_SLOW = _define(
    178,
    "map-change-slow",
    logging.WARNING,
    "A change of the expert map has been in one phase for long; a pass may be held.",
)
MAP_NOT_KNOWN = _define(
    179,
    "map-not-known",
    logging.INFO,
    "A task's map can't be told from those known here; it will be sent whole.",
)
PASS_HELD = _define(
    180,
    "pass-held",
    logging.WARNING,
    "The rank here has held a pass for long; what its agent knows to clear it up.",
)
MEMBERS_TOLD = _define(
    181,
    "members-told",
    logging.INFO,
    "Another agent told which ranks belong to the service, as the store didn't.",
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

# 300: routing, limits and retries
ENDPOINT_AVOIDED = _define(
    300,
    "endpoint-avoided",
    logging.WARNING,
    "An endpoint owes answers for too long or fails; it gets rare probes only.",
)
ENDPOINT_TAKEN_BACK = _define(
    301, "endpoint-taken-back", logging.INFO, "An avoided endpoint answers again."
)
NO_ENDPOINT = _define(
    302, "no-endpoint", logging.ERROR, "No endpoint was left that may take a request."
)
OTHER_DOMAIN_USED = _define(
    303,
    "other-domain-used",
    logging.WARNING,
    "The endpoints of the own failure domain are full or gone; others take requests.",
)
OVERLOAD_STARTED = _define(
    310,
    "overload-started",
    logging.WARNING,
    "More is asked for than the endpoints can do; teams are held to fair parts.",
)
OVERLOAD_ENDED = _define(
    311, "overload-ended", logging.INFO, "All that is asked for is let in again."
)
ENTRY_DIGEST_LOST = _define(
    312,
    "entry-digest-lost",
    logging.WARNING,
    "No demand was heard from an entry; the limits no longer count it.",
)
RETRY_BUDGET_SPENT = _define(
    320,
    "retry-budget-spent",
    logging.WARNING,
    "Failures came faster than successes pay for; they are no longer retried.",
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

# 600: stand-ins of the outside systems
STANDIN_LISTENING = _define(
    600, "standin-listening", logging.INFO, "A stand-in accepts connections."
)
STANDIN_STOPPED = _define(
    601, "standin-stopped", logging.INFO, "A stand-in has closed its port."
)
STANDIN_CALL_FAILED = _define(
    602,
    "standin-call-failed",
    logging.ERROR,
    "A stand-in met an unexpected error; the caller was answered with status 500.",
)
STANDIN_FAULTS_SET = _define(
    603, "standin-faults-set", logging.INFO, "The faults of a stand-in were changed."
)
STANDIN_CONNECTION_TORN = _define(
    604,
    "standin-connection-torn",
    logging.INFO,
    "A stand-in tore a caller's connection down, as its faults ask for.",
)
STANDIN_MAPS_DIFFER = _define(
    605,
    "standin-maps-differ",
    logging.CRITICAL,
    "Ranks of a group took one step with different expert maps.",
)
