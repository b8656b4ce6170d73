"""What becomes of a call after each send: whether it may be sent again, and the answer.

A send ends as not run only if the endpoint said so for this call, or if nothing of the
call had left. Whatever else is lost after the first byte may have run.
"""

import dataclasses
import typing as t

from .. import results
from .tables import Route

CONNECTS_PER_CALL: t.Final = 4
"""Endpoints that are tried in vain before a call is refused."""
LEAST_FAILURE_STATUS: t.Final = 500
"""From here on a status tells of a failure of the endpoint."""
LEAST_LEFT_MS: t.Final = 5.0
"""Below this a call isn't sent any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call has not run at this endpoint, and never will.

    :param was_sent: whether the endpoint got the call and refused it.
    :param reason: for the log.
    :param is_group: whether the endpoint's whole group can't run calls.
    """

    was_sent: bool
    reason: str
    is_group: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The call was sent, and may have run.

    :param has_begun: whether a part of an answer has gone to the caller.
    :param is_failure: whether the endpoint answered, that the call failed.
    """

    has_begun: bool
    reason: str
    is_failure: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The caller has the endpoint's answer."""

    status: int


Ending = NotRun | Lost | Answered


@dataclasses.dataclass
class History:
    """The sends of one call.

    :param arrivals: sends that an endpoint may have got.
    :param is_open: whether one is under way.
    :param is_lost: whether any of them may have run without its answer being known.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    arrivals: int = 0
    is_open: bool = False
    is_lost: bool = False
    reason: str = ""

    def note(self, endpoint_id: str, ending: NotRun | Lost) -> None:
        """Take in how a send ended."""
        self.tried.add(endpoint_id)
        self.sends += 1
        self.is_open = False
        self.reason = ending.reason
        if isinstance(ending, Lost):
            self.is_lost = True
            self.arrivals += 1
        elif ending.was_sent:
            self.arrivals += 1


def may_send_again(history: History, route: Route) -> bool:
    """Return whether a call may go to another endpoint after what has happened."""
    if history.is_lost and not route.is_idempotent:
        return False
    if history.sends >= CONNECTS_PER_CALL:
        return False
    return history.arrivals < route.attempts


def final_result(
    history: History, *, is_over: bool, is_crowded: bool = False
) -> results.Result:
    """Return what a caller is told when its call is given up.

    :param is_over: the time for the answer has passed.
    :param is_crowded: it got no place at endpoints that could serve it.
    """
    if history.is_lost or history.is_open:
        return results.DEADLINE_AFTER_START if is_over else results.ENDPOINT_LOST
    if is_over:
        return results.NOT_STARTED_IN_TIME
    return results.OVERLOADED if is_crowded else results.NO_ENDPOINT
