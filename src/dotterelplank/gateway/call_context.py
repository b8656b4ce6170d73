"""The state of one call while an entry handles it."""

import asyncio
import dataclasses
import functools
import hashlib
import typing as t

from .. import results
from ..http1.messages import Headers
from ..http1.server import Call, Exchange
from ..platform.headers import CallHeaders
from .attempts import History
from .crashes import Prompt
from .inactivity import Attempt
from .streams import EventCursor
from .tables import Route, Team

MAX_LOGGED_PARTS: t.Final = 8
DIGEST_BYTES: t.Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class FailedResponse:
    """An error response of an endpoint, kept while the call is retried."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass
class CallContext:
    """One call, with its route and its attempts so far.

    :param exchange: the response to the caller.
    :param metadata: the parsed control headers of the call.
    :param service: the service, of the route's targets, that serves the call.
    :param arrived_ms: time at which the call had been read.
    :param deadline_ms: time at which the caller or the route stops waiting for the
        response.
    :param waited_ms: time that the call has waited for slots.
    :param ttfb_ms: time from the arrival of the call to the first part of its response;
        None: no part yet.
    :param cursor: the position in the call's event stream.
    :param endpoint: id of the endpoint that the call was sent to last.
    :param attempt: the last attempt; None: the call hasn't been sent yet.
    :param timeout: ends the call at its deadline, or when it is rescheduled; None: the
        call hasn't been forwarded yet.
    :param is_retry_granted: whether the retry budget has already granted another send.
    :param is_overloaded: whether there are endpoints that could serve the call, so that
        a call without a slot is refused as overload.
    :param refusal: why the call is to be refused although endpoints may have slots.
    :param refusal_retry_ms: time after which it may be sent; None: it isn't known.
    :param failed_response: an error response, sent to the caller if no retry succeeds.
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
    timeout: asyncio.Timeout | None = None
    is_retry_granted: bool = False
    is_overloaded: bool = False
    refusal: results.Result | None = None
    refusal_retry_ms: float | None = None
    failed_response: FailedResponse | None = None

    @functools.cached_property
    def prompt(self) -> Prompt:
        """The parts of the call's prompt; a call without any is a part by itself."""
        prompt = self.metadata.prompt
        if prompt.own is not None:
            return prompt
        return dataclasses.replace(prompt, own=_digest(self.route, self.call))

    @property
    def logged_parts(self) -> tuple[str, ...]:
        """The first shared parts of the call's prompt, for the log."""
        return self.prompt.shared[:MAX_LOGGED_PARTS]

    @property
    def priority(self) -> tuple[int, ...]:
        """The priorities of the team (by default the route's) and of the route."""
        team = self.team.priority if self.team is not None else None
        return (self.route.priority if team is None else team, self.route.priority)


def _digest(route: Route, call: Call) -> str:
    """Return a digest of a call, which only repeats of it share."""
    found = hashlib.blake2b(digest_size=DIGEST_BYTES)
    # None of the first three contains a space or a line end.
    found.update(b"%s %s %s\n" % (route.host.encode(), call.method, call.target))
    found.update(call.body)
    return found.hexdigest()
