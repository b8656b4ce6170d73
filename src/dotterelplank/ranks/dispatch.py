"""Decides which tasks of a map change are sent now, and by which way."""

import typing as t

from .change import Change, Phase
from .tasks import Assignment, Hold, Task

RESEND_INTERVAL_MS: t.Final = 60.0
"""How long after an unanswered task it is sent again."""
PREPARE_RESEND_INTERVAL_MS: t.Final = 100.0
"""Like ``RESEND_INTERVAL_MS``, for preparing a map, in addition to the copy time."""
RESEND_PER_RANK_MS: t.Final = 0.5
"""The addition to a resend interval per rank, as agents forward tasks to each other."""
AGENT_TIMEOUT_MS: t.Final = 300.0
"""After this time without a report, tasks go to the rank itself, not to its agent."""


def due_assignments(
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
    due = []
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
        due.append(Assignment(rank, task, is_direct, last_sent_ms is not None))
    return due


def _is_direct(task: Task) -> bool:
    """Return whether a task is always sent to the rank itself and not to its agent.

    The initiator orders the hold itself. If the initiator's host freezes, the agent at
    the holder still runs and can resolve the hold.
    """
    return isinstance(task, Hold)
