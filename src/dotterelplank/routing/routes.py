"""What the choice of an endpoint is made for, and what it gives."""

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
    """What routing needs to know of a request.

    :param blocks: hash chain of the message text, see :func:`prefixes.chain`.
    :param expected_tokens: tokens that it will likely generate.
    :param priority: higher goes first; 0 is usual. Requests above 0 never probe.
    :param domain: failure domain of this entry.
    :param family_per_s: rate at which requests with the same first block came to
        this entry, see :class:`prefixes.FamilyRates`.
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

    :param live_entries: entries that choose in the same domain, this one too.
    :param affinity_slack: part by which an endpoint may be above the level of all
        and still get the requests whose prefix it caches.
    :param min_affinity_requests: held requests up to which it always may.
    :param silence_limit_ms: an endpoint that owes an answer for longer is frozen.
    :param probe_interval_ms: time between two probes by all entries together.
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

    :param expected_cached_blocks: blocks of its prefix likely cached there.
    """

    host: str
    domain: str
    expected_cached_blocks: float
    reason: Reason
