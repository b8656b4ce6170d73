"""The protocol by which one agent changes the expert map of its group.

The ranks of a group run each forward pass together; ``step`` is the number of a pass.
The agent that begins a change, its initiator, sends orders to all ranks. An order may
remain unanswered and still be executed seconds later, after newer ones, and the
initiator may die. The state of a change is therefore kept in the ranks alone:

* All ranks prepare the map. Then one rank, the holder, holds a future pass, and all
  ranks arm the map for this pass, the initiator's rank last. Each version of a map is
  only ever armed for one pass.
* The pass is released only when every rank is armed, or when no rank can switch any
  more because each has prepared a higher version and so refuses a late order to arm.
* A version is superseded once some rank has prepared a higher one and isn't armed with
  the version. That rank can't be armed with the version again, so the version can
  never become armed on all ranks. Only a superseded version is disarmed.

Hence any agent that reads the ranks can finish or abort a change, and two agents that
do so at once can't contradict each other. The holder is on another host than the
initiator, and the initiator's rank is armed last, so that a change can be aborted while
the initiator's host doesn't respond. See ``docs/design/platform-maps.md`` for the
argument.
"""

import dataclasses
import enum
import typing as t

from .tasks import Arm, Assignment, Hold, Prepare, QueryState, Release, Supersede, Task
from .versions import initiator_of
from .views import ExpertMap, Formation, RankView

PREPARE_TIMEOUT_MS: t.Final = 2_500.0
"""The time allowed to prepare a map, in addition to twice the expected copy time.

No pass is held at this point, so abandoning the change costs nothing.
"""
ARM_TIMEOUT_MS: t.Final = 1_500.0
"""How long the change waits for all ranks to arm; a held pass blocks the group."""
RESEND_INTERVAL_MS: t.Final = 60.0
"""How long after an unanswered task it is sent again."""
PREPARE_RESEND_INTERVAL_MS: t.Final = 100.0
"""Like ``RESEND_INTERVAL_MS``, for preparing a map, in addition to the copy time."""
RESEND_PER_RANK_MS: t.Final = 0.5
"""The addition to a resend interval per rank, as agents forward tasks to each other."""
AGENT_TIMEOUT_MS: t.Final = 300.0
"""After this time without a report, tasks go to the rank itself, not to its agent."""
LEAD_STEPS: t.Final = 2
"""The number of passes from the last one begun to the one at which the map changes."""
MAX_HOLD_ATTEMPTS: t.Final = 6
INITIATOR_TIMEOUT_MS: t.Final = 300.0
"""How long a change waits for the initiator's rank before it proceeds without it."""
HOLD_TIMEOUT_MS: t.Final = 1_000.0
"""How long the holder is asked to hold a pass before the change is abandoned."""
VOID_RETRY_INTERVAL_MS: t.Final = 300.0
"""How long ranks may refuse the superseding version before a higher one is used."""


class Phase(enum.Enum):
    """The phases of a change.

    A change that its agent begins starts with ``PREPARE``. One that resolves a hold of
    another agent starts with ``LOOK``, which reads all ranks. ``VOID`` aborts a change:
    each rank prepares a higher version, so that it refuses to arm the map.
    """

    LOOK = "look"
    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    VOID = "void"
    RELEASE = "release"
    OVER = "over"


class Outcome(enum.Enum):
    """The outcomes of a change.

    ``SWITCHED``: the group uses the new map. ``ABANDONED``: the change ended before any
    rank was ordered to arm, or the hold to be resolved no longer exists.
    ``VOIDED``: the change was aborted. ``REFORMED``: the group has formed anew, with a
    higher epoch.
    """

    SWITCHED = "switched"
    ABANDONED = "abandoned"
    VOIDED = "voided"
    REFORMED = "reformed"


