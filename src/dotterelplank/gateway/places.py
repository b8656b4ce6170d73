"""The places that calls take at endpoints, and the lines in which they wait for one."""

import asyncio
import typing as t

from . import admission, queues
from .board import Board
from .directory import Endpoint
from .handling import Handling


class Places:
    """The places of one entry.

    :param clock: returns the present time in milliseconds.
    :param on_load: told that the number of calls in progress has changed.
    """

    def __init__(
        self,
        board: Board,
        clock: t.Callable[[], float],
        on_load: t.Callable[[], None],
    ) -> None:
        self._board = board
        self._clock = clock
        self._on_load = on_load
        self._numbers = 0

    async def take(self, one: Handling) -> Endpoint | None:
        """Return an endpoint whose place is counted as taken, or ``None``."""
        now_ms = self._clock()
        left_ms = one.deadline_ms - now_ms
        route = one.route
        queue = self._board.queue_of(one.service)
        ahead = queue.ahead_of(one.priority, one.arrived_ms)
        answer = self.choose(now_ms, one.service, frozenset(one.history.tried))
        one.is_crowded = not isinstance(answer, admission.Unusable)
        if not one.is_crowded:
            return None
        if isinstance(answer, admission.Admit) and not ahead:
            self._count(now_ms, answer.endpoint)
            return answer.endpoint
        first_ms = self._board.loads.first_ms.get(one.service, 0.0)
        longest_ms = admission.longest_wait_ms(route.goal_ms, left_ms, first_ms)
        usable = self._board.directory.of_service(one.service)
        wait_ms = admission.expected_wait_ms(
            one.service, usable, self._board.loads, ahead, self._board.paces
        )
        if wait_ms > longest_ms:
            return None
        return await self._wait_in(queue, one, longest_ms)

    def give_back(self, endpoint: Endpoint) -> None:
        """Give a place back, and to a call that waits if there is one."""
        loads = self._board.loads
        loads.end(endpoint.id)
        for name in admission.avoided_names(endpoint):
            loads.end_trial(name)
        self._on_load()
        self.admit_waiting()

    def trust(self, endpoint: Endpoint) -> None:
        """Send calls to an endpoint that has begun to answer one, and to its group."""
        for name in admission.avoided_names(endpoint):
            self._board.loads.succeeded(name)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Give places that became free to calls that wait."""
        for service, queue in self._board.queue_by_service.items():
            if queue.waiting:
                queues.admit(queue, lambda one, name=service: self._find(name, one))

    def choose(
        self, now_ms: float, service: str, tried: frozenset[str]
    ) -> admission.Answer:
        """Return where a call might go now; nothing is counted.

        :param tried: ids of endpoints that it isn't to be sent to again.
        """
        board = self._board
        ask = admission.Ask(service, tried, board.random.random())
        waiting = len(board.queue_of(service).waiting)
        return admission.choose(
            now_ms,
            ask,
            board.directory,
            board.loads,
            board.host.domain,
            waiting,
            board.paces,
        )

    def retry_after_s(self, one: Handling) -> float:
        """Return when the caller of a refused call is to come back."""
        now_ms = self._clock()
        board = self._board
        left_ms = one.deadline_ms - now_ms
        answer = self.choose(now_ms, one.service, frozenset())
        draw = board.random.random()
        if isinstance(answer, admission.Unusable):
            return admission.return_after_outage_ms(left_ms, draw) / 1000
        usable = board.directory.of_service(one.service)
        ahead = len(board.queue_of(one.service).waiting)
        wait_ms = admission.expected_wait_ms(
            one.service, usable, board.loads, ahead, board.paces
        )
        return admission.retry_after_ms(wait_ms, left_ms, draw) / 1000

    async def _wait_in(
        self, queue: queues.Queue, one: Handling, longest_ms: float
    ) -> Endpoint | None:
        began_ms = self._clock()
        admitted = asyncio.get_running_loop().create_future()
        self._numbers += 1
        waiting = queues.Waiting(
            one.priority,
            one.arrived_ms,
            self._numbers,
            frozenset(one.history.tried),
            admitted.set_result,
        )
        queue.join(waiting)
        try:
            async with asyncio.timeout(longest_ms / 1000):
                return await asyncio.shield(admitted)
        except TimeoutError:
            return admitted.result() if admitted.done() else None
        except asyncio.CancelledError:
            if admitted.done():
                self.give_back(admitted.result())
            raise
        finally:
            queue.leave(waiting)
            one.waited_ms += self._clock() - began_ms

    def _find(self, service: str, waiting: queues.Waiting) -> Endpoint | None:
        now_ms = self._clock()
        answer = self.choose(now_ms, service, waiting.tried)
        if not isinstance(answer, admission.Admit):
            return None
        self._count(now_ms, answer.endpoint)
        return answer.endpoint

    def _count(self, now_ms: float, endpoint: Endpoint) -> None:
        loads = self._board.loads
        loads.begin(endpoint.id)
        for name in admission.avoided_names(endpoint):
            loads.try_again(now_ms, name)
        self._on_load()
