"""One call on its way through an entry, and what became of it so far."""

import dataclasses

from ..http1.messages import Headers
from ..http1.server import Call, Exchange
from ..platform.headers import CallHeaders
from .attempts import History
from .silence import Sent
from .streams import EventCursor
from .tables import Route, Team


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failure that an endpoint answered with, kept while the call is repeated."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass
class Handling:
    """One call.

    :param said: what its headers say.
    :param service: the service that takes it, of those that its route names.
    :param deadline_ms: when the caller, or the route, stops waiting.
    :param waited_ms: how long it has waited for a place.
    :param first_ms: time from its arrival to the first part of its answer.
    :param cursor: how far its stream has got.
    :param endpoint: id of the endpoint that it was sent to last.
    :param sent: the send in progress.
    :param has_repeat: whether the retry budget has already granted another send.
    :param is_crowded: whether it got no place though there are endpoints that could
        serve it.
    :param failure: passed on if no repeat brings a better answer.
    """

    call: Call
    exchange: Exchange
    said: CallHeaders
    route: Route
    service: str
    team: Team | None
    arrived_ms: float
    deadline_ms: float
    history: History = dataclasses.field(default_factory=History)
    waited_ms: float = 0.0
    first_ms: float | None = None
    cursor: EventCursor = dataclasses.field(default_factory=EventCursor)
    endpoint: str = ""
    sent: Sent | None = None
    has_repeat: bool = False
    is_crowded: bool = False
    failure: Failure | None = None

    @property
    def priority(self) -> tuple[int, ...]:
        """The team's priority, then the route's."""
        team = self.team.priority if self.team is not None else None
        return (self.route.priority if team is None else team, self.route.priority)
