"""The metrics of an agent."""

from ..metric_set import MetricSet


class AgentMetrics(MetricSet):
    """The counters and the latency histogram of an agent."""

    def __init__(self) -> None:
        super().__init__("agent_state")
        self._changes = self.counter(
            "map_changes_total", "Changes of the expert map driven here, by outcome."
        )
        self._take_overs = self.counter(
            "take_overs_total", "Held passes of others that were cleared up here."
        )
        self._tasks = self.counter(
            "tasks_total", "Tasks carried out at the own rank for others, by kind."
        )
        self._ranks_lost = self.counter(
            "rank_lost_total", "Times that the own rank fell silent."
        )
        self.change = self.latency(
            "map_change_ms", "Time from a change begun to its end."
        )

    def count_change(self, outcome: str) -> None:
        """Count a change that ended."""
        self._changes.inc({"outcome": outcome})

    def count_take_over(self) -> None:
        """Count a pass held by another agent's change that is resolved here."""
        self._take_overs.inc({})

    def count_task(self, kind: str) -> None:
        """Count a task that another agent requested."""
        self._tasks.inc({"kind": kind})

    def count_rank_lost(self) -> None:
        """Count a loss of the own rank, which doesn't answer any more."""
        self._ranks_lost.inc({})