@dataclasses.dataclass
class Change:
    """The state of one map change, or of the recovery of another agent's change.

    :param formation: the group, and its epoch in which the change was begun.
    :param size: number of ranks of the group.
    :param version: version of the map to switch to; in a recovery, the highest version
        that may be armed for the pass, or 0 before the ranks have reported.
    :param map: the map to switch to; empty in a recovery.
    :param holder: rank that holds, or is to hold, the pass.
    :param superseding_version: version that ranks prepare to abort the change; higher
        than any that a rank may have seen.
    :param began_ms: when the change was begun.
    :param copy_ms: time that the slowest rank needs to copy experts.
    :param phase_began_ms: when the present phase began.
    :param step: pass at which the map changes; -1 until it is known.
    :param hold_retries: how often another pass had to be picked, as the holder had
        already begun the former one.
    :param supersede_attempts: 1, plus how often ``superseding_version`` was raised.
    :param will_switch: whether the change leads to the new map; false once aborted.
    :param min_step: the lowest pass that the change may use.
    :param outcome: how the change ended; ``None`` while it is in progress.
    :param views: the latest report of each rank within this change.
    :param last_sent_ms: when each rank was last sent a task of the present phase.
    :param last_seen_ms: when the last report of each rank arrived.
    :param phase_durations_ms: duration of each phase that has ended.
    :param resends: number of tasks that were sent again for lack of a report.
    """

    formation: Formation
    size: int
    holder: int
    version: int
    map: ExpertMap
    superseding_version: int
    began_ms: float
    copy_ms: float
    phase: Phase = Phase.PREPARE
    phase_began_ms: float = 0.0
    step: int = -1
    hold_retries: int = 0
    supersede_attempts: int = 1
    will_switch: bool = True
    min_step: int = 0
    outcome: Outcome | None = None
    views: dict[int, RankView] = dataclasses.field(default_factory=dict)
    last_sent_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    last_seen_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    phase_durations_ms: dict[Phase, float] = dataclasses.field(default_factory=dict)
    resends: int = 0


def begin(
    now_ms: float,
    own: RankView,
    version: int,
    new_map: ExpertMap,
    copy_ms: float,
    min_step: int,
) -> Change:
    """Return a change to ``new_map`` that the agent of ``own`` begins.

    :param own: the latest report of the agent's own rank.
    :param version: unused so far, and higher than any that a rank of the group has had.
    :param copy_ms: time that the slowest rank needs to copy experts.
    :param min_step: higher than any pass that this agent, or an earlier one of the
        same rank, may have held or released, so that a late order of theirs can't
        affect this change.
    """
    return Change(
        formation=own.formation,
        size=own.size,
        holder=holder_for(own.rank, own.size),
        version=version,
        map=new_map,
        superseding_version=version + 1,
        began_ms=now_ms,
        copy_ms=copy_ms,
        phase_began_ms=now_ms,
        min_step=min_step,
    )


def holder_for(initiator: int, size: int) -> int:
    """Return the rank that holds passes for the agent of rank ``initiator``.

    Each agent has a holder of its own, so no other agent releases the pass by mistake.
    """
    return (initiator + 1) % size


def initiator_for(holder: int, size: int) -> int:
    """Return the rank whose agent uses rank ``holder`` to hold passes."""
    return (holder - 1) % size


def take_over(
    now_ms: float,
    formation: Formation,
    size: int,
    holder: int,
    step: int,
    superseding_version: int,
) -> Change:
    """Return a change that resolves the orphaned hold of pass ``step``.

    :param holder: the rank that holds the pass.
    :param superseding_version: higher than any that a rank of the group has had.
    """
    return Change(
        formation=formation,
        size=size,
        holder=holder,
        version=0,
        map=[],
        superseding_version=superseding_version,
        began_ms=now_ms,
        copy_ms=0.0,
        phase=Phase.LOOK,
        phase_began_ms=now_ms,
        step=step,
    )


def record_view(now_ms: float, change: Change, view: RankView) -> None:
    """Record the report of a rank that executed a task of this change.

    The change ends if the report shows that the group has formed anew. A report of
    another group is ignored; its server has taken over an address.
    """
    if view.group != change.formation.group:
        return
    if view.epoch != change.formation.epoch:
        if view.epoch > change.formation.epoch:
            _end(change, Outcome.REFORMED)
        return
    change.views[view.rank] = view
    change.last_seen_ms[view.rank] = now_ms


