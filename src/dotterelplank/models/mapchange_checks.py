"""What a group of fake engines must never do, seen with knowledge no agent has."""

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
    """The promises of the map change protocol about a whole group.

    :param engines: the engines of the group by host, as the model replaces them.
    :param reach: counts of what happened.
    """

    def __init__(
        self, engines: t.Mapping[str, Engine], reach: collections.Counter[str]
    ) -> None:
        self.engines = engines
        self.reach = reach
        self.used: dict[int, EncodedMap] = {}
        self.newest: EncodedMap | None = None
        self.stagers: dict[Ballot, set[str]] = collections.defaultdict(set)
        self.unanimous: set[Ballot] = set()
        self.committed: set[Ballot] = set()

    def forget_lost_steps(self) -> None:
        """Forget each step that no living engine has begun: nobody made it."""
        engines = self.engines.values()
        last = max(engine.step for engine in engines)
        self.used = {step: used for step, used in self.used.items() if step <= last}
        maps = [t.cast(EncodedMap, one.map) for one in engines if one.step >= 0]
        self.newest = max(maps, key=lambda one: one.version, default=None)

    def begun(self, step: int, expert_map: EncodedMap) -> None:
        """Check a step that an engine has begun with ``expert_map``."""
        self.reach["steps"] += 1
        used = self.used.setdefault(step, expert_map)
        self.used.pop(step - 2, None)
        if used != expert_map:
            raise InvariantError(f"step {step} met {used} and {expert_map}")
        newest = self.newest
        if newest is not None and expert_map.version < newest.version:
            raise InvariantError(f"step {step} went back to {expert_map}")
        if newest is None or expert_map.version > newest.version:
            self.reach["maps changed"] += newest is not None
            self.newest = expert_map

    def landed(self, host: str, before: EngineView, action: Action) -> None:
        """Check the engine of ``host``, which an order has just met."""
        engine = self.engines[host]
        if engine.staged is not None:
            self._staged(host, engine.staged.ballot)
        if isinstance(action, InstallOrder) and before.map is None:
            self._installed(action)
        if before.staged is None or engine.staged is not None:
            return
        ballot = before.staged.ballot
        if engine.committed is None:
            self._aborted(ballot)
        else:
            self._committed(ballot)

    def closed(self, closed: ProposalClosed) -> None:
        """Check what the one who proposed is told."""
        if (
            closed.result is ProposalResult.COMMITTED
            and closed.ballot not in self.committed
        ):
            raise InvariantError(f"{closed.ballot} was told committed and wasn't")

    def _staged(self, host: str, ballot: Ballot) -> None:
        self.stagers[ballot].add(host)
        if all(_holds(engine, ballot) for engine in self.engines.values()):
            self.unanimous.add(ballot)

    def _installed(self, action: InstallOrder) -> None:
        self.reach["maps installed"] += 1
        if action.change is None:
            return
        self.reach["changes joined"] += 1
        if action.committed and action.change.ballot not in self.committed:
            raise InvariantError(f"{action.change.ballot} was joined and never decided")

    def _committed(self, ballot: Ballot) -> None:
        self.reach["commits"] += 1
        self.committed.add(ballot)
        if self.stagers[ballot] != set(self.engines):
            raise InvariantError(f"{ballot} was committed with no unanimity")
        engines = self.engines.values()
        if any(not engine.resolved.get(ballot, True) for engine in engines):
            raise InvariantError(f"{ballot} was committed after an abort")

    def _aborted(self, ballot: Ballot) -> None:
        self.reach["aborts"] += 1
        if ballot in self.unanimous or ballot in self.committed:
            raise InvariantError(f"{ballot} was decided and then undone")


def _holds(engine: Engine, ballot: Ballot) -> bool:
    if engine.staged is not None and engine.staged.ballot == ballot:
        return True
    return engine.committed is not None and engine.committed.ballot == ballot
