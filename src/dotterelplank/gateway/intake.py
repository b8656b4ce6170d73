"""Decides whether an entry takes a call, and by which route, team and service.

A call is refused at once if it is malformed or not allowed, or if the process is
stopping and the call may not end in time.
"""

import dataclasses
import typing as t

from .. import results
from ..errors import RequestError
from ..http1.messages import header
from ..http1.server import Call
from ..platform import headers as wire
from .state import EntryState
from .tables import Route, Team, pick_target

HOLD_MARGIN_RATIO: t.Final = 1.5
"""Factor on the longest time that calls took of late, as some take longer."""
MAX_LOGGED_PATH: t.Final = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The call may be sent to an endpoint of the service.

    :param metadata: the decoded headers of the call.
    :param service: the service, of the route's targets, that serves the call.
    :param team: the caller's team; None: the route needs no key.
    :param deadline_ms: time at which the caller or the route stops waiting.
    """

    metadata: wire.CallHeaders
    route: Route
    service: str
    team: Team | None
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call is refused at once.

    :param call_id: id of the call; empty if it couldn't be read.
    :param why: text for the log.
    """

    result: results.Result
    call_id: bytes
    why: str = ""


Decision = Accepted | Refused


def decide(now_ms: float, call: Call, state: EntryState, draw: float) -> Decision:
    """Decide whether a call that has been read is taken.

    :param draw: random number, uniform in [0, 1), that picks the service.
    """
    try:
        metadata = wire.read_call(call.headers)
    except RequestError as error:
        return Refused(results.MALFORMED_REQUEST, b"", str(error))
    table = state.table
    if table is None:
        return Refused(results.NO_CONFIGURATION, metadata.id)
    if state.is_closed:
        return Refused(results.STOPPING, metadata.id)
    host = (header(call.headers, b"host") or b"").decode("latin-1")
    path = call.target.partition(b"?")[0].decode("latin-1")
    route = table.match(host.partition(":")[0], path)
    if route is None:
        return Refused(results.NO_ROUTE, metadata.id, path[:MAX_LOGGED_PATH])
    team = table.team(metadata.key)
    if team is None and table.needs_key and not route.is_public:
        return Refused(results.UNKNOWN_KEY, metadata.id, route.name)
    deadline_ms = now_ms + _timeout_ms(metadata, route)
    if not may_end_in_time(now_ms, deadline_ms, route, state):
        return Refused(results.STOPPING, metadata.id)
    return Accepted(metadata, route, pick_target(route, draw), team, deadline_ms)


def may_end_in_time(
    now_ms: float, deadline_ms: float, route: Route, state: EntryState
) -> bool:
    """Return whether a call will end before the process stops, if it is stopping.

    A call that may run only once must be sure to end, as it can't be sent elsewhere
    then; others are expected to if calls of the service did of late.
    """
    due_ms = state.stop_due_ms
    if due_ms is None or deadline_ms <= due_ms:
        return True
    if not route.is_idempotent:
        return False
    services = [target.service for target in route.targets]
    longest_ms = state.loads.longest_hold_ms
    if any(service not in longest_ms for service in services):
        return False
    expected_ms = max(longest_ms[service] for service in services)
    return now_ms + expected_ms * HOLD_MARGIN_RATIO <= due_ms


def _timeout_ms(metadata: wire.CallHeaders, route: Route) -> float:
    """Return how long the caller or the route waits, whichever is shorter."""
    if metadata.deadline_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, metadata.deadline_ms)
