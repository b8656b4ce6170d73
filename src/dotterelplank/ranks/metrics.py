"""The counters and the latency histogram of an agent."""

import typing as t

import aioprometheus
from aioprometheus.formats import text

from ..gateway.metrics import Latency


class AgentMetrics:
    """What an agent counts; read and written by one loop."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._changes = self._counter(
            "map_changes_total", "Changes of the expert map driven here, by outcome."
        )
        self._take_overs = self._counter(
            "take_overs_total", "Held passes of others that were cleared up here."
        )
        self._tasks = self._counter(
            "tasks_total", "Tasks carried out at the own rank for others, by kind."
        )
        self._silences = self._counter(
            "rank_lost_total", "Times that the own rank fell silent."
        )
        self._gauge = aioprometheus.Gauge(
            "dotterelplank_agent_state", "State by name.", registry=self.registry
        )
        self.change = Latency(
            self.registry,
            "dotterelplank_map_change_ms",
            "Time from a change begun to its end.",
        )

    def count_change(self, outcome: str) -> None:
        """Count a change that ended."""
        self._changes.inc({"outcome": outcome})

    def count_take_over(self) -> None:
        """Count a held pass that is cleared up for somebody else."""
        self._take_overs.inc({})

    def count_task(self, kind: str) -> None:
        """Count a task that another agent asked for."""
        self._tasks.inc({"kind": kind})

    def count_silence(self) -> None:
        """Count that the own rank doesn't answer any more."""
        self._silences.inc({})

    def render(self, state: t.Mapping[str, float]) -> bytes:
        """Return all metrics in the Prometheus text format.

        :param state: present values by name.
        """
        for name, value in state.items():
            self._gauge.set({"name": name}, value)
        return text.TextFormatter().marshall(self.registry)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f"dotterelplank_{name}", doc, registry=self.registry
        )
