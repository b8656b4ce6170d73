"""A fake engine that installs, stages and switches maps as a real one must."""

import dataclasses
import typing as t

from ..maps.ballots import Ballot, Change, EncodedMap
from ..maps.messages import (
    EngineView,
    InstallOrder,
    Order,
    Refusal,
    ResolveOrder,
    StageOrder,
)


@dataclasses.dataclass
class Engine:
    """A fake engine that behaves like a single rank.

    :param fences: whether it refuses orders with an old fencing token.
    :param step: the last step that the engine began, or -1 before the first one.
    :param staged: a change that is neither committed nor aborted. The engine begins no
        step from the change's hold step on while the change is staged.
    :param committed: a committed change whose map is not in use yet.
    :param resolved: whether each resolved ballot was committed.
    """

    fences: bool
    step: int = -1
    map: EncodedMap | None = None
    staged: Change | None = None
    committed: Change | None = None
    highest_fence: int = 0
    resolved: dict[Ballot, bool] = dataclasses.field(default_factory=dict)

    def view(self) -> EngineView:
        """Return the state that the engine reports when it is read."""
        return EngineView(
            self.step, self.map, self.staged, self.committed, self.highest_fence
        )

    def apply(self, order: Order) -> Refusal | None:
        """Apply an order.

        :return: why the engine refused the order, or None if it accepted it.
        """
        if self.fences and order.fence < self.highest_fence:
            return Refusal.FENCE
        self.highest_fence = max(self.highest_fence, order.fence)
        action = order.action
        if isinstance(action, StageOrder):
            return self._stage(action)
        if isinstance(action, ResolveOrder):
            return self._resolve(action)
        return self._install(action)

    def _stage(self, action: StageOrder) -> Refusal | None:
        if self.map is None:
            return Refusal.MAP
        if self.staged is not None and self.staged.ballot == action.change.ballot:
            return None
        if self.staged is not None or self.committed is not None:
            return Refusal.STAGED
        if self.step >= action.change.hold_step:
            return Refusal.PASSED
        self.staged = action.change
        return None

    def _resolve(self, action: ResolveOrder) -> Refusal | None:
        if action.ballot in self.resolved:
            return None
        if self.staged is None or self.staged.ballot != action.ballot:
            return Refusal.UNKNOWN
        if action.commit:
            self.committed = self.staged
        self.staged = None
        self.resolved[action.ballot] = action.commit
        return None

    def _install(self, action: InstallOrder) -> Refusal | None:
        if self.map is not None:
            return Refusal.MAP
        self.map = action.map
        self.staged = None if action.committed else action.change
        self.committed = action.change if action.committed else None
        return None

    def may_begin(self, step: int) -> bool:
        """Return whether the engine has a map and no staged change holds ``step``."""
        if self.map is None:
            return False
        return self.staged is None or step < self.staged.hold_step

    def begin(self, step: int) -> EncodedMap:
        """Begin ``step`` and return the map that the engine uses in it."""
        change = self.committed
        if change is not None and step >= change.hold_step:
            self.map = change.map
            self.committed = None
        self.step = step
        return t.cast(EncodedMap, self.map)
