"""The change of a group's expert map, as the agent that drives it sees it.

Orders to a rank may get no answer and be carried out seconds later, after newer ones,
and whoever gave them may die. What binds a change lies in the ranks alone:

* All ranks prepare the map. Then one rank, the holder, holds a pass to come, and all
  arm the map for just that pass, the rank of the agent that made the map last. Each
  version is armed for one pass only, ever.
* The pass is released only when every rank is armed, or when no rank can switch any
  more: each has a higher version prepared, which refuses a late order to arm.
* A version is dead once some rank has a higher one prepared and isn't armed with it.
  Then it can't be armed there again, so nobody ever sees it armed everywhere. Only a
  dead version is disarmed.

So whoever looks at the ranks can finish a change or make it void, and two that do so at
once can't contradict each other. The holder is on another host than the maker, and as
the maker's rank is armed last, a change can be made void without a word from its host.
``docs/design/platform-maps.md`` gives the argument.
"""

import dataclasses
import enum
import typing as t

from .tasks import Arm, Assignment, Hold, Look, Prepare, Release, Task, Void
from .versions import initiator_of
from .views import ExpertMap, RankView

PREPARE_TIMEOUT_MS: t.Final = 2_500.0
"""Beyond the time of the copies; nothing is held yet, so giving up costs nothing."""
ARM_TIMEOUT_MS: t.Final = 1_500.0
"""How long ranks that don't arm are waited for, while the group may be held."""
RESEND_INTERVAL_MS: t.Final = 60.0
PREPARE_RESEND_INTERVAL_MS: t.Final = 100.0
"""Beyond the time of the copies, after which a rank tells that it is prepared."""
RESEND_PER_RANK_MS: t.Final = 0.5
"""For each rank of a group, as tasks go from agent to agent."""
AGENT_TIMEOUT_MS: t.Final = 300.0
"""A rank whose agent is silent this long is spoken to directly."""
LEAD_STEPS: t.Final = 2
"""Passes between the last one begun and the one at which the map changes."""
MAX_HOLD_ATTEMPTS: t.Final = 6
INITIATOR_TIMEOUT_MS: t.Final = 300.0
"""How long the rank of a map's maker is waited for, where it may be done without."""
HOLD_TIMEOUT_MS: t.Final = 1_000.0
"""How long the holder is asked to hold a pass before the change is given up."""
VOID_RETRY_INTERVAL_MS: t.Final = 300.0
"""How long ranks may refuse a void version before a higher one is taken."""


class Phase(enum.Enum):
    """How far a change has got."""

    LOOK = "look"
    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    VOID = "void"
    RELEASE = "release"
    OVER = "over"


class Outcome(enum.Enum):
    """How a change ended."""

    SWITCHED = "switched"
    ABANDONED = "abandoned"
    VOIDED = "voided"
    REFORMED = "reformed"


@dataclasses.dataclass
class Change:
    """One change of the map, or the clearing up of one.

    :param version: the map to switch to; when clearing up, the highest one met.
    :param holder: rank that holds, or is to hold, the pass.
    :param void_version: higher than any that a rank may have met.
    :param copy_ms: time that the copies of the slowest rank take.
    :param least_step: passes before this one aren't used.
    :param views: the latest word of each rank within this change.
    :param asked_ms: when each rank was last given a task.
    :param heard_ms: when each rank last answered.
    :param spent_ms: how long each phase that is over took.
    :param repeats: tasks that were given again, as no answer came.
    """

    epoch: int
    size: int
    holder: int
    version: int
    map: ExpertMap
    void_version: int
    began_ms: float
    copy_ms: float
    phase: Phase = Phase.PREPARE
    phase_ms: float = 0.0
    step: int = -1
    hold_tries: int = 0
    void_raises: int = 1
    is_forward: bool = True
    least_step: int = 0
    outcome: Outcome | None = None
    views: dict[int, RankView] = dataclasses.field(default_factory=dict)
    asked_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    heard_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    spent_ms: dict[Phase, float] = dataclasses.field(default_factory=dict)
    repeats: int = 0


