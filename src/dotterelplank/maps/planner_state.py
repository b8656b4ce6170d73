"""What the planning of expert maps knows, its events and its commands."""

import dataclasses

from .. import defaults, events
from ..config.planned_maps import Planning
from ..links.messages import GroupMessage, LoadExperts, RankSample
from . import rebalancing
from .experts import ExpertMap, Observation
from .messages import Propose
from .orders import PublishedMap


@dataclasses.dataclass(frozen=True)
class Policy:
    """The settings of one configuration.

    :param revision: the configuration's.
    :param planned_from: digest of the map that operators published.
    :param silent_ms: a host that has not answered for so long doesn't plan.
    :param avoided_ms: time for which a host that misses samples is passed over.
    :param plan_bound_ms: longest time for which a plan is proposed.
    """

    planning: Planning
    rebalancing_policy: rebalancing.Policy
    revision: int
    planned_from: str
    silent_ms: float = defaults.PLANNER_SILENT_MS
    avoided_ms: float = defaults.PLANNER_AVOIDED_MS
    plan_bound_ms: float = defaults.PLAN_TIMEOUT_MS


def policy_of(
    planning: Planning, skew_weight: float, revision: int, planned_from: str
) -> Policy:
    """Return the policy that follows from what operators set."""
    rebalancing_policy = rebalancing.Policy(
        cost_weight=1 - skew_weight,
        expert_bytes=planning.expert_bytes,
        store_bytes_per_s=planning.store_bytes_per_s,
    )
    return Policy(planning, rebalancing_policy, revision, planned_from)


@dataclasses.dataclass(frozen=True)
class LoadJob:
    """A load that another host, or this one, asked for.

    :param is_complete: none while it is under way.
    """

    host: str
    plan: int
    experts: tuple[int, ...]
    is_complete: bool | None = None


@dataclasses.dataclass
class State:
    """What an agent knows of its group.

    :param hosts: all hosts of the group, sorted; a rank is a host's place.
    :param last_seen_ms: when each other host was heard last.
    :param avoided_until_ms: until when a host, this one too, is passed over.
    :param sampled_ms: when the last sample of each host came.
    :param map_version: version of the newest map, -1 before the first.
    :param map_revision: configuration revision that it came with.
    :param map_origin: digest of the published map that it is or was planned from.
    :param rebalancing_state: what the rebalancing remembers; none while no plan
        can be made.
    :param window_starts: the sample of each host at the start of the window.
    :param plan: number of the last plan.
    :param expert_loads: experts that each host is still to load before the target.
    :param load_job: the last load that this host was asked for.
    :param pending_maps: maps that are still to be proposed, one after the other.
    """

    host: str
    hosts: tuple[str, ...]
    last_seen_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    avoided_until_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    sampled_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    planner: str = ""
    planner_since_ms: float = 0.0
    probes: int = 0
    map_version: int = -1
    map_revision: int = 0
    map_origin: str = ""
    rebalancing_state: rebalancing.State | None = None
    samples: dict[str, RankSample] = dataclasses.field(default_factory=dict)
    window_starts: dict[str, RankSample] = dataclasses.field(default_factory=dict)
    window_start_ms: float = 0.0
    is_computing: bool = False
    pending_maps: tuple[ExpertMap, ...] = ()
    plan_expires_ms: float = 0.0
    plan: int = 0
    expert_loads: dict[str, tuple[int, ...]] = dataclasses.field(default_factory=dict)
    next_load_ms: float = 0.0
    load_job: LoadJob | None = None
    next_proposal_ms: float = 0.0


# Events


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has moved on."""


@dataclasses.dataclass(frozen=True)
class InUse:
    """The newest decided map of the group, when it has changed."""

    version: int
    published: PublishedMap


@dataclasses.dataclass(frozen=True)
class Sampled:
    """The own rank was read."""

    sample: RankSample


@dataclasses.dataclass(frozen=True)
class Received:
    """A message came from another agent of the group."""

    host: str
    message: GroupMessage


@dataclasses.dataclass(frozen=True)
class Loaded:
    """The load that ``host`` asked for has ended here."""

    host: str
    plan: int
    is_complete: bool


@dataclasses.dataclass(frozen=True)
class Computed:
    """The rebalancing decided on a window under ``map_version``."""

    map_version: int
    decision: rebalancing.Decision


Event = Tick | InUse | Sampled | Received | Loaded | Computed

# Commands


@dataclasses.dataclass(frozen=True)
class Send:
    """Send ``message`` to ``host``; it may be lost."""

    host: str
    message: GroupMessage


@dataclasses.dataclass(frozen=True)
class Compute:
    """Call :func:`~dotterelplank.mapplanner.compute`, which may take long.

    Its :class:`Computed` is the event that answers.
    """

    now_ms: float
    rebalancing_state: rebalancing.State
    observation: Observation
    policy: rebalancing.Policy


@dataclasses.dataclass(frozen=True)
class Report:
    """Log ``event`` about ``host`` and a map version."""

    event: events.Event
    host: str
    map_version: int


@dataclasses.dataclass(frozen=True)
class Load:
    """Load experts for the own rank, in place of an earlier load.

    Its :class:`Loaded` is the event that answers.

    :param host: the one that asked.
    """

    host: str
    request: LoadExperts


Command = Send | Compute | Load | Propose | Report
