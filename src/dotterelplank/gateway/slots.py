"""Allocates the slots of endpoints to calls, and queues the calls that must wait."""

import asyncio
import typing as t

from . import admission, queues
from .call_context import CallContext
from .directory import Endpoint
from .state import EntryState

MAX_OPENING_WAIT_RATIO: t.Final = 0.5
"""The part of its remaining time that a call may wait for a group to open."""


class SlotAllocator:
    """Allocates slots to the calls of one entry.

    :param clock: returns the current time in milliseconds.
    :param on_load_changed: called after the number of calls in progress has changed.
    """

    def __init__(
        self,
        state: EntryState,
        clock: t.Callable[[], float],
        on_load_changed: t.Callable[[], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._on_load_changed = on_load_changed
        self._last_number = 0

    async def acquire(self, context: CallContext) -> Endpoint | None:
        """Acquire a slot, after waiting in the queue if need be.

        :return: the endpoint of the slot, or ``None`` if the call is to be refused;
            ``context.is_overloaded`` then says whether endpoints exist that could take
            the call, but without a slot that is free in time.
        """
        now_ms = self._clock()
        queue = self._state.queue_of(context.service)
        calls_ahead = queue.count_ahead(context.priority, context.arrived_ms)
        decision = self.choose(
            now_ms, context.service, frozenset(context.history.tried)
        )
        context.is_overloaded = not isinstance(decision, admission.NoUsableEndpoint)
        if isinstance(decision, admission.Admitted) and not calls_ahead:
            self._mark_acquired(now_ms, decision.endpoint)
            return decision.endpoint
        max_wait_ms = self._max_opening_wait_ms(now_ms, context)
        if not max_wait_ms and context.is_overloaded:
            max_wait_ms = self._max_slot_wait_ms(now_ms, context, calls_ahead)
        if not max_wait_ms:
            return None
        return await self._wait_in_queue(queue, context, max_wait_ms)

    def release(self, endpoint: Endpoint) -> None:
        """Release a slot, and admit waiting calls to the slots that are free."""
        loads = self._state.loads
        loads.end(endpoint.id)
        for key in admission.breaker_keys(endpoint):
            loads.end_probe(key)
        self._on_load_changed()
        self.admit_waiting()

    def mark_available(self, endpoint: Endpoint) -> None:
        """Close the breakers of an endpoint that answered a call, and of its group."""
        for key in admission.breaker_keys(endpoint):
            self._state.loads.record_success(key)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit waiting calls to the slots that are free."""
        for service, queue in self._state.queue_by_service.items():
            if queue.waiting:
                queues.admit(
                    queue,
                    lambda queued_call, name=service: self._acquire_for(
                        name, queued_call
                    ),
                )

    def choose(
        self, now_ms: float, service: str, tried: frozenset[str]
    ) -> admission.Decision:
        """Return the decision on a call as of now, without acquiring a slot.

        :param tried: ids of endpoints that the call must not be sent to again.
        """
        state = self._state
        slot_request = admission.SlotRequest(service, tried, state.random.random())
        waiting = len(state.queue_of(service).waiting)
        return admission.choose(
            now_ms,
            slot_request,
            state.directory,
            state.loads,
            state.host.domain,
            waiting,
            state.concurrency_limits,
            state.openings_due_ms(now_ms, service),
            state.limit_waits_ms(now_ms, service),
            state.pauses_ms(now_ms, service),
        )

    def retry_after_s(self, context: CallContext) -> float:
        """Return the seconds after which the caller of a refused call should retry."""
        now_ms = self._clock()
        state = self._state
        remaining_ms = context.deadline_ms - now_ms
        decision = self.choose(now_ms, context.service, frozenset())
        draw = state.random.random()
        if isinstance(decision, admission.NoUsableEndpoint):
            if decision.pause_ms is not None:
                return admission.pause_retry_after_ms(decision.pause_ms, draw) / 1000
            return admission.outage_retry_after_ms(remaining_ms, draw) / 1000
        usable = state.directory.of_service(context.service)
        calls_ahead = len(state.queue_of(context.service).waiting)
        wait_ms = admission.expected_wait_ms(
            context.service,
            usable,
            state.loads,
            calls_ahead,
            state.concurrency_limits,
            state.limit_waits_ms(now_ms, context.service),
        )
        return admission.retry_after_ms(wait_ms, remaining_ms, draw) / 1000

    def _max_opening_wait_ms(self, now_ms: float, context: CallContext) -> float:
        """Return how long a call may wait for a group that is about to open.

        :return: the time; 0 if no group opens in time for the call.
        """
        due_ms = self._state.openings_due_ms(now_ms, context.service)
        wait_ms = max(due_ms.values(), default=now_ms) - now_ms
        remaining_ms = context.deadline_ms - now_ms
        return wait_ms if wait_ms <= remaining_ms * MAX_OPENING_WAIT_RATIO else 0.0

    def _max_slot_wait_ms(
        self, now_ms: float, context: CallContext, calls_ahead: int
    ) -> float:
        """Return how long a call may wait for a slot that becomes free.

        :return: the time; 0 if none is expected to become free in time for the call.
        """
        state = self._state
        service = context.service
        remaining_ms = context.deadline_ms - now_ms
        ttfb_ms = state.loads.ttfb_ms.get(service, 0.0)
        max_wait_ms = admission.max_wait_ms(
            context.route.goal_ms, remaining_ms, ttfb_ms
        )
        wait_ms = admission.expected_wait_ms(
            service,
            state.directory.of_service(service),
            state.loads,
            calls_ahead,
            state.concurrency_limits,
            state.limit_waits_ms(now_ms, service),
        )
        return max_wait_ms if wait_ms <= max_wait_ms else 0.0

    async def _wait_in_queue(
        self, queue: queues.Queue, context: CallContext, max_wait_ms: float
    ) -> Endpoint | None:
        queued_since_ms = self._clock()
        admitted = asyncio.get_running_loop().create_future()
        self._last_number += 1
        queued_call = queues.QueuedCall(
            context.priority,
            context.arrived_ms,
            self._last_number,
            frozenset(context.history.tried),
            admitted.set_result,
        )
        queue.add(queued_call)
        try:
            async with asyncio.timeout(max_wait_ms / 1000):
                return await asyncio.shield(admitted)
        except TimeoutError:
            return admitted.result() if admitted.done() else None
        except asyncio.CancelledError:
            if admitted.done():
                self.release(admitted.result())
            raise
        finally:
            queue.remove(queued_call)
            context.waited_ms += self._clock() - queued_since_ms

    def _acquire_for(
        self, service: str, queued_call: queues.QueuedCall
    ) -> Endpoint | None:
        now_ms = self._clock()
        decision = self.choose(now_ms, service, queued_call.tried)
        if not isinstance(decision, admission.Admitted):
            return None
        self._mark_acquired(now_ms, decision.endpoint)
        return decision.endpoint

    def _mark_acquired(self, now_ms: float, endpoint: Endpoint) -> None:
        loads = self._state.loads
        loads.begin(endpoint.id)
        self._state.limit_shares.record_send(now_ms, endpoint.incarnation)
        for key in admission.breaker_keys(endpoint):
            loads.begin_probe(now_ms, key)
        self._on_load_changed()
