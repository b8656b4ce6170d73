"""Tables of the size of a large installation, to measure their memory.

The data classes here have the fields of those that other modules use for their tables.
"""

import dataclasses
import json
import typing as t

import numpy as np

from .. import errors

RANKS = 128
EXPERTS = 128
LAYERS = 61


@dataclasses.dataclass(slots=True)
class Team:
    """A team's share, and the usage that an entry counts against it."""

    name: str
    weight: int
    tokens: float
    refilled_ms: int
    running: int
    waiting: int


@dataclasses.dataclass(slots=True)
class Endpoint:
    """The data that an entry keeps about an endpoint besides its membership."""

    host: str
    in_flight: int
    reported: int
    latency_ms: float
    cached_tokens: dict[int, int]


def make_text(teams: int) -> str:
    """Return the text of a configuration of ``teams`` teams, 1 MB at 43,000 teams."""
    shares = [{"name": f"t{n:05}", "w": n % 7 + 1} for n in range(teams)]
    return json.dumps({"teams": shares}, separators=(",", ":"))[: 1 << 20]


def validate_text(text: str) -> list[Team]:
    """Return the teams of a configuration text.

    :raises ConfigurationError: if ``text`` isn't a configuration.
    """
    try:
        shares = json.loads(text)["teams"]
        return [Team(s["name"], s["w"], 0.0, 0, 0, 0) for s in shares]
    except (ValueError, KeyError, TypeError) as error:
        fault = errors.InputError("teams", str(error), "a list of teams")
        raise errors.ConfigurationError([fault]) from error


def make_endpoints(count: int) -> dict[str, Endpoint]:
    """Return ``count`` endpoints with 64 cached prefixes each."""
    endpoints = {}
    for number in range(count):
        host = f"ep-{number % 5}-{number:03}"
        cached = {number * 64 + n: 1_000 + n for n in range(64)}
        endpoints[host] = Endpoint(host, 3, 12, 27.5, cached)
    return endpoints


def make_map(layers: int) -> t.Any:
    """Return an array as large as an expert map for 128 ranks and 128 experts."""
    return np.zeros((layers, RANKS, EXPERTS), dtype=np.uint8)
