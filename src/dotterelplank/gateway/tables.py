"""The routing table of one configuration version, and the match of a call."""

import dataclasses
import enum
import functools
import typing as t


class RouteKind(enum.Enum):
    """What may be repeated of a route's calls."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that takes a part of a route's calls.

    :param weight: its part against the weights of the route's other targets.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which service answers the calls below a path prefix, and within what bounds.

    :param prefix: begins and ends with a slash.
    :param timeout_ms: longest time that a caller is kept waiting.
    :param goal_ms: latency objective; of a stream, up to its first event.
    :param gap_target_ms: longest pause between events that is on time.
    :param attempts: most endpoints that one call may be sent to.
    :param priority: 0 is the most urgent.
    :param is_public: whether a call needs no API key.
    :param is_resumable: whether a stream may go on at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: float
    goal_ms: float
    gap_target_ms: float
    attempts: int
    priority: int
    is_public: bool
    is_resumable: bool

    @property
    def is_idempotent(self) -> bool:
        """Whether a call may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLayout:
    """How many experts the engines of a service spread over their ranks.

    :param layers: sets of layers, each with a placement of its own.
    :param experts: experts of a layer.
    :param places: most experts that a rank holds of a layer.
    :param spare: most experts that may be new on a rank and layer in one change.
    :param copy_ms: time that copying one expert to a rank takes.
    """

    layers: int
    experts: int
    places: int
    spare: int
    copy_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A kind of endpoint.

    :param connections: connections that one endpoint accepts of all callers together.
    :param experts: the layout of its expert maps; none for a plain service.
    :param rebuild_ms: time that a group of ranks takes to open again.
    """

    name: str
    connections: int
    experts: ExpertLayout | None
    rebuild_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Who a call is accounted to; its priority goes before the route's."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One version of the configuration, whole and unchangeable."""

    version: int
    routes: tuple[Route, ...]
    services: t.Mapping[str, Service]
    team_by_key: t.Mapping[str, Team]
    needs_key: bool
    limits: Limits

    @functools.cached_property
    def _routes_by_host(self) -> t.Mapping[str, t.Sequence[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return by_host

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that begins ``path``."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team(self, key: str | None) -> Team | None:
        """Return the team that holds ``key``."""
        return None if key is None else self.team_by_key.get(key)


def pick_target(route: Route, draw: float) -> str:
    """Return the service that takes a call.

    :param draw: uniform in [0, 1).
    """
    left = draw * sum(target.weight for target in route.targets)
    for target in route.targets:
        left -= target.weight
        if left < 0:
            return target.service
    return route.targets[-1].service