def advance(now_ms: float, change: Change) -> list[Assignment]:
    """Advance the change as far as possible and return the tasks to send now."""
    while change.phase is not Phase.OVER:
        phase = change.phase
        tasks = _PHASES[phase](now_ms, change)
        if change.phase is phase:
            return _assignments(now_ms, change, tasks)
        change.phase_durations_ms[phase] = now_ms - change.phase_began_ms
        change.phase_began_ms = now_ms
        change.last_sent_ms.clear()
    return []


def abandon_if_preparing(change: Change) -> bool:
    """Abandon the change if it holds no pass yet; return whether it is over."""
    if change.phase is Phase.PREPARE:
        _end(change, Outcome.ABANDONED)
    return change.phase is Phase.OVER


def superseded_versions(views: t.Iterable[RankView]) -> tuple[int, ...]:
    """Return the superseded versions that some rank is armed with."""
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
    """Query the ranks, then choose whether to complete or to abort the change."""
    missing = _missing_ranks(change)
    if missing and not _may_proceed_without(now_ms, change, missing):
        return dict.fromkeys(missing, QueryState())
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
        change.version = max(entry.version for entry in armed)
    else:
        candidates = [
            view
            for view in change.views.values()
            if not _is_armed_elsewhere(view, change)
        ]
        change.version = max((_highest_version(view) for view in candidates), default=0)
    change.superseding_version = max(change.superseding_version, max(versions) + 1)
    change.phase = Phase.ARM if armed and not missing else Phase.VOID
    return {}


def _may_proceed_without(
    now_ms: float, change: Change, missing: t.Sequence[int]
) -> bool:
    """Return whether a hold can be resolved without reports of the ``missing`` ranks.

    Only the rank of the initiator may be missing. It is armed after all others, so
    while one of those isn't armed, it can't switch to the initiator's map. A map of
    another agent has another holder, so its pass isn't the one that is held here.
    """
    initiator = initiator_for(change.holder, change.size)
    if (
        list(missing) != [initiator]
        or now_ms - change.phase_began_ms < INITIATOR_TIMEOUT_MS
    ):
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
        change.step = max(ahead, change.min_step)
        return {}
    if now_ms - change.phase_began_ms > PREPARE_TIMEOUT_MS + 2 * change.copy_ms:
        _end(change, Outcome.ABANDONED)
        return {}
    return dict.fromkeys(pending, Prepare(change.version, change.map))


def _hold(now_ms: float, change: Change) -> dict[int, Task]:
    holder = change.views[change.holder]
    if holder.held == change.step:
        change.phase = Phase.ARM
        return {}
    is_late = now_ms - change.phase_began_ms > HOLD_TIMEOUT_MS
    if holder.held is not None or change.hold_retries > MAX_HOLD_ATTEMPTS or is_late:
        _end(change, Outcome.ABANDONED)
        return {}
    if holder.step >= change.step:
        change.hold_retries += 1
        change.step = holder.step + LEAD_STEPS + change.hold_retries
        change.last_sent_ms.clear()
    return {change.holder: Hold(change.step)}


def _arm(now_ms: float, change: Change) -> dict[int, Task]:
    views = change.views
    if _has_begun(change):
        return {}
    if _all_armed(change):
        change.phase = Phase.RELEASE
        return {}
    is_superseded = any(_refuses(view, change.version) for view in views.values())
    if is_superseded or now_ms - change.phase_began_ms > ARM_TIMEOUT_MS:
        change.phase = Phase.VOID
        return {}
    pending = [
        rank for rank in range(change.size) if not _is_armed(views[rank], change)
    ]
    initiator = initiator_of(change.version)
    due = [rank for rank in pending if rank != initiator] or pending
    return dict.fromkeys(due, Arm(change.version, change.step))


