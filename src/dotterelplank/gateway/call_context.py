"""One call on its way through an entry, and what became of it so far."""

import dataclasses

from ..http1.messages import Headers
from ..http1.server import Call, Exchange
from ..platform.headers import CallHeaders
from .attempts import History
from .silence import Attempt
from .streams import EventCursor
from .tables import Route, Team


@dataclasses.dataclass(frozen=True, slots=True)
class FailedResponse:
    """A failure that an endpoint answered with, kept while the call is repeated."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass
class CallContext:
    """One call.

    :param metadata: what its headers say.
    :param service: the service that takes it, of those that its route names.
    :param deadline_ms: when the caller, or the route, stops waiting.
    :param waited_ms: how long it has waited for a place.
    :param ttfb_ms: time from its arrival to the first part of its answer.
    :param cursor: how far its stream has got.
    :param endpoint: id of the endpoint that it was sent to last.
    :param attempt: the send in progress.
    :param is_retry_granted: whether the retry budget has already granted another send.
    :param is_overloaded: whether it got no place though there are endpoints that could
        serve it.
    :param failed_response: passed on if no repeat brings a better answer.
    """

    call: Call
    exchange: Exchange
    metadata: CallHeaders
    route: Route
    service: str
    team: Team | None
    arrived_ms: float
    deadline_ms: float
    history: History = dataclasses.field(default_factory=History)
    waited_ms: float = 0.0
    ttfb_ms: float | None = None
    cursor: EventCursor = dataclasses.field(default_factory=EventCursor)
    endpoint: str = ""
    attempt: Attempt | None = None
    is_retry_granted: bool = False
    is_overloaded: bool = False
    failed_response: FailedResponse | None = None

    @property
    def priority(self) -> tuple[int, ...]:
        """The team's priority, then the route's."""
        team = self.team.priority if self.team is not None else None
        return (self.route.priority if team is None else team, self.route.priority)
