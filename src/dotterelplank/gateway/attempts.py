"""Results of the attempts of a call: whether to retry, and the result for the caller.

An attempt counts as not run only if the endpoint reported so for this call, or if no
byte of the call had been sent. Any other attempt that ends without a response may have
run.
"""

import dataclasses
import typing as t

from .. import results
from .tables import Route

MAX_SENDS_PER_CALL: t.Final = 4
"""Most endpoints that are tried before a call is refused."""
MIN_FAILURE_STATUS: t.Final = 500
"""The lowest HTTP status that counts as a failure of the endpoint."""
MIN_REMAINING_MS: t.Final = 5.0
"""Remaining time below which a call isn't sent any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call has not run at this endpoint, and won't run there later.

    :param was_sent: whether the endpoint received the call and refused it.
    :param reason: text for the log.
    :param is_group_wide: whether no endpoint of the group can run calls.
    """

    was_sent: bool
    reason: str
    is_group_wide: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The call was sent, and may have run.

    :param has_begun: whether a part of a response has been sent to the caller.
    :param reason: text for the log.
    :param is_failure: whether the endpoint answered with an error response.
    """

    has_begun: bool
    reason: str
    is_failure: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's response has been passed on to the caller.

    :param is_end_marked: whether the response had ended, and not merely with its
        connection.
    """

    status: int
    is_end_marked: bool = True

    @property
    def is_success(self) -> bool:
        """Whether the endpoint served the call."""
        return self.status < MIN_FAILURE_STATUS


AttemptResult = NotRun | MayHaveRun | Answered


@dataclasses.dataclass
class History:
    """The attempts of one call.

    :param tried: ids of the endpoints that failed attempts were sent to.
    :param sends: number of attempts that failed.
    :param deliveries: number of these that an endpoint may have received.
    :param is_in_progress: whether an attempt has been sent and hasn't ended.
    :param is_in_doubt: whether any attempt may have run although its response isn't
        known.
    :param reason: why the last attempt failed, for the log.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    deliveries: int = 0
    is_in_progress: bool = False
    is_in_doubt: bool = False
    reason: str = ""

    def record(self, endpoint_id: str, attempt_result: NotRun | MayHaveRun) -> None:
        """Record the result of an attempt that failed."""
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
    """Return whether a call may be sent to another endpoint after a failed attempt."""
    if history.is_in_doubt and not route.is_idempotent:
        return False
    if history.sends >= MAX_SENDS_PER_CALL:
        return False
    return history.deliveries < route.attempts


def final_result(
    history: History, *, is_past_deadline: bool, is_overloaded: bool = False
) -> results.Result:
    """Return the result to report for a call that is abandoned.

    :param is_past_deadline: whether the call's deadline has passed.
    :param is_overloaded: whether the call got no slot although endpoints exist that
        could serve it.
    """
    if history.is_in_doubt or history.is_in_progress:
        return (
            results.DEADLINE_AFTER_START if is_past_deadline else results.ENDPOINT_LOST
        )
    if is_past_deadline:
        return results.NOT_STARTED_IN_TIME
    return results.OVERLOADED if is_overloaded else results.NO_ENDPOINT
