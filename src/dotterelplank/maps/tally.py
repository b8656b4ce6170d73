"""The votes on one ballot, and what they decide."""

import dataclasses
import typing as t

from ..errors import InvariantError
from .ballots import Ballot
from .messages import Answer


@dataclasses.dataclass
class Tally:
    """The votes that an agent has met on the ballot that its engine has staged.

    :param since_ms: when the agent first saw the ballot staged.
    :param found: whether the ballot was staged before this process knew of it.
    :param next_send_ms: when to ask again those who haven't answered.
    :param answers: one valid answer a host.
    :param has_asked: whether the agent has begun to ask the others.
    :param peer_decision: a decision that another agent took.
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
    """Return whether an agent that has staged ``ballot`` commits, none if undecided.

    The agent's own vote is yes. A single no aborts, unanimity commits, and one
    engine that has taken the commit proves that there was unanimity.
    """
    met = set(answers.values())
    if Answer.NO in met and Answer.COMMITTED in met:
        raise InvariantError(f"{ballot} was both denied and committed")
    if Answer.COMMITTED in met:
        return True
    if Answer.NO in met:
        return False
    if all(peer in answers for peer in peers):
        return True
    return None
