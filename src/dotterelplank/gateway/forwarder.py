"""Handles calls: acquires slots, sends calls, passes responses on, and retries."""

import asyncio
import contextlib
import logging
import typing as t

from .. import events, results
from ..http1.server import Call, Exchange
from ..platform import headers as wire
from . import admission, inactivity, intake
from .attempts import (
    MIN_FAILURE_STATUS,
    MIN_REMAINING_MS,
    Answered,
    AttemptResult,
    MayHaveRun,
    NotRun,
    final_result,
    may_send_again,
)
from .call_context import CallContext
from .directory import Endpoint
from .metrics import EntryMetrics
from .quarantine import Quarantine
from .retry_budget import take_retry
from .sender import Sender
from .slots import SlotAllocator
from .state import EntryState, directory_age_ms

log = logging.getLogger(__name__)

OTHER_ENTRY_RETRY_MS: t.Final = 100.0
"""Retry time for a caller whose call another entry can serve."""
SERVICE_UNAVAILABLE_STATUS: t.Final = 503
MAX_FIRST_READ_WAIT_MS: t.Final = 500.0
"""How long a call that arrives while the process starts waits for a routing table."""


class Forwarder:
    """Forwards calls directly to endpoints.

    :param clock: returns the current time in milliseconds.
    :param on_load_changed: called after the number of calls in progress has changed.
    :param on_news: called when peers are to be told of suspect prompt parts, of a
        server's limit, or that a server leaves.
    """

    def __init__(
        self,
        state: EntryState,
        clock: t.Callable[[], float],
        metrics: EntryMetrics,
        on_load_changed: t.Callable[[], None],
        on_news: t.Callable[[], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self.slots = SlotAllocator(state, clock, on_load_changed)
        self.quarantine = Quarantine(state, clock, metrics, on_news)
        self.sender = Sender(
            state,
            clock,
            metrics,
            on_success=self.slots.mark_available,
            on_event=self.quarantine.record_event,
            on_endpoint_news=on_news,
        )
        self._in_flight: dict[int, CallContext] = {}
        self._active: dict[int, CallContext] = {}

    async def handle(self, call: Call, exchange: Exchange) -> None:
        """Answer one call; the task is cancelled when the caller disconnects."""
        now_ms = self._clock()
        context: CallContext | None = None
        try:
            await self._wait_for_first_read()
            decision = intake.decide(
                now_ms, call, self._state, self._state.random.random()
            )
            if isinstance(decision, intake.Refused):
                self._refuse_early(exchange, decision)
                return
            context = CallContext(
                call=call,
                exchange=exchange,
                metadata=decision.metadata,
                route=decision.route,
                service=decision.service,
                team=decision.team,
                arrived_ms=now_ms,
                deadline_ms=decision.deadline_ms,
            )
            result = await self._forward(context)
            self._record_result(context, result)
        except asyncio.CancelledError:
            if context is not None:
                self._record_result(context, results.CALLER_GONE)
        except Exception:
            log.exception("unhandled exception while handling a call")
            events.emit(log, events.REQUEST_FAILED, request=_request_id(context))
            exchange.abort()

    async def _wait_for_first_read(self) -> None:
        """Wait until it is known whether there is a routing table.

        An entry listens before it has read one, and mostly has it milliseconds later.
        """
        first_read = self._state.first_read
        if first_read.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_FIRST_READ_WAIT_MS / 1000):
                await first_read.wait()

    def _refuse_early(self, exchange: Exchange, refused: intake.Refused) -> None:
        """Refuse a call for which no endpoint has been chosen."""
        result = refused.result
        retry_after_s = None
        if result.http_status == SERVICE_UNAVAILABLE_STATUS:
            draw = self._state.random.random()
            retry_after_s = OTHER_ENTRY_RETRY_MS * (1 + draw) / 1000
        headers = wire.local_response_headers(refused.call_id, retry_after_s)
        exchange.respond(result.http_status, headers, b"")
        self._metrics.count_result(result)
        events.emit(
            log,
            events.REQUEST_ENDED,
            request=refused.call_id.decode("latin-1"),
            result=result.number,
            status=result.http_status,
            why=refused.why,
            table_version=self._state.table.version if self._state.table else None,
        )

    async def _forward(self, context: CallContext) -> results.Result:
        remaining_ms = context.deadline_ms - self._clock()
        try:
            async with asyncio.timeout(remaining_ms / 1000) as context.timeout:
                self._active[id(context)] = context
                return await self._send_until_answered(context)
        except TimeoutError:
            is_past_deadline = context.refusal is not results.STOPPING
            return self._abandon(context, is_past_deadline=is_past_deadline)
        finally:
            self._active.pop(id(context), None)

    def end_calls(self) -> None:
        """Answer the calls in progress with what is known of them."""
        now_s = asyncio.get_running_loop().time()
        for context in self._active.values():
            context.refusal = results.STOPPING
            t.cast(asyncio.Timeout, context.timeout).reschedule(now_s)

    async def _send_until_answered(self, context: CallContext) -> results.Result:
        while True:
            endpoint = await self._acquire(context)
            if endpoint is None:
                return self._abandon(context, is_past_deadline=False)
            context.endpoint = endpoint.id
            sent_ms = self._clock()
            try:
                attempt_result = await self._attempt(context, endpoint, sent_ms)
            finally:
                self.quarantine.end(context)
            now_ms = self._clock()
            if isinstance(attempt_result, Answered):
                self._state.loads.record_slot_hold(context.service, now_ms - sent_ms)
                if attempt_result.status >= MIN_FAILURE_STATUS:
                    self._state.loads.record_error_response(now_ms, endpoint.id)
                return results.DONE
            context.history.record(endpoint.id, attempt_result)
            self._record_failed_attempt(now_ms, context, endpoint, attempt_result)
            if not self._may_retry(now_ms, context):
                return self._abandon(context, is_past_deadline=False)

    async def _acquire(self, context: CallContext) -> Endpoint | None:
        """Acquire a slot, once the parts of the call's prompt allow to send it.

        :return: the endpoint of the slot, or ``None`` if the call is to be refused.
        """
        while await self.quarantine.admit(context):
            endpoint = await self.slots.acquire(context)
            if endpoint is None or self.quarantine.begin(context, endpoint):
                return endpoint
            self.slots.release(endpoint)
        return None

    async def _attempt(
        self, context: CallContext, endpoint: Endpoint, sent_ms: float
    ) -> AttemptResult:
        """Send the call in the slot acquired for it, and check for a crash."""
        try:
            attempt_result = await self._send(context, endpoint, sent_ms)
        finally:
            self.slots.release(endpoint)
        await self.quarantine.record_end(context, endpoint, attempt_result)
        return attempt_result

    async def _send(
        self, context: CallContext, endpoint: Endpoint, now_ms: float
    ) -> AttemptResult:
        """Send the call to an endpoint, until the attempt ends or times out."""
        key = id(context)
        try:
            async with asyncio.timeout(None) as timeout:
                context.attempt = inactivity.Attempt(endpoint, now_ms, timeout)
                self._in_flight[key] = context
                return await self.sender.send(context, endpoint)
        except TimeoutError:
            return MayHaveRun(
                context.exchange.has_begun, "the endpoint became unresponsive"
            )
        finally:
            del self._in_flight[key]

    def check_inactivity(self, now_ms: float) -> None:
        """Retry calls whose endpoint is unresponsive, if another can take them."""
        for context in list(self._in_flight.values()):
            attempt = t.cast(inactivity.Attempt, context.attempt)
            detected = inactivity.detect_inactivity(
                now_ms, attempt, context.route, self._state.progress
            )
            if detected is not None:
                self._handle_inactivity(now_ms, context, attempt, detected)

    def _handle_inactivity(
        self,
        now_ms: float,
        context: CallContext,
        attempt: inactivity.Attempt,
        detected: inactivity.Inactivity,
    ) -> None:
        is_moved = self._reserve_retry(now_ms, context)
        if is_moved:
            attempt.timeout.reschedule(asyncio.get_running_loop().time())
        elif not attempt.is_logged:
            self._state.loads.record_failure(now_ms, attempt.endpoint.id)
        if is_moved or not attempt.is_logged:
            events.emit(
                log,
                events.ENDPOINT_SILENT,
                request=context.metadata.id.decode("latin-1"),
                endpoint=attempt.endpoint.id,
                silent_ms=round(detected.idle_ms),
                passes=detected.passes,
                has_begun=context.exchange.has_begun,
                is_moved=is_moved,
            )
        attempt.is_logged = True

    def _reserve_retry(self, now_ms: float, context: CallContext) -> bool:
        """Take a retry from the budget for a call whose endpoint is unresponsive.

        :return: whether the call is to be sent to another endpoint.
        """
        attempt = t.cast(inactivity.Attempt, context.attempt)
        if not context.route.is_idempotent or context.is_retry_granted:
            return False
        if context.history.deliveries + 1 >= context.route.attempts:
            return False
        if context.deadline_ms - now_ms < MIN_REMAINING_MS:
            return False
        tried = frozenset({*context.history.tried, attempt.endpoint.id})
        decision = self.slots.choose(now_ms, context.service, tried)
        if not isinstance(decision, admission.Admitted):
            return False
        state = self._state
        retry_budget = state.retry_budget_of(context.service)
        context.is_retry_granted = take_retry(now_ms, retry_budget, state.retry_policy)
        return context.is_retry_granted

    def _may_retry(self, now_ms: float, context: CallContext) -> bool:
        if not may_send_again(context.history, context.route):
            return False
        if context.deadline_ms - now_ms < MIN_REMAINING_MS:
            return False
        if not context.history.deliveries:
            return True
        if context.is_retry_granted:
            context.is_retry_granted = False
            return True
        state = self._state
        retry_budget = state.retry_budget_of(context.service)
        return take_retry(now_ms, retry_budget, state.retry_policy)

    def _record_failed_attempt(
        self,
        now_ms: float,
        context: CallContext,
        endpoint: Endpoint,
        attempt_result: NotRun | MayHaveRun,
    ) -> None:
        """Update the breakers and metrics after a failed attempt, and log it."""
        loads = self._state.loads
        if (
            isinstance(attempt_result, NotRun)
            and attempt_result.is_group_wide
            and endpoint.place
        ):
            avoided_ms = loads.record_failure(
                now_ms, admission.group_breaker_key(endpoint)
            )
        elif isinstance(attempt_result, NotRun) and attempt_result.was_sent:
            loads.record_full(now_ms, endpoint.id)
            avoided_ms = loads.open_for_ms(now_ms, endpoint.id)
        elif isinstance(attempt_result, MayHaveRun) and attempt_result.is_failure:
            avoided_ms = loads.record_error_response(now_ms, endpoint.id)
        else:
            avoided_ms = loads.record_failure(now_ms, endpoint.id)
        self._metrics.count_failed_send(endpoint.service)
        events.emit(
            log,
            events.ENDPOINT_FAILED,
            request=context.metadata.id.decode("latin-1"),
            endpoint=endpoint.id,
            not_run=isinstance(attempt_result, NotRun),
            why=attempt_result.reason,
            after_ms=round(now_ms - context.arrived_ms, 1),
            avoided_ms=round(avoided_ms),
            limit_per_s=self._limit_per_s(endpoint),
            has_first_event=context.ttfb_ms is not None,
            parts=context.logged_parts,
        )

    def _limit_per_s(self, endpoint: Endpoint) -> float | None:
        limit = self._state.server_limits.limits.get(endpoint.incarnation)
        return None if limit is None else limit.per_s

    def _abandon(
        self, context: CallContext, *, is_past_deadline: bool
    ) -> results.Result:
        if context.exchange.is_complete:
            # The time ended while it was checked what the end of the answer shows.
            return results.DONE
        result = final_result(
            context.history,
            is_past_deadline=is_past_deadline,
            is_overloaded=context.is_overloaded,
        )
        is_not_run = result.outcome is results.Outcome.NOT_RUN
        if context.refusal is not None and is_not_run:
            result = context.refusal
        elif context.refusal is results.STOPPING:
            result = results.STOPPED_AFTER_START
        if context.exchange.has_begun:
            context.exchange.abort()
            return results.STREAM_CUT
        if (failed_response := context.failed_response) is not None:
            context.exchange.respond(
                failed_response.status, failed_response.headers, failed_response.body
            )
            return results.DONE
        retry_after_s = None
        if result.http_status == SERVICE_UNAVAILABLE_STATUS:
            retry_after_s = self._retry_after_s(context)
        headers = wire.local_response_headers(context.metadata.id, retry_after_s)
        context.exchange.respond(result.http_status, headers, b"")
        return result

    def _retry_after_s(self, context: CallContext) -> float:
        """Return the seconds after which the caller of a refused call should retry."""
        if context.refusal is not None and context.refusal_retry_ms is not None:
            return context.refusal_retry_ms / 1000
        return self.slots.retry_after_s(context)

    def _record_result(self, context: CallContext, result: results.Result) -> None:
        now_ms = self._clock()
        total_ms = now_ms - context.arrived_ms
        self._metrics.count_result(result)
        self._metrics.request.observe(total_ms)
        state = self._state
        events.emit(
            log,
            events.REQUEST_ENDED,
            request=context.metadata.id.decode("latin-1"),
            route=context.route.name,
            team=None if context.team is None else context.team.name,
            parts=context.logged_parts,
            own_part=context.prompt.own,
            result=result.number,
            outcome=result.name,
            endpoint=context.endpoint,
            sends=context.history.sends,
            why=context.history.reason,
            waited_ms=round(context.waited_ms, 1),
            first_ms=None if context.ttfb_ms is None else round(context.ttfb_ms, 1),
            total_ms=round(total_ms, 1),
            deadline_ms=round(context.deadline_ms - context.arrived_ms),
            places_share=round(state.concurrency_limits.min_share(), 2),
            pass_ms=round(state.concurrency_limits.longest_pass_ms(), 1),
            in_flight=sum(state.loads.own_in_flight.values()),
            in_flight_elsewhere=sum(state.loads.peers_in_flight.values()),
            table_version=state.table.version if state.table else None,
            directory_age_ms=round(directory_age_ms(now_ms, state)),
        )


def _request_id(context: CallContext | None) -> str | None:
    return None if context is None else context.metadata.id.decode("latin-1")
