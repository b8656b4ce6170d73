"""A fake engine that holds, stages and changes its map as a real one must."""

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
    """A fake engine, whose ranks act as one.

    :param fences: whether it refuses an old fencing token.
    """

    fences: bool
    step: int = -1
    map: EncodedMap | None = None
    staged: Change | None = None
    committed: Change | None = None
    highest_fence: int = 0
    resolved: dict[Ballot, bool] = dataclasses.field(default_factory=dict)

    def view(self) -> EngineView:
        """Return what the engine reports of itself."""
        return EngineView(
            self.step, self.map, self.staged, self.committed, self.highest_fence
        )

    def apply(self, order: Order) -> Refusal | None:
        """Take an order and return why it was refused, none if it wasn't."""
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
        """Return whether the engine may begin ``step``."""
        if self.map is None:
            return False
        return self.staged is None or step < self.staged.hold_step

    def begin(self, step: int) -> EncodedMap:
        """Begin ``step`` and return the map that it uses."""
        change = self.committed
        if change is not None and step >= change.hold_step:
            self.map = change.map
            self.committed = None
        self.step = step
        return t.cast(EncodedMap, self.map)
