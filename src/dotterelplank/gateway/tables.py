"""The routing table of one version of the configuration."""

import dataclasses
import enum
import functools
import typing as t


class RouteKind(enum.Enum):
    """How the calls of a route may be retried.

    SAFE calls may run more than once, UNSAFE calls may not. STREAMING calls are
    answered with a stream of events, and may be retried if it can be resumed.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that serves a part of a route's calls.

    :param weight: size of this part, relative to the weights of the other targets.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The services and limits for the calls below a path prefix.

    :param host: value of the ``Host`` header that the route applies to.
    :param prefix: path prefix; begins and ends with a slash.
    :param timeout_ms: longest time that a caller is kept waiting.
    :param goal_ms: latency objective for the response; for a stream, for its first
        event.
    :param gap_target_ms: longest gap between two events that is on time.
    :param attempts: most endpoints that one call may be sent to.
    :param priority: priority of the calls; 0 is the most urgent.
    :param is_public: whether a call needs no API key.
    :param is_resumable: whether a stream can be resumed at another endpoint.
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
    """The numbers of experts that a service's engines place on their ranks.

    :param layers: number of sets of layers; each set has a placement of its own.
    :param experts: number of experts in a layer.
    :param places: most experts of a layer that a rank holds.
    :param spare: most experts of a layer that one change may add to a rank.
    :param copy_ms: time to copy one expert to a rank.
    """

    layers: int
    experts: int
    places: int
    spare: int
    copy_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service, provided by endpoints of the same kind.

    :param connections: connections that one endpoint accepts from all clients together.
    :param experts: layout of the service's expert maps; None: it has no expert maps.
    :param rebuild_ms: time that a group of ranks takes to open again.
    """

    name: str
    connections: int
    experts: ExpertLayout | None
    rebuild_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of calls, and on how long callers may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """The owner of an API key.

    :param priority: takes precedence over the priority of a route; None: the route's
        priority applies.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One complete and immutable version of the configuration.

    :param team_by_key: teams by API key.
    :param needs_key: whether calls of routes that aren't public need an API key.
    """

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

    @property
    def service_names(self) -> t.Collection[str]:
        """The names of all services, those that only routes name included."""
        targets = (target for route in self.routes for target in route.targets)
        return {*self.services, *(target.service for target in targets)}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team(self, key: str | None) -> Team | None:
        """Return the team that owns an API key; ``None`` if the key is unknown."""
        return None if key is None else self.team_by_key.get(key)


def pick_target(route: Route, draw: float) -> str:
    """Return the service for a call, chosen at random by the weights of the targets.

    :param draw: random number, uniform in [0, 1).
    """
    left = draw * sum(target.weight for target in route.targets)
    for target in route.targets:
        left -= target.weight
        if left < 0:
            return target.service
    return route.targets[-1].service
