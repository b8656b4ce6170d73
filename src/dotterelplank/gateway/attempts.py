"""What becomes of a call after each send: whether it may be sent again, and the answer.

A send ends as not run only if the endpoint said so for this call, or if nothing of the
call had left. Whatever else is lost after the first byte may have run.
"""

import dataclasses
import typing as t

from .. import results
from .tables import Route

MAX_SENDS_PER_CALL: t.Final = 4
"""Endpoints that are tried in vain before a call is refused."""
MIN_FAILURE_STATUS: t.Final = 500
"""From here on a status tells of a failure of the endpoint."""
MIN_REMAINING_MS: t.Final = 5.0
"""Below this a call isn't sent any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call has not run at this endpoint, and never will.

    :param was_sent: whether the endpoint got the call and refused it.
    :param reason: for the log.
    :param is_group_wide: whether the endpoint's whole group can't run calls.
    """

    was_sent: bool
    reason: str
    is_group_wide: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
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


AttemptResult = NotRun | MayHaveRun | Answered


@dataclasses.dataclass
class History:
    """The sends of one call.

    :param deliveries: sends that an endpoint may have got.
    :param is_in_progress: whether one is under way.
    :param is_in_doubt: whether any of them may have run without its answer being known.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    deliveries: int = 0
    is_in_progress: bool = False
    is_in_doubt: bool = False
    reason: str = ""

    def record(self, endpoint_id: str, attempt_result: NotRun | MayHaveRun) -> None:
        """Take in how a send ended."""
        self.tried.add(endpoint_id)
        self.sends += 1
        self.is_in_progress = False
        self.reason = attempt_result.reason
        if isinstance(attempt_result, MayHaveRun):
            self.is_in_doubt = True
            self.deliveries += 1
        elif attempt_result.was_sent:
            self.deliveries += 1


def may_send_again(history: History, route: Route) -> bool:
    """Return whether a call may go to another endpoint after what has happened."""
    if history.is_in_doubt and not route.is_idempotent:
        return False
    if history.sends >= MAX_SENDS_PER_CALL:
        return False
    return history.deliveries < route.attempts


def final_result(
    history: History, *, is_past_deadline: bool, is_overloaded: bool = False
) -> results.Result:
    """Return what a caller is told when its call is given up.

    :param is_past_deadline: the time for the answer has passed.
    :param is_overloaded: it got no place at endpoints that could serve it.
    """
    if history.is_in_doubt or history.is_in_progress:
        return (
            results.DEADLINE_AFTER_START if is_past_deadline else results.ENDPOINT_LOST
        )
    if is_past_deadline:
        return results.NOT_STARTED_IN_TIME
    return results.OVERLOADED if is_overloaded else results.NO_ENDPOINT
