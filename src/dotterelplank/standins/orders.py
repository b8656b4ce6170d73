"""Orders to a stand-in: fencing numbers, and orders that are executed with a delay."""

import dataclasses
import typing as t

from ..errors import StandinRefusalError
from . import http as standin_http

MAX_EXECUTED_ORDERS = 10_000


class Fenced(t.Protocol):
    """An order that carries a fencing number."""

    fence: int


O = t.TypeVar("O", bound=Fenced)  # noqa: E741


@dataclasses.dataclass
class PendingOrder(t.Generic[O]):
    """An order that was received.

    It is executed at ``due_ms``, even if the caller has disconnected by then.

    :param done: whether the order has been executed, or refused at its execution.
    :param refusal: why the order was refused at its execution, or None.
    """

    order: O
    due_ms: float
    done: bool = False
    refusal: StandinRefusalError | None = None

    def check(self) -> None:
        """Raise the refusal of the order, if there is one."""
        if self.refusal is not None:
            raise self.refusal


class OrderQueue(t.Generic[O]):
    """Receives orders and executes each one when it is due.

    :param refuses_old_fences: whether an order is refused when its fencing number is
        below the highest received one; otherwise such an order is executed.
    :param execute: executes an order; called with the order and the time at which it
        is due, and may raise :class:`~dotterelplank.errors.StandinRefusalError`.
    """

    def __init__(
        self, refuses_old_fences: bool, execute: t.Callable[[O, float], None]
    ) -> None:
        self.highest_fence = 0
        self.executed: list[O] = []
        self._refuses_old_fences = refuses_old_fences
        self._execute = execute
        self._in_flight: list[PendingOrder[O]] = []

    def receive(self, order: O, now_ms: float, delay_ms: float) -> PendingOrder[O]:
        """Receive an order, which is executed ``delay_ms`` later.

        :raises StandinRefusalError: when the fencing number is already too low.
        """
        self._check_fence(order)
        self.highest_fence = max(self.highest_fence, order.fence)
        pending = PendingOrder(order, now_ms + delay_ms)
        self._in_flight.append(pending)
        self.run_due(now_ms)
        return pending

    def run_due(self, now_ms: float) -> None:
        """Execute all orders that are due, in the order of their due times."""
        due = [pending for pending in self._in_flight if pending.due_ms <= now_ms]
        for pending in sorted(due, key=lambda pending: pending.due_ms):
            self._in_flight.remove(pending)
            self._execute_pending(pending)

    def next_due_ms(self) -> float | None:
        """Return when the next received order is due, or None without any."""
        return min((pending.due_ms for pending in self._in_flight), default=None)

    def _execute_pending(self, pending: PendingOrder[O]) -> None:
        try:
            self._check_fence(pending.order)
            self._execute(pending.order, pending.due_ms)
        except StandinRefusalError as refusal:
            pending.refusal = refusal
        else:
            self.executed.append(pending.order)
            del self.executed[:-MAX_EXECUTED_ORDERS]
        pending.done = True

    def _check_fence(self, order: O) -> None:
        if self._refuses_old_fences and order.fence < self.highest_fence:
            raise StandinRefusalError(
                409,
                standin_http.Code.OLD_FENCE,
                f"fence: met {order.fence}, expected {self.highest_fence} or more",
                reason="fence",
                highest_fence=self.highest_fence,
            )