def begin(
    now_ms: float,
    own: RankView,
    version: int,
    new_map: ExpertMap,
    copy_ms: float,
    least_step: int,
) -> Change:
    """Return a change to ``new_map`` that the agent of ``own`` begins.

    :param version: higher than any that a rank of the group has had, and never used.
    :param copy_ms: time that the copies of the slowest rank take.
    :param least_step: higher than any pass that this agent, or one before it at the
        same rank, may have held or released: a late order must not meet this change.
    """
    return Change(
        epoch=own.epoch,
        size=own.size,
        holder=holder_for(own.rank, own.size),
        version=version,
        map=new_map,
        void_version=version + 1,
        began_ms=now_ms,
        copy_ms=copy_ms,
        phase_ms=now_ms,
        least_step=least_step,
    )


def holder_for(initiator: int, size: int) -> int:
    """Return the rank that holds passes for the agent of rank ``initiator``.

    No other agent has passes held there, so nobody else releases them by mistake.
    """
    return (initiator + 1) % size


def initiator_for(holder: int, size: int) -> int:
    """Return the rank whose agent has passes held at rank ``holder``."""
    return (holder - 1) % size


def take_over(
    now_ms: float,
    epoch: int,
    size: int,
    holder: int,
    step: int,
    void_version: int,
) -> Change:
    """Return the clearing up of a pass that is held at rank ``holder`` by nobody alive.

    :param void_version: higher than any that a rank of the group has had.
    """
    return Change(
        epoch=epoch,
        size=size,
        holder=holder,
        version=0,
        map=[],
        void_version=void_version,
        began_ms=now_ms,
        copy_ms=0.0,
        phase=Phase.LOOK,
        phase_ms=now_ms,
        step=step,
    )


def record_view(now_ms: float, change: Change, view: RankView) -> None:
    """Take in what a rank said of itself after a task of this change."""
    if view.epoch != change.epoch:
        if view.epoch > change.epoch:
            _end(change, Outcome.REFORMED)
        return
    change.views[view.rank] = view
    change.heard_ms[view.rank] = now_ms


def advance(now_ms: float, change: Change) -> list[Assignment]:
    """Let the change go on as far as it can; return the tasks to give now."""
    while change.phase is not Phase.OVER:
        phase = change.phase
        tasks = _PHASES[phase](now_ms, change)
        if change.phase is phase:
            return _assignments(now_ms, change, tasks)
        change.spent_ms[phase] = now_ms - change.phase_ms
        change.phase_ms = now_ms
        change.asked_ms.clear()
    return []


def abandon_if_preparing(change: Change) -> bool:
    """Give up a change if it holds nothing yet; return whether it is over."""
    if change.phase is Phase.PREPARE:
        _end(change, Outcome.ABANDONED)
    return change.phase is Phase.OVER


def dead_versions(views: t.Iterable[RankView]) -> tuple[int, ...]:
    """Return the versions that some rank is armed with and that are dead."""
    views = list(views)
    armed = {view.armed.version for view in views if view.armed is not None}
    return tuple(
        version
        for version in sorted(armed)
        if any(_refuses(view, version) for view in views)
    )


def _refuses(view: RankView, version: int) -> bool:
    """Return whether a rank can never be armed with ``version`` again."""
    is_armed = view.armed is not None and view.armed.version == version
    return not is_armed and view.prepared is not None and view.prepared > version


def _look(now_ms: float, change: Change) -> dict[int, Task]:
    missing = _missing_ranks(change)
    if missing and not _may_proceed_without(now_ms, change, missing):
        return dict.fromkeys(missing, Look())
    holder = change.views[change.holder]
    if holder.held != change.step:
        _end(change, Outcome.ABANDONED)
        return {}
    armed = [
        view.armed
        for view in change.views.values()
        if view.armed is not None and view.armed.step == change.step
    ]
    versions = [_highest_version(view) for view in change.views.values()]
    if armed:
        change.version = max(one.version for one in armed)
    else:
        open_views = [
            view
            for view in change.views.values()
            if not _is_armed_elsewhere(view, change)
        ]
        change.version = max((_highest_version(view) for view in open_views), default=0)
    change.void_version = max(change.void_version, max(versions) + 1)
    change.phase = Phase.ARM if armed and not missing else Phase.VOID
    return {}


