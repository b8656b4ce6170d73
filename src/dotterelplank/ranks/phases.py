"""The phases of a map change: what each one waits for, and which tasks are due in it.

See ``change.py`` for the protocol that they carry out.
"""

import typing as t

from . import dispatch
from .change import Change, Outcome, Phase, end, initiator_for
from .tasks import Arm, Assignment, Hold, Prepare, QueryState, Release, Supersede, Task
from .versions import initiator_of
from .views import RankView

PREPARE_TIMEOUT_MS: t.Final = 2_500.0
"""The time allowed to prepare a map, in addition to twice the expected copy time.

No pass is held at this point, so abandoning the change costs nothing.
"""
ARM_TIMEOUT_MS: t.Final = 1_500.0
"""How long the change waits for all ranks to arm; a held pass blocks the group."""
LEAD_STEPS: t.Final = 2
"""The number of passes from the last one begun to the one at which the map changes."""
MAX_HOLD_ATTEMPTS: t.Final = 6
INITIATOR_TIMEOUT_MS: t.Final = 300.0
"""How long a change waits for the initiator's rank before it proceeds without it."""
HOLD_TIMEOUT_MS: t.Final = 1_000.0
"""How long the holder is asked to hold a pass before the change is abandoned."""
VOID_RETRY_INTERVAL_MS: t.Final = 300.0
"""How long ranks may refuse the superseding version before a higher one is used."""


def advance(now_ms: float, change: Change) -> list[Assignment]:
    """Advance the change as far as possible and return the tasks to send now."""
    while change.phase is not Phase.OVER:
        phase = change.phase
        tasks = _PHASES[phase](now_ms, change)
        if change.phase is phase:
            return dispatch.due_assignments(now_ms, change, tasks)
        change.phase_durations_ms[phase] = now_ms - change.phase_began_ms
        change.phase_began_ms = now_ms
        change.last_sent_ms.clear()
    return []


def superseded_versions(views: t.Iterable[RankView]) -> tuple[int, ...]:
    """Return the superseded versions that some rank is armed with."""
    views = list(views)
    armed = {view.armed.version for view in views if view.armed is not None}
    return tuple(
        version
        for version in sorted(armed)
        if any(_refuses(view, version) for view in views)
    )


def _look(now_ms: float, change: Change) -> dict[int, Task]:
    """Query the ranks, then choose whether to complete or to abort the change."""
    missing = _missing_ranks(change)
    if missing and not _may_proceed_without(now_ms, change, missing):
        return dict.fromkeys(missing, QueryState())
    holder = change.views[change.holder]
    if holder.held != change.step:
        end(change, Outcome.ABANDONED)
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
        end(change, Outcome.ABANDONED)
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
        end(change, Outcome.ABANDONED)
        return {}
    return dict.fromkeys(pending, Prepare(change.version, change.map))


def _hold(now_ms: float, change: Change) -> dict[int, Task]:
    holder = change.views[change.holder]
    if holder.held == change.step:
        change.phase = Phase.ARM
        return {}
    is_late = now_ms - change.phase_began_ms > HOLD_TIMEOUT_MS
    if holder.held is not None or change.hold_retries > MAX_HOLD_ATTEMPTS or is_late:
        end(change, Outcome.ABANDONED)
        return {}
    if holder.step >= change.step:
        change.hold_retries += 1
        change.step = holder.step + LEAD_STEPS + change.hold_retries
        change.last_sent_ms.clear()
    return {change.holder: Hold(change.step)}


def _arm(now_ms: float, change: Change) -> dict[int, Task]:
    views = change.views
    if _has_begun(change) or _release_if_armed(change):
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
    if _has_begun(change) or _release_if_armed(change):
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
        end(change, Outcome.SWITCHED if change.will_switch else Outcome.VOIDED)
        return {}
    return {change.holder: Release(change.step)}


def _refuses(view: RankView, version: int) -> bool:
    """Return whether a rank can never be armed with ``version`` again."""
    is_armed = view.armed is not None and view.armed.version == version
    return not is_armed and view.prepared is not None and view.prepared > version


def _has_begun(change: Change) -> bool:
    """End the change if its pass has begun, as another agent must have released it.

    Return whether the change ended.
    """
    views = change.views.values()
    if all(view.step < change.step for view in views):
        return False
    has_switched = any(view.map_version == change.version for view in views)
    end(change, Outcome.SWITCHED if has_switched else Outcome.VOIDED)
    return True


def _release_if_armed(change: Change) -> bool:
    """Go on to release the pass if all ranks are armed; return whether they are."""
    views = change.views
    if len(views) < change.size:
        return False
    if not all(_is_armed(view, change) for view in views.values()):
        return False
    change.phase = Phase.RELEASE
    return True


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


# Each function returns the tasks that are due, by rank, or changes the phase.
_PHASES: t.Mapping[Phase, t.Callable[[float, Change], dict[int, Task]]] = {
    Phase.LOOK: _look,
    Phase.PREPARE: _prepare,
    Phase.HOLD: _hold,
    Phase.ARM: _arm,
    Phase.VOID: _void,
    Phase.RELEASE: _release,
}
