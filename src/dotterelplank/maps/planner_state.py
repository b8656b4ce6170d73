"""The state of the planning of expert maps, its events and its commands."""

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
    """Settings of the planning that follow from one configuration.

    :param planning: the group's planning settings in the configuration.
    :param rebalancing_policy: settings of the rebalancing.
    :param revision: revision of the configuration.
    :param planned_from: digest of the map that operators published.
    :param unresponsive_timeout_ms: time in milliseconds after which a host that wasn't
        seen is not chosen as the planner.
    :param avoided_ms: time in milliseconds for which a host that misses samples is not
        chosen as the planner.
    :param plan_bound_ms: time in milliseconds after which a plan expires; the time to
        load its experts is added.
    """

    planning: Planning
    rebalancing_policy: rebalancing.Policy
    revision: int
    planned_from: str
    unresponsive_timeout_ms: float = defaults.PLANNER_SILENT_MS
    avoided_ms: float = defaults.PLANNER_AVOIDED_MS
    plan_bound_ms: float = defaults.PLAN_TIMEOUT_MS


def policy_of(
    planning: Planning, skew_weight: float, revision: int, planned_from: str
) -> Policy:
    """Return the policy that follows from the operators' settings.

    :param skew_weight: weight of the step-time skew against the cost of rebalancing,
        from 0 to 1.
    """
    rebalancing_policy = rebalancing.Policy(
        cost_weight=1 - skew_weight,
        expert_bytes=planning.expert_bytes,
        store_bytes_per_s=planning.store_bytes_per_s,
    )
    return Policy(planning, rebalancing_policy, revision, planned_from)


@dataclasses.dataclass(frozen=True)
class LoadJob:
    """A load of experts that a planner has requested from this agent.

    :param host: the host that requested the load.
    :param plan: number of the plan, given by that host.
    :param experts: expert numbers over all layers.
    :param is_complete: whether all experts were loaded; ``None`` while the load runs.
    """

    host: str
    plan: int
    experts: tuple[int, ...]
    is_complete: bool | None = None


@dataclasses.dataclass
class State:
    """The state of an agent's planning. All times are monotonic, in milliseconds.

    :param host: this agent's host.
    :param hosts: all hosts of the group, sorted; a host's index is its rank's number.
    :param last_seen_ms: time of the last message of each other host.
    :param avoided_until_ms: time until which a host, possibly this one, is not chosen
        as the planner.
    :param sampled_ms: time of the last sample of each host.
    :param planner: the host that plans, as far as this agent knows.
    :param planner_since_ms: time at which ``planner`` was chosen, or at which this
        agent last missed samples as the planner.
    :param probes: number of samples sent to hosts before the planner.
    :param map_version: version of the newest map, -1 before the first.
    :param map_revision: configuration revision of the newest map.
    :param map_origin: digest of the newest map, or of the published map that it was
        planned from.
    :param rebalancing_state: state of the rebalancing; ``None`` while no map that can
        be planned from is in use.
    :param samples: the last sample of each host.
    :param window_starts: the sample of each host at the start of the window; empty if
        no window has started.
    :param window_start_ms: time at which the window started.
    :param is_computing: whether a :class:`Compute` command is being executed.
    :param pending_maps: maps that are still to be proposed, in order.
    :param plan_expires_ms: time at which the plan expires.
    :param plan: number of the last plan that loads experts.
    :param expert_loads: experts that each host must still load before the target map
        is proposed.
    :param next_load_ms: time at which load requests are sent again.
    :param load_job: the last load that was requested from this agent.
    :param next_proposal_ms: time at which the next map is proposed, again if needed.
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
    """Time has passed."""


@dataclasses.dataclass(frozen=True)
class MapChanged:
    """The newest committed map of the group has changed."""

    version: int
    published: PublishedMap


@dataclasses.dataclass(frozen=True)
class Sampled:
    """A sample of this agent's rank was read."""

    sample: RankSample


@dataclasses.dataclass(frozen=True)
class Received:
    """A message was received from another agent of the group."""

    host: str
    message: GroupMessage


@dataclasses.dataclass(frozen=True)
class Loaded:
    """The load that ``host`` requested from this agent has ended.

    :param is_complete: whether all experts were loaded.
    """

    host: str
    plan: int
    is_complete: bool


@dataclasses.dataclass(frozen=True)
class Computed:
    """The rebalancing has decided on a window.

    :param map_version: version of the map that was in use during the window.
    """

    map_version: int
    decision: rebalancing.Decision


Event = Tick | MapChanged | Sampled | Received | Loaded | Computed

# Commands


@dataclasses.dataclass(frozen=True)
class Send:
    """Command to send ``message`` to ``host``; the message may be lost."""

    host: str
    message: GroupMessage


@dataclasses.dataclass(frozen=True)
class Compute:
    """Command to call :func:`~.planner.compute`, which may take long.

    The result is a :class:`Computed` event.

    :param now_ms: monotonic time in milliseconds at the end of the window.
    """

    now_ms: float
    rebalancing_state: rebalancing.State
    observation: Observation
    policy: rebalancing.Policy


@dataclasses.dataclass(frozen=True)
class Report:
    """Command to log ``event`` about ``host`` and a map version."""

    event: events.Event
    host: str
    map_version: int


@dataclasses.dataclass(frozen=True)
class Load:
    """Command to load experts for this agent's rank; it replaces an earlier load.

    The result is a :class:`Loaded` event.

    :param host: the host that requested the load.
    """

    host: str
    request: LoadExperts


Command = Send | Compute | Load | Propose | Report
