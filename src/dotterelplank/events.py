"""Numbered log events and the function that logs them.

Each event has a fixed number, a name, a level and a description for operators.
``docs/EVENTS.md`` lists all events.
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
    :param meaning: description of the event for operators.
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
    """Return all events, sorted by number."""
    return [_EVENTS[number] for number in sorted(_EVENTS)]


def emit(logger: logging.Logger, event: Event, **fields: t.Any) -> None:
    """Log ``event`` with ``fields``, whose names end in their units."""
    if logger.isEnabledFor(event.level):
        logger.log(
            event.level, event.name, extra={"event": event, "event_fields": fields}
        )


# 100: processes
PROCESS_STARTED = _define(
    100, "process-started", logging.INFO, "A daemon has started and accepts work."
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
    "The time limit of the shutdown ended requests that were still in progress.",
)
PAUSE_NOTICED = _define(
    104,
    "pause-noticed",
    logging.WARNING,
    "The process was paused; it checks its state again before it acts on it.",
)
INVARIANT_BROKEN = _define(
    105,
    "invariant-broken",
    logging.CRITICAL,
    "An invariant was violated; report it.",
)

# 110: links between processes of the system
LINK_READY = _define(
    110, "link-ready", logging.INFO, "A peer has proved that it belongs to this system."
)
LINK_CLOSED = _define(111, "link-closed", logging.INFO, "A stream to a peer ended.")
PEER_REFUSED = _define(
    112,
    "peer-refused",
    logging.WARNING,
    "A peer of another system or another protocol version was refused.",
)
FRAME_REFUSED = _define(
    113,
    "frame-refused",
    logging.WARNING,
    "A peer sent bytes that are not a valid frame.",
)
ANSWER_DROPPED = _define(
    114,
    "answer-dropped",
    logging.INFO,
    "An answer for a finished or unknown request was received and dropped.",
)

HANDLER_FAILED = _define(
    115,
    "handler-failed",
    logging.ERROR,
    "An unexpected error ended the handling of a message or task; report it.",
)

HTTP_FAULT = _define(
    116,
    "http-fault",
    logging.INFO,
    "A connection to a caller failed or was closed before its response was complete.",
)

# 120: requests
REQUEST_ENDED = _define(
    120, "request-ended", logging.INFO, "A caller's request has its final answer."
)
REQUEST_FAILED = _define(
    121,
    "request-failed",
    logging.ERROR,
    "An error in this process ended a request; the caller got an error response.",
)
ENDPOINT_FAILED = _define(
    122, "endpoint-failed", logging.WARNING, "An endpoint failed a call."
)
ENDPOINT_SILENT = _define(
    123,
    "endpoint-silent",
    logging.WARNING,
    "An endpoint has sent nothing for a call while its group makes progress; the call "
    "is sent to another endpoint if that is safe.",
)
ENDPOINT_CRASHED = _define(
    124,
    "endpoint-crashed",
    logging.WARNING,
    "An endpoint ended with a call in progress; parts of its prompt are suspect unless "
    "the answers to other calls with them went on past that stage.",
)
SUSPECT_PROBED = _define(
    125,
    "suspect-probed",
    logging.WARNING,
    "A call with suspect prompt parts is sent as a probe, the only one at this time.",
)
ENDPOINT_LIMIT_CHANGED = _define(
    126,
    "endpoint-limit-changed",
    logging.INFO,
    "A server named another limit on the requests of all entries; -1: it names none.",
)

ENDPOINT_LEAVING = _define(
    127,
    "endpoint-leaving",
    logging.INFO,
    "A server said in an answer that it leaves; it gets no more calls.",
)
ENDPOINT_PAUSED = _define(
    128,
    "endpoint-paused",
    logging.INFO,
    "A server that refused a call wants none from this entry for a time.",
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
    132, "table-in-force", logging.INFO, "This process applied a newer routing table."
)
TABLE_REFUSED = _define(
    133,
    "table-refused",
    logging.ERROR,
    "A routing table is invalid and was not applied; publish a corrected one.",
)
ENDPOINT_LISTED = _define(
    134, "endpoint-listed", logging.INFO, "The list of endpoints changed."
)
ENTRY_REFUSED = _define(
    135,
    "entry-refused",
    logging.WARNING,
    "A record in the list of endpoints is invalid; it adds no endpoint.",
)
PEER_FOUND = _define(
    136,
    "peer-found",
    logging.INFO,
    "A heartbeat of a new or returning process was received.",
)
PEER_LOST = _define(
    137,
    "peer-lost",
    logging.WARNING,
    "Another process has sent no heartbeat for too long; it no longer counts as alive.",
)
SETTINGS_RELOADED = _define(
    138, "settings-reloaded", logging.INFO, "Changed settings were applied."
)
SETTINGS_REFUSED = _define(
    139,
    "settings-refused",
    logging.ERROR,
    "Changed settings are invalid; the earlier ones stay in use.",
)
LOG_LINES_DROPPED = _define(
    140,
    "log-lines-dropped",
    logging.WARNING,
    "Log lines were dropped because standard output was read too slowly.",
)
CALL_UNREADABLE = _define(
    141,
    "call-unreadable",
    logging.INFO,
    "A caller's bytes are not a valid call, or exceed a limit.",
)

# 160: expert maps in the agent
STORE_RESTORED = _define(
    142,
    "store-restored",
    logging.WARNING,
    "The platform's store was restored from an older copy; all records are read again.",
)
RANK_GROUP_CHANGED = _define(
    160,
    "rank-group-changed",
    logging.ERROR,
    "The hosts of a rank group differ from those at the start; the change is ignored.",
)
PROPOSAL_CLOSED = _define(
    161,
    "proposal-closed",
    logging.INFO,
    "The handling of a proposed expert map has ended at this agent.",
)
PLANNER_CHANGED = _define(
    162, "planner-changed", logging.INFO, "Another agent now plans the group's maps."
)
PLAN_DROPPED = _define(
    163,
    "plan-dropped",
    logging.INFO,
    "A planned map was dropped: another map came into use, or it wasn't agreed on.",
)
MAP_UNPLANNABLE = _define(
    164,
    "map-unplannable",
    logging.WARNING,
    "The map in use doesn't match the group's settings; no new map is planned.",
)
STORE_UNREAD = _define(
    165, "store-unread", logging.WARNING, "A fetch from the weight store failed."
)

# 170: expert maps at the ranks
RANK_LOST = _define(
    170,
    "rank-lost",
    logging.WARNING,
    "A rank doesn't answer, or its address isn't known.",
)
RANK_REGAINED = _define(
    171,
    "rank-regained",
    logging.INFO,
    "The rank on this host answers, at the start or after a failure.",
)
LEADER_CHANGED = _define(
    172, "leader-changed", logging.INFO, "Another agent now plans the group's maps."
)
CHANGE_BEGUN = _define(
    173, "map-change-begun", logging.INFO, "A change of the expert map has started."
)
CHANGE_ENDED = _define(
    174, "map-change-ended", logging.INFO, "A change of the expert map has ended."
)
CHANGE_TAKEN_OVER = _define(
    175,
    "map-change-taken-over",
    logging.WARNING,
    "A pass was held by an abandoned map change; this agent resolves it.",
)
ORDER_GIVEN = _define(
    176,
    "order-given",
    logging.INFO,
    "The rank answered an order, and accepted or refused it.",
)
ORDER_UNANSWERED = _define(
    177,
    "order-unanswered",
    logging.WARNING,
    "An order got no answer; the rank may still execute it seconds later.",
)
MAP_CHANGE_SLOW = _define(
    178,
    "map-change-slow",
    logging.WARNING,
    "A change of the expert map has long been in one phase; a pass may be held.",
)
MAP_NOT_KNOWN = _define(
    179,
    "map-not-known",
    logging.INFO,
    "A task refers to a map that isn't known here; it will be sent in full.",
)
PASS_HELD = _define(
    180,
    "pass-held",
    logging.WARNING,
    "The rank here has long held a pass; the fields show what its agent knows of it.",
)
MEMBERS_RECEIVED = _define(
    181,
    "members-told",
    logging.INFO,
    "Another agent reported which ranks belong to the service, as the store didn't.",
)

# 200: configuration and host list revisions
REVISION_ADOPTED = _define(
    200, "revision-adopted", logging.INFO, "This process applied a newer revision."
)
REVISION_REFUSED = _define(
    201,
    "revision-refused",
    logging.ERROR,
    "A published revision is invalid and was not applied; publish a corrected one.",
)
REVISION_CONFLICT = _define(
    202,
    "revision-conflict",
    logging.ERROR,
    "One revision was seen with two different texts; the one in use stays. Publish a "
    "newer one.",
)
STALE_READ = _define(
    203,
    "stale-read",
    logging.WARNING,
    "The platform answered with an older revision than the one in use.",
)
READER_STARTED = _define(
    204,
    "reader-started",
    logging.INFO,
    "This process has started to watch the platform.",
)
READER_STOPPED = _define(
    205,
    "reader-stopped",
    logging.INFO,
    "This process has stopped watching the platform.",
)
PLATFORM_UNREAD = _define(
    206,
    "platform-unread",
    logging.WARNING,
    "The platform can't be read; the revisions in use stay in use.",
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
    "The peers were asked for their revision; the platform's answers are used now.",
)
PULL_FAILED = _define(
    209,
    "pull-failed",
    logging.WARNING,
    "A peer didn't send a revision that it had offered.",
)

# 250: membership
MEMBER_ALIVE = _define(
    250, "member-alive", logging.INFO, "A process sends heartbeats and may be used."
)
MEMBER_SUSPECT = _define(
    251,
    "member-suspect",
    logging.WARNING,
    "The process that monitors another one got no heartbeat and no answer to probes.",
)
MEMBER_DEAD = _define(
    252,
    "member-dead",
    logging.ERROR,
    "The processes that monitor another one agree that it is dead.",
)
MEMBER_LEAVING = _define(
    253, "member-leaving", logging.INFO, "A process is leaving and gets no new work."
)
MEMBER_REPLACED = _define(
    254, "member-replaced", logging.INFO, "A new process runs on a known host."
)
MEMBER_UNHEARD = _define(
    255,
    "member-unheard",
    logging.WARNING,
    "This process has no recent report of an agent and gives it no new work.",
)
MEMBER_UNLISTED = _define(
    256,
    "member-unlisted",
    logging.INFO,
    "A process proved its membership before it appeared in the host list.",
)
MEMBER_DROPPED = _define(
    257,
    "member-dropped",
    logging.WARNING,
    "The host list no longer contains a process that still sends heartbeats.",
)
OWN_PAUSE = _define(
    258,
    "own-pause",
    logging.WARNING,
    "This process was paused or starved of CPU time; it drops its suspicions of peers.",
)
CLOCK_WENT_BACK = _define(
    259,
    "clock-went-back",
    logging.ERROR,
    "The monotonic clock went backwards; all peers count as not yet seen.",
)
PROCESS_SUPERSEDED = _define(
    260,
    "process-superseded",
    logging.CRITICAL,
    "A newer process runs under this host's name; this process must stop.",
)

# 300: routing, limits and retries
ENDPOINT_AVOIDED = _define(
    300,
    "endpoint-avoided",
    logging.WARNING,
    "An endpoint fails or owes answers for too long; it gets only occasional probes.",
)
ENDPOINT_TAKEN_BACK = _define(
    301,
    "endpoint-taken-back",
    logging.INFO,
    "An avoided endpoint answers again and gets requests.",
)
NO_ENDPOINT = _define(
    302, "no-endpoint", logging.ERROR, "No endpoint is available for a request."
)
OTHER_DOMAIN_USED = _define(
    303,
    "other-domain-used",
    logging.WARNING,
    "The endpoints of the own failure domain are full or unavailable; others get "
    "requests.",
)
OVERLOAD_STARTED = _define(
    310,
    "overload-started",
    logging.WARNING,
    "Demand exceeds the capacity of the endpoints; teams are limited to fair shares.",
)
OVERLOAD_ENDED = _define(
    311, "overload-ended", logging.INFO, "All requests are admitted again."
)
ENTRY_DIGEST_LOST = _define(
    312,
    "entry-digest-lost",
    logging.WARNING,
    "An entry sent no demand digest in time; the limits no longer include its demand.",
)
RETRY_BUDGET_SPENT = _define(
    320,
    "retry-budget-spent",
    logging.WARNING,
    "Failures exceed the retry budget; they are no longer retried.",
)

# 400: changes of the expert map
MAP_STAGED = _define(
    400,
    "map-staged",
    logging.INFO,
    "An engine holds a staged map until its group has decided on it.",
)
MAP_COMMITTED = _define(
    401,
    "map-committed",
    logging.INFO,
    "A staged map was accepted; the agent orders its engine to commit it.",
)
MAP_ABORTED = _define(
    402,
    "map-aborted",
    logging.INFO,
    "A staged map was denied by some rank; the agent orders its engine to drop it.",
)
MAP_INSTALLED = _define(
    403,
    "map-installed",
    logging.INFO,
    "A new or replaced engine is given the map of its group.",
)
MAP_ASKED = _define(
    404,
    "map-asked",
    logging.WARNING,
    "A ballot has been open for too long; this agent asks all others for their votes.",
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
    "An order got no answer; no other is sent until it can no longer take effect.",
)
INCARNATION_RAISED = _define(
    407,
    "incarnation-raised",
    logging.WARNING,
    "Another agent knew a higher incarnation of this host; check the clock.",
)
AGENT_SUPERSEDED = _define(
    408,
    "agent-superseded",
    logging.ERROR,
    "Another process gives orders to this agent's engine; this agent stops.",
)
PROPOSAL_UNANSWERED = _define(
    409,
    "proposal-unanswered",
    logging.WARNING,
    "A new map was not proposed because some agent of the group didn't answer.",
)

# 450: expert maps
SPLIT_PLANNED = _define(
    450,
    "expert-split-planned",
    logging.INFO,
    "Tokens are divided differently among replicas that ranks already hold; nothing "
    "is loaded.",
)
MOVES_PLANNED = _define(
    451,
    "expert-moves-planned",
    logging.INFO,
    "Replicas are loaded from the weight store; the step time is expected to fall "
    "afterwards.",
)

# 600: stand-ins for external systems
STANDIN_LISTENING = _define(
    600, "standin-listening", logging.INFO, "A stand-in is listening for connections."
)
STANDIN_STOPPED = _define(
    601, "standin-stopped", logging.INFO, "A stand-in has closed its port."
)
STANDIN_CALL_FAILED = _define(
    602,
    "standin-call-failed",
    logging.ERROR,
    "An unexpected error occurred in a stand-in; the caller got status 500.",
)
STANDIN_FAULTS_SET = _define(
    603, "standin-faults-set", logging.INFO, "The faults of a stand-in were changed."
)
STANDIN_CONNECTION_TORN = _define(
    604,
    "standin-connection-torn",
    logging.INFO,
    "A stand-in aborted a caller's connection, as its configured faults require.",
)
STANDIN_MAPS_DIFFER = _define(
    605,
    "standin-maps-differ",
    logging.CRITICAL,
    "Ranks of a group executed one step with different expert maps.",
)
