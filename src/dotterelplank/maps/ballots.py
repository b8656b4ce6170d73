"""Ballots, expert maps and the change from one map to the next."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Ballot:
    """The unique, totally ordered name of one attempt to change the map.

    :param round: counts up; a proposer takes one above the highest it has met.
    :param host: the proposer's host.
    :param incarnation: the proposer's incarnation, unique among those of its host.
    """

    round: int
    host: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class EncodedMap:
    """A placement of experts on ranks.

    :param version: counts up by one with each change.
    :param payload: the placement as the engine takes it.
    """

    version: int
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Change:
    """A new map and the step from which on it is used.

    :param hold_step: the first step with the new map; a rank that has staged the
        change doesn't begin this step while the ballot is undecided.
    """

    ballot: Ballot
    map: EncodedMap
    hold_step: int
