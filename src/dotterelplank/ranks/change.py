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

from .views import ExpertMap, Formation, RankView


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
            end(change, Outcome.REFORMED)
        return
    change.views[view.rank] = view
    change.last_seen_ms[view.rank] = now_ms


def abandon_if_preparing(change: Change) -> bool:
    """Abandon the change if it holds no pass yet; return whether it is over."""
    if change.phase is Phase.PREPARE:
        end(change, Outcome.ABANDONED)
    return change.phase is Phase.OVER


def end(change: Change, outcome: Outcome) -> None:
    """End the change with ``outcome``."""
    change.outcome = outcome
    change.phase = Phase.OVER
