"""Input, settings and result of the choice of an endpoint."""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why an endpoint was chosen."""

    PREFIX = "prefix"
    LOAD = "load"
    PROBE = "probe"
    OTHER_DOMAIN = "other-domain"


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """The properties of a request that routing uses.

    :param blocks: hash chain of the message text, see :func:`prefixes.chain`.
    :param expected_tokens: number of tokens that it will likely generate.
    :param priority: higher values go first; the default is 0. Requests with a priority
        above 0 are never used as probes.
    :param domain: failure domain of this entry.
    :param family_per_s: rate per second at which requests with the same first block
        came to this entry, see :class:`prefixes.FamilyRates`.
    """

    request_id: str
    blocks: tuple[int, ...]
    expected_tokens: int
    priority: int
    domain: str
    family_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """The settings of routing.

    :param live_entries: number of live entries in the same domain, including this one.
    :param cache_half_life_ms: time in which the probability that a block is still
        cached halves.
    :param affinity_slack: fraction by which an endpoint's load may exceed the common
        fill level while it still gets the requests whose prefix it caches.
    :param min_affinity_requests: number of requests at an endpoint up to which it gets
        such requests regardless of the fill level.
    :param silence_limit_ms: time without any data from an endpoint that owes an answer
        after which the endpoint is considered stalled.
    :param first_token_limit_ms: the same time for a first token, while no request at
        the endpoint has got one.
    :param failure_score_limit: failure score from which an endpoint is avoided.
    :param probe_interval_ms: time between two probes of one endpoint by all entries
        together.
    """

    live_entries: int = 9
    cache_half_life_ms: float = 60_000.0
    affinity_slack: float = 0.1
    min_affinity_requests: float = 4.0
    silence_limit_ms: float = 600.0
    first_token_limit_ms: float = 1_500.0
    failure_score_limit: float = 2.0
    probe_interval_ms: float = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint to send a request to.

    :param expected_cached_blocks: expected number of blocks of the request's prefix
        that the endpoint caches.
    """

    host: str
    domain: str
    expected_cached_blocks: float
    reason: Reason
