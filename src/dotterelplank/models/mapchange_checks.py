"""Invariants of the map change protocol, checked on the engines of a whole group.

The checks see every engine at once, which no agent can.
"""

import collections
import typing as t

from ..errors import InvariantError
from ..maps.ballots import Ballot, EncodedMap
from ..maps.messages import (
    Action,
    EngineView,
    InstallOrder,
    ProposalClosed,
    ProposalResult,
)
from .mapengine import Engine


class Checks:
    """The checks of one group's invariants.

    :param engines: the engine of each host. The model replaces engines in this
        mapping.
    :param reach: how often each kind of event occurred. The checks add to it.
    """

    def __init__(
        self, engines: t.Mapping[str, Engine], reach: collections.Counter[str]
    ) -> None:
        self.engines = engines
        self.reach = reach
        self.map_by_step: dict[int, EncodedMap] = {}
        self.newest: EncodedMap | None = None
        self.staging_hosts: dict[Ballot, set[str]] = collections.defaultdict(set)
        self.staged_by_all: set[Ballot] = set()
        self.committed: set[Ballot] = set()

    def discard_lost_steps(self) -> None:
        """Discard the steps that no engine of the group has begun.

        Only engines that were replaced had begun them. The group may begin these
        steps again with another map.
        """
        engines = self.engines.values()
        last = max(engine.step for engine in engines)
        self.map_by_step = {
            step: used for step, used in self.map_by_step.items() if step <= last
        }
        maps = [t.cast(EncodedMap, one.map) for one in engines if one.step >= 0]
        self.newest = max(maps, key=lambda one: one.version, default=None)

    def on_step_begun(self, step: int, expert_map: EncodedMap) -> None:
        """Check ``step``, which an engine has begun with ``expert_map``.

        :raises InvariantError: if another engine began it with another map, or if an
            earlier step used a newer map.
        """
        self.reach["steps"] += 1
        used = self.map_by_step.setdefault(step, expert_map)
        self.map_by_step.pop(step - 2, None)
        if used != expert_map:
            raise InvariantError(f"step {step} met {used} and {expert_map}")
        newest = self.newest
        if newest is not None and expert_map.version < newest.version:
            raise InvariantError(
                f"step {step} was begun with an older map, {expert_map}"
            )
        if newest is None or expert_map.version > newest.version:
            self.reach["maps changed"] += newest is not None
            self.newest = expert_map

    def on_order_applied(self, host: str, before: EngineView, action: Action) -> None:
        """Check the engine of ``host`` after it applied or refused an order.

        :param before: what the engine reported just before the order.
        :raises InvariantError: if the order committed or aborted a change that it
            must not.
        """
        engine = self.engines[host]
        if engine.staged is not None:
            self._on_staged(host, engine.staged.ballot)
        if isinstance(action, InstallOrder) and before.map is None:
            self._on_installed(action)
        if before.staged is None or engine.staged is not None:
            return
        ballot = before.staged.ballot
        if engine.committed is None:
            self._on_aborted(ballot)
        else:
            self._on_committed(ballot)

    def on_proposal_closed(self, closed: ProposalClosed) -> None:
        """Check the result that a proposer receives.

        :raises InvariantError: if it is "committed" and no engine committed the ballot.
        """
        if (
            closed.result is ProposalResult.COMMITTED
            and closed.ballot not in self.committed
        ):
            raise InvariantError(
                f"{closed.ballot} was reported as committed, but was not"
            )

    def _on_staged(self, host: str, ballot: Ballot) -> None:
        self.staging_hosts[ballot].add(host)
        if all(_has_change(engine, ballot) for engine in self.engines.values()):
            self.staged_by_all.add(ballot)

    def _on_installed(self, action: InstallOrder) -> None:
        self.reach["maps installed"] += 1
        if action.change is None:
            return
        self.reach["changes joined"] += 1
        if action.committed and action.change.ballot not in self.committed:
            raise InvariantError(
                f"{action.change.ballot} was installed as committed, but was not"
            )

    def _on_committed(self, ballot: Ballot) -> None:
        self.reach["commits"] += 1
        self.committed.add(ballot)
        if self.staging_hosts[ballot] != set(self.engines):
            raise InvariantError(
                f"{ballot} was committed, but not staged by all engines"
            )
        engines = self.engines.values()
        if any(not engine.resolved.get(ballot, True) for engine in engines):
            raise InvariantError(f"{ballot} was committed after an abort")

    def _on_aborted(self, ballot: Ballot) -> None:
        self.reach["aborts"] += 1
        if ballot in self.staged_by_all or ballot in self.committed:
            raise InvariantError(f"{ballot} was aborted after the decision to commit")


def _has_change(engine: Engine, ballot: Ballot) -> bool:
    """Return whether the engine has the change of ``ballot`` staged or committed."""
    if engine.staged is not None and engine.staged.ballot == ballot:
        return True
    return engine.committed is not None and engine.committed.ballot == ballot