def _may_proceed_without(
    now_ms: float, change: Change, missing: t.Sequence[int]
) -> bool:
    """Return whether a pass can be cleared up though ``missing`` ranks aren't heard.

    That is so for the rank of the agent that had the pass held, which is armed only
    after all others are: as long as one of them isn't, it can't switch to a map of that
    agent. A map of another agent would be held at another rank as well.
    """
    initiator = initiator_for(change.holder, change.size)
    if list(missing) != [initiator] or now_ms - change.phase_ms < INITIATOR_TIMEOUT_MS:
        return False
    armed = [
        view.armed.version
        for view in change.views.values()
        if view.armed is not None and view.armed.step == change.step
    ]
    return len(armed) < len(change.views) and all(
        initiator_of(version) == initiator for version in armed
    )


def _prepare(now_ms: float, change: Change) -> dict[int, Task]:
    views = change.views.values()
    if any(_highest_version(view) > change.version for view in views):
        _end(change, Outcome.ABANDONED)
        return {}
    pending = [
        rank
        for rank in range(change.size)
        if rank not in change.views or change.views[rank].prepared != change.version
    ]
    if not pending:
        change.phase = Phase.HOLD
        ahead = max(view.step for view in views) + LEAD_STEPS
        change.step = max(ahead, change.least_step)
        return {}
    if now_ms - change.phase_ms > PREPARE_TIMEOUT_MS + 2 * change.copy_ms:
        _end(change, Outcome.ABANDONED)
        return {}
    return dict.fromkeys(pending, Prepare(change.version, change.map))


def _hold(now_ms: float, change: Change) -> dict[int, Task]:
    holder = change.views[change.holder]
    if holder.held == change.step:
        change.phase = Phase.ARM
        return {}
    is_late = now_ms - change.phase_ms > HOLD_TIMEOUT_MS
    if holder.held is not None or change.hold_tries > MAX_HOLD_ATTEMPTS or is_late:
        _end(change, Outcome.ABANDONED)
        return {}
    if holder.step >= change.step:
        change.hold_tries += 1
        change.step = holder.step + LEAD_STEPS + change.hold_tries
        change.asked_ms.clear()
    return {change.holder: Hold(change.step)}


def _arm(now_ms: float, change: Change) -> dict[int, Task]:
    views = change.views
    if _has_begun(change):
        return {}
    if _all_armed(change):
        change.phase = Phase.RELEASE
        return {}
    is_dead = any(_refuses(view, change.version) for view in views.values())
    if is_dead or now_ms - change.phase_ms > ARM_TIMEOUT_MS:
        change.phase = Phase.VOID
        return {}
    pending = [
        rank for rank in range(change.size) if not _is_armed(views[rank], change)
    ]
    initiator = initiator_of(change.version)
    now = [rank for rank in pending if rank != initiator] or pending
    return dict.fromkeys(now, Arm(change.version, change.step))


