"""Data types of the map change protocol: ballots, encoded maps and map changes."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Ballot:
    """The unique identifier of one attempt to change the map; ballots are ordered.

    :param round: round number; a proposer uses the highest round number that it has
        received or used, plus one.
    :param host: the proposer's host.
    :param incarnation: the proposer's incarnation, unique among those of its host.
    """

    round: int
    host: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class EncodedMap:
    """A placement of experts on ranks, in the encoding that engines accept.

    :param version: version of the map; each change increases it by one.
    :param payload: the encoded placement.
    """

    version: int
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Change:
    """A new map and the first step that uses it.

    :param ballot: identifies this attempt to change the map.
    :param map: the new map.
    :param hold_step: the first step with the new map; a rank that has staged the
        change doesn't begin this step while the ballot is undecided.
    """

    ballot: Ballot
    map: EncodedMap
    hold_step: int
