"""The votes on one ballot, and the outcome that follows from them."""

import dataclasses
import typing as t

from ..errors import InvariantError
from .ballots import Ballot
from .messages import Answer


@dataclasses.dataclass
class Tally:
    """The votes that an agent has received on the ballot that its engine has staged.

    :param ballot: the staged ballot.
    :param since_ms: time at which the agent first read that the ballot is staged.
    :param found: whether the ballot was staged before this process knew of it.
    :param next_send_ms: time at which requests are sent again to hosts without
        a vote.
    :param answers: the valid vote of each host that has voted.
    :param has_asked: whether the agent has sent an :class:`~.messages.Ask`.
    :param peer_decision: the decision received from another agent, whether to commit;
        ``None`` if none was received.
    """

    ballot: Ballot
    since_ms: int
    found: bool = False
    next_send_ms: int = 0
    answers: dict[str, Answer] = dataclasses.field(default_factory=dict)
    has_asked: bool = False
    peer_decision: bool | None = None


def decide_outcome(
    answers: t.Mapping[str, Answer], peers: t.Collection[str], ballot: Ballot
) -> bool | None:
    """Return whether an agent that has staged ``ballot`` commits it.

    The agent's own vote is yes. A single no aborts and unanimity commits. One engine
    that has committed proves that the votes were unanimous.

    :param answers: the votes received, by host.
    :param peers: all other hosts of the group.
    :return: ``None`` while the votes don't decide the outcome.
    :raises InvariantError: if one host has voted no and another has committed.
    """
    votes = set(answers.values())
    if Answer.NO in votes and Answer.COMMITTED in votes:
        raise InvariantError(f"{ballot} was both voted down and committed")
    if Answer.COMMITTED in votes:
        return True
    if Answer.NO in votes:
        return False
    if all(peer in answers for peer in peers):
        return True
    return None