def _void(now_ms: float, change: Change) -> dict[int, Task]:
    views = change.views
    if _has_begun(change):
        return {}
    if _all_armed(change):
        change.phase = Phase.RELEASE
        return {}
    highest = max(_highest_version(view) for view in views.values())
    is_refused = now_ms - change.phase_ms > VOID_RETRY_INTERVAL_MS * change.void_raises
    if highest > change.void_version or is_refused:
        change.void_raises += 1
        change.void_version = max(highest, change.void_version) + 1
    pending = [
        rank
        for rank, view in views.items()
        if not _refuses(view, change.version) and not _is_armed_elsewhere(view, change)
    ]
    is_initiator_silent = now_ms - change.phase_ms > INITIATOR_TIMEOUT_MS
    if not pending or (
        is_initiator_silent and pending == [initiator_of(change.version)]
    ):
        # The maker's rank is armed last, so it isn't armed if another refuses.
        change.is_forward = False
        change.phase = Phase.RELEASE
        return {}
    dead = dead_versions(views.values())
    task = Void(change.void_version, dead)
    due = {
        rank
        for rank in pending
        if (armed := views[rank].armed) is None or armed.version in dead
    }
    # The others are read again: the pass may have begun without this change.
    look = Look()
    return {rank: task if rank in due else look for rank in views}


def _release(now_ms: float, change: Change) -> dict[int, Task]:
    holder = change.views[change.holder]
    if holder.held != change.step:
        _end(change, Outcome.SWITCHED if change.is_forward else Outcome.VOIDED)
        return {}
    return {change.holder: Release(change.step)}


def _assignments(
    now_ms: float, change: Change, tasks: dict[int, Task]
) -> list[Assignment]:
    is_preparing = change.phase is Phase.PREPARE
    pause_ms = (
        PREPARE_RESEND_INTERVAL_MS + change.copy_ms
        if is_preparing
        else RESEND_INTERVAL_MS
    )
    resend_ms = pause_ms + RESEND_PER_RANK_MS * change.size
    assignments = []
    for rank, task in tasks.items():
        asked_ms = change.asked_ms.get(rank)
        if asked_ms is not None and now_ms - asked_ms < resend_ms:
            continue
        change.repeats += asked_ms is not None
        change.asked_ms[rank] = now_ms
        heard_ms = change.heard_ms.get(rank, change.began_ms)
        silent_ms = now_ms - max(heard_ms, change.phase_ms)
        is_silent = not is_preparing and silent_ms > AGENT_TIMEOUT_MS
        is_direct = _is_direct(task) or is_silent
        assignments.append(Assignment(rank, task, is_direct, asked_ms is not None))
    return assignments


def _is_direct(task: Task) -> bool:
    """Return whether a task is always for the rank itself.

    Whoever has a pass held gives the order itself: if its host then stands still, the
    holder's doesn't.
    """
    return isinstance(task, Hold)


def _has_begun(change: Change) -> bool:
    """End the change if its pass has begun: somebody else has released it."""
    views = change.views.values()
    if all(view.step < change.step for view in views):
        return False
    has_switched = any(view.map_version == change.version for view in views)
    _end(change, Outcome.SWITCHED if has_switched else Outcome.VOIDED)
    return True


def _all_armed(change: Change) -> bool:
    views = change.views
    return len(views) == change.size and all(
        _is_armed(view, change) for view in views.values()
    )


def _is_armed(view: RankView, change: Change) -> bool:
    armed = view.armed
    return (
        armed is not None
        and armed.version == change.version
        and armed.step == change.step
    )


def _is_armed_elsewhere(view: RankView, change: Change) -> bool:
    """Return whether a rank is armed for another pass than that of ``change``.

    Only the version that it is armed with could be armed there, and each version is
    armed for one pass alone; so it can't switch at the pass of ``change``.
    """
    return view.armed is not None and view.armed.step != change.step


def _missing_ranks(change: Change) -> list[int]:
    return [rank for rank in range(change.size) if rank not in change.views]


def _highest_version(view: RankView) -> int:
    armed = -1 if view.armed is None else view.armed.version
    return max(view.map_version, view.prepared or -1, armed)


def _end(change: Change, outcome: Outcome) -> None:
    change.outcome = outcome
    change.phase = Phase.OVER


_PHASES: t.Mapping[Phase, t.Callable[[float, Change], dict[int, Task]]] = {
    Phase.LOOK: _look,
    Phase.PREPARE: _prepare,
    Phase.HOLD: _hold,
    Phase.ARM: _arm,
    Phase.VOID: _void,
    Phase.RELEASE: _release,
}