def _void(now_ms: float, change: Change) -> dict[int, Task]:
    """Have the ranks refuse the version, unless all of them are armed after all."""
    views = change.views
    if _has_begun(change):
        return {}
    if _all_armed(change):
        change.phase = Phase.RELEASE
        return {}
    highest = max(_highest_version(view) for view in views.values())
    is_refused = (
        now_ms - change.phase_began_ms
        > VOID_RETRY_INTERVAL_MS * change.supersede_attempts
    )
    if highest > change.superseding_version or is_refused:
        change.supersede_attempts += 1
        change.superseding_version = max(highest, change.superseding_version) + 1
    pending = [
        rank
        for rank, view in views.items()
        if not _refuses(view, change.version) and not _is_armed_elsewhere(view, change)
    ]
    is_initiator_unresponsive = now_ms - change.phase_began_ms > INITIATOR_TIMEOUT_MS
    if not pending or (
        is_initiator_unresponsive and pending == [initiator_of(change.version)]
    ):
        # The initiator's rank is armed last, so it isn't armed if another rank refuses.
        change.will_switch = False
        change.phase = Phase.RELEASE
        return {}
    superseded = superseded_versions(views.values())
    task = Supersede(change.superseding_version, superseded)
    due = {
        rank
        for rank in pending
        if (armed := views[rank].armed) is None or armed.version in superseded
    }
    # The others are queried again, as another agent may have released the pass.
    query = QueryState()
    return {rank: task if rank in due else query for rank in views}


def _release(now_ms: float, change: Change) -> dict[int, Task]:
    holder = change.views[change.holder]
    if holder.held != change.step:
        _end(change, Outcome.SWITCHED if change.will_switch else Outcome.VOIDED)
        return {}
    return {change.holder: Release(change.step)}


def _assignments(
    now_ms: float, change: Change, tasks: dict[int, Task]
) -> list[Assignment]:
    """Return the tasks that haven't been sent yet or are due to be sent again."""
    is_preparing = change.phase is Phase.PREPARE
    interval_ms = (
        PREPARE_RESEND_INTERVAL_MS + change.copy_ms
        if is_preparing
        else RESEND_INTERVAL_MS
    )
    resend_ms = interval_ms + RESEND_PER_RANK_MS * change.size
    assignments = []
    for rank, task in tasks.items():
        last_sent_ms = change.last_sent_ms.get(rank)
        if last_sent_ms is not None and now_ms - last_sent_ms < resend_ms:
            continue
        change.resends += last_sent_ms is not None
        change.last_sent_ms[rank] = now_ms
        last_seen_ms = change.last_seen_ms.get(rank, change.began_ms)
        unreported_ms = now_ms - max(last_seen_ms, change.phase_began_ms)
        is_unresponsive = not is_preparing and unreported_ms > AGENT_TIMEOUT_MS
        is_direct = _is_direct(task) or is_unresponsive
        assignments.append(Assignment(rank, task, is_direct, last_sent_ms is not None))
    return assignments


def _is_direct(task: Task) -> bool:
    """Return whether a task is always sent to the rank itself and not to its agent.

    The initiator orders the hold itself. If the initiator's host freezes, the agent at
    the holder still runs and can resolve the hold.
    """
    return isinstance(task, Hold)


def _has_begun(change: Change) -> bool:
    """End the change if its pass has begun, as another agent must have released it.

    Return whether the change ended.
    """
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

    Such a rank can't switch at the pass of ``change``, as it accepts orders to arm only
    for the version that it is armed with, and a version is armed for one pass only.
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


# Each function returns the tasks that are due, by rank, or changes the phase.
_PHASES: t.Mapping[Phase, t.Callable[[float, Change], dict[int, Task]]] = {
    Phase.LOOK: _look,
    Phase.PREPARE: _prepare,
    Phase.HOLD: _hold,
    Phase.ARM: _arm,
    Phase.VOID: _void,
    Phase.RELEASE: _release,
}
