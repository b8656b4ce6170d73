"""Numbered result codes that describe the outcome of a request.

``docs/RESULT-CODES.md`` lists all codes.
"""

import dataclasses
import enum
import typing as t

_RESULTS: dict[int, "Result"] = {}


class Outcome(enum.Enum):
    """The outcome of a request: it ran, it never ran, or it may have run."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "outcome-unknown"


@dataclasses.dataclass(frozen=True)
class Result:
    """A result code.

    :param number: fixed number, unique in the package.
    :param name: short name, unique in the package.
    :param outcome: outcome of the request.
    :param http_status: HTTP status of the response to the caller.
    :param meaning: description for callers and operators.
    """

    number: int
    name: str
    outcome: Outcome
    http_status: int
    meaning: str


def _define(
    number: int, name: str, outcome: Outcome, http_status: int, meaning: str
) -> Result:
    if number in _RESULTS:
        raise ValueError(f"result {number} is defined twice")
    result = Result(number, name, outcome, http_status, meaning)
    _RESULTS[number] = result
    return result


def all_results() -> t.Sequence[Result]:
    """Return all result codes, sorted by number."""
    return [_RESULTS[number] for number in sorted(_RESULTS)]


def by_number(number: int) -> Result:
    """Return the result with ``number``, or ENDPOINT_LOST if there is none."""
    return _RESULTS.get(number, ENDPOINT_LOST)


DONE = _define(100, "done", Outcome.DONE, 200, "The endpoint ran it and answered.")
DONE_ANSWER_DROPPED = _define(
    101,
    "done-answer-dropped",
    Outcome.DONE,
    200,
    "It ran under this ticket; the answer was too large or too old to keep.",
)

MALFORMED_REQUEST = _define(
    200, "malformed-request", Outcome.NOT_RUN, 400, "The request can't be read."
)
BODY_TOO_LARGE = _define(
    201, "body-too-large", Outcome.NOT_RUN, 413, "The body is over the bound."
)
UNKNOWN_TEAM = _define(
    202, "unknown-team", Outcome.NOT_RUN, 403, "The configuration has no such team."
)
UNKNOWN_TARGET = _define(
    203,
    "unknown-target",
    Outcome.NOT_RUN,
    404,
    "No group serves this model or service, or the path is unknown.",
)
NO_RULE_MATCHES = _define(
    204, "no-rule-matches", Outcome.NOT_RUN, 404, "No selector rule takes this work."
)
TICKET_REQUIRED = _define(
    205,
    "ticket-required",
    Outcome.NOT_RUN,
    428,
    "The call may not be repeated; send it again with the Idempotency-Key given.",
)
TICKET_OTHER_REQUEST = _define(
    207,
    "ticket-other-request",
    Outcome.NOT_RUN,
    422,
    "The ticket was first used for another request; this one was not run.",
)
TICKET_OTHER_TEAM = _define(
    208, "ticket-other-team", Outcome.NOT_RUN, 403, "The ticket is another team's."
)
TICKET_EXPIRED = _define(
    209,
    "ticket-expired",
    Outcome.NOT_RUN,
    409,
    "The ticket was never used and is too old to run; take a new one.",
)
TICKET_CANCELLED = _define(
    210,
    "ticket-cancelled",
    Outcome.NOT_RUN,
    409,
    "The request was cancelled before it started; take a new ticket.",
)

NO_ROUTE = _define(
    211, "no-route", Outcome.NOT_RUN, 404, "No route has this host and path."
)
UNKNOWN_KEY = _define(
    212, "unknown-key", Outcome.NOT_RUN, 401, "No team holds the key of the call."
)
PROMPT_CRASHES_ENDPOINTS = _define(
    213,
    "prompt-crashes-endpoints",
    Outcome.NOT_RUN,
    422,
    "A part of its prompt has crashed endpoints; it isn't sent to any more of them.",
)

OVERLOADED = _define(
    300, "overloaded", Outcome.NOT_RUN, 503, "No room; come back as told."
)
TEAM_OVER_SHARE = _define(
    301,
    "team-over-share",
    Outcome.NOT_RUN,
    429,
    "The team is over its share; come back as told.",
)
NO_ENDPOINT = _define(
    302,
    "no-endpoint",
    Outcome.NOT_RUN,
    503,
    "The rule that took the request has no usable endpoint at present.",
)
STOPPING = _define(
    303, "stopping", Outcome.NOT_RUN, 503, "This host is shutting down; go to another."
)
DEADLINE_BEFORE_START = _define(
    304,
    "deadline-before-start",
    Outcome.NOT_RUN,
    504,
    "The deadline passed before the request started.",
)
ENDPOINT_LEAVING = _define(
    305,
    "endpoint-leaving",
    Outcome.NOT_RUN,
    503,
    "The endpoint takes no new work.",
)
ENDPOINT_FULL = _define(
    306, "endpoint-full", Outcome.NOT_RUN, 503, "The endpoint has no free slot."
)
NO_CONFIGURATION = _define(
    307,
    "no-configuration",
    Outcome.NOT_RUN,
    503,
    "This host has not accepted a configuration yet.",
)
ENDPOINT_UNREACHABLE = _define(
    308,
    "endpoint-unreachable",
    Outcome.NOT_RUN,
    503,
    "The endpoint could not be reached; nothing was sent.",
)

NOT_STARTED_IN_TIME = _define(
    309,
    "not-started-in-time",
    Outcome.NOT_RUN,
    503,
    "The time for the answer passed before any endpoint began; nothing was run.",
)
PROMPT_SUSPECT = _define(
    310,
    "prompt-suspect",
    Outcome.NOT_RUN,
    503,
    "A part of its prompt may crash endpoints, which a probe will show; come back as "
    "told.",
)

ENDPOINT_LOST = _define(
    400,
    "endpoint-lost",
    Outcome.UNKNOWN,
    502,
    "The endpoint was lost after the request was sent.",
)
DEADLINE_AFTER_START = _define(
    401,
    "deadline-after-start",
    Outcome.UNKNOWN,
    504,
    "The deadline passed after the request was sent.",
)
TICKET_OF_EARLIER_INCARNATION = _define(
    402,
    "ticket-of-earlier-incarnation",
    Outcome.UNKNOWN,
    409,
    "The ticket's home was restarted since and can't know whether it ran.",
)
TICKET_FORGOTTEN = _define(
    403,
    "ticket-forgotten",
    Outcome.UNKNOWN,
    410,
    "The ticket is older than the memory of its home.",
)
IN_PROGRESS = _define(
    404,
    "in-progress",
    Outcome.UNKNOWN,
    409,
    "The request is running under this ticket; come back for its answer.",
)
STREAM_CUT = _define(
    405,
    "stream-cut",
    Outcome.UNKNOWN,
    502,
    "The stream ended before its end; what was sent is not the whole answer.",
)
TICKET_HOME_UNREACHABLE = _define(
    406,
    "ticket-home-unreachable",
    Outcome.UNKNOWN,
    503,
    "The ticket's home can't be reached from here; come back with the same ticket.",
)
STOP_BOUND = _define(
    407,
    "stop-bound",
    Outcome.UNKNOWN,
    503,
    "The bound on a shutdown ended the request.",
)
TICKET_HOME_NOT_ASKED = _define(
    409,
    "ticket-home-not-asked",
    Outcome.UNKNOWN,
    503,
    "This attempt sent nothing, but an earlier one under the ticket may have run; "
    "come back with the same ticket.",
)
TICKET_INVALID = _define(
    408,
    "ticket-invalid",
    Outcome.UNKNOWN,
    400,
    "The ticket is damaged, or the system's secret has changed since it was made.",
)
CALLER_GONE = _define(
    410,
    "caller-gone",
    Outcome.UNKNOWN,
    499,
    "The caller left before its answer was whole; no answer was sent.",
)
STOPPED_AFTER_START = _define(
    411,
    "stopped-after-start",
    Outcome.UNKNOWN,
    502,
    "This host had to stop before the endpoint answered the request.",
)
