"""Sends calls to endpoints and passes the responses on to the callers."""

import logging
import typing as t

from .. import events
from ..errors import UpstreamError
from ..http1.bodies import is_fragmented, read_body
from ..http1.client import EndpointConnection, Pool, ResponseHead, connect
from ..http1.messages import end_to_end, is_event_stream
from ..http1.responses import Request
from ..platform import headers as wire
from .attempts import (
    MIN_FAILURE_STATUS,
    MIN_REMAINING_MS,
    Answered,
    AttemptResult,
    MayHaveRun,
    NotRun,
)
from .call_context import CallContext, FailedResponse
from .concurrency import used_share
from .directory import Endpoint
from .inactivity import Attempt
from .metrics import EntryMetrics
from .retry_budget import count_first_send
from .state import EntryState
from .streams import EventCursor
from .tables import RouteKind

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS: t.Final = 300.0
MAX_RESPONSE_BYTES: t.Final = 1024 * 1024
"""Largest body of a response that is buffered in full, as all but streams are."""
MAX_REUSE_IDLE_MS: t.Final = 8_000.0
"""Idle time up to which a connection is used for another call."""
MAX_REUSE_IDLE_RUN_ONCE_MS: t.Final = 1_000.0
"""Idle time up to which a connection is used for a call that may run only once."""
BACKPRESSURE_MS: t.Final = 10.0
"""If passing an event on takes longer, the gap to the next event isn't recorded.

A caller that reads so slowly delays the next event, so the gap doesn't show a pass.
"""
MAX_STRAY_RESPONSES: t.Final = 4
"""Most responses to other calls that are skipped before an attempt fails."""
MAX_REFUSED_IDS: t.Final = 64
"""Most refused calls of one connection that are remembered until it is closed."""
MAX_EVENT_BYTES: t.Final = 256 * 1024
"""Largest event of a stream, with the comments before it."""
_UNAVAILABLE_STATUS: t.Final = 503


class Sender:
    """Sends calls over connections that are kept open between calls.

    :param clock: returns the current time in milliseconds.
    :param on_success: called with each endpoint that begins a successful response.
    :param on_endpoint_news: called when an endpoint has named another limit, or has
        said that it leaves.
    :param on_event: called with a call for each event of its answer.
    """

    def __init__(
        self,
        state: EntryState,
        clock: t.Callable[[], float],
        metrics: EntryMetrics,
        on_success: t.Callable[[Endpoint], None],
        on_event: t.Callable[[CallContext], None],
        on_endpoint_news: t.Callable[[], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self._on_success = on_success
        self._on_event = on_event
        self._on_endpoint_news = on_endpoint_news
        self._pools: dict[tuple[str, int], Pool] = {}

    def close(self) -> None:
        """Close the idle connections to endpoints."""
        for pool in self._pools.values():
            pool.close()

    def keep_only(self, present: t.Collection[tuple[str, int]]) -> None:
        """Close the idle connections to endpoints that aren't listed any more."""
        for key in list(self._pools):
            if key not in present:
                self._pools.pop(key).close()

    async def send(self, context: CallContext, endpoint: Endpoint) -> AttemptResult:
        """Send the call to ``endpoint`` and pass the response on to the caller.

        :return: the result of the attempt.
        """
        pool = self._pool(endpoint)
        is_run_once = not context.route.is_idempotent
        max_idle_ms = MAX_REUSE_IDLE_RUN_ONCE_MS if is_run_once else MAX_REUSE_IDLE_MS
        connection = pool.acquire(self._clock(), max_idle_ms)
        if connection is not None and context.metadata.id in connection.refused_ids:
            # The refusal of before couldn't be told from the one of this attempt.
            connection.close()
            connection = None
        try:
            if connection is None:
                self._metrics.count_connection(endpoint.service)
                connection = await connect(
                    endpoint.ip, endpoint.port, CONNECT_TIMEOUT_MS / 1000
                )
            connection.send(self._request(context, endpoint))
            context.history.is_in_progress = True
        except UpstreamError as error:
            return NotRun(False, str(error))
        if not context.history.deliveries:
            retry_budget = self._state.retry_budget_of(context.service)
            count_first_send(self._clock(), retry_budget, self._state.retry_policy)
        try:
            attempt_result = await self._relay(context, endpoint, connection)
        except UpstreamError as error:
            attempt_result = MayHaveRun(context.exchange.has_begun, str(error))
        except BaseException:
            connection.close()
            raise
        is_in_doubt = isinstance(attempt_result, MayHaveRun)
        if is_in_doubt and not attempt_result.is_failure:
            connection.close()
        elif len(connection.refused_ids) > MAX_REFUSED_IDS:
            connection.close()
        else:
            pool.release(self._clock(), connection)
        return attempt_result

    def _request(self, context: CallContext, endpoint: Endpoint) -> Request:
        resume_after = context.cursor.last_id
        if resume_after is None:
            resume_after = context.metadata.resume_after
        headers = wire.forwarded_headers(
            end_to_end(context.call.headers),
            remaining_ms=context.deadline_ms - self._clock(),
            endpoint_id=endpoint.id,
            team=None if context.team is None else context.team.name,
            resume_after=resume_after,
        )
        return Request(
            context.call.method, context.call.target, headers, context.call.body
        )

    async def _relay(
        self, context: CallContext, endpoint: Endpoint, connection: EndpointConnection
    ) -> AttemptResult:
        head, metadata = await self._matching_response(context, endpoint, connection)
        if context.route.kind is not RouteKind.STREAMING:
            # Of a stream, only events count as activity: its head may be sent long
            # before the first event.
            self._record_activity(context)
        if metadata.not_run and head.status >= 400:
            connection.refused_ids.add(context.metadata.id)
            # The head proves that the call has not run. If the body is too long to be
            # skipped, the connection is closed.
            await connection.skip_body()
            # A rank that can't run calls because of another rank names that one.
            is_group_wide = (
                metadata.faulty_endpoint is not None
                and head.status == _UNAVAILABLE_STATUS
            )
            why = f"refused with {head.status}, at {metadata.faulty_endpoint}"
            return NotRun(True, why, is_group_wide)
        is_success = 200 <= head.status < 300
        if is_success and not metadata.has_proof:
            return MayHaveRun(
                context.exchange.has_begun,
                "success without a server signature",
            )
        if is_success:
            t.cast(Attempt, context.attempt).head_ms = self._clock()
            self._on_success(endpoint)
        is_stream = context.route.kind is RouteKind.STREAMING
        if is_stream and is_success and is_event_stream(head.headers):
            return await self._relay_stream(context, endpoint, head, connection)
        return await self._relay_buffered(
            context, endpoint, head, connection, metadata.has_proof
        )

    def _record_limit(self, endpoint: Endpoint, metadata: wire.ResponseHeaders) -> None:
        """Record the limit that an answer of an endpoint names.

        Only an answer with a signature shows that there is none any more: others may
        come from another server at this address.
        """
        per_s = metadata.limit_per_s
        if per_s is None and not metadata.has_proof:
            return
        limits, name = self._state.server_limits, endpoint.incarnation
        if limits.record_answer(self._clock(), name, per_s):
            self._on_endpoint_news()
            events.emit(
                log,
                events.ENDPOINT_LIMIT_CHANGED,
                endpoint=endpoint.id,
                per_s=limits.limits[name].per_s,
            )

    def _record_notices(
        self, endpoint: Endpoint, metadata: wire.ResponseHeaders
    ) -> None:
        """Record that an endpoint leaves, or that it wants a pause."""
        name = endpoint.incarnation
        if metadata.is_leaving and self._state.directory.note_leaving(name):
            self._on_endpoint_news()
            events.emit(log, events.ENDPOINT_LEAVING, endpoint=endpoint.id)
        pause_ms = metadata.pause_ms
        if pause_ms is not None:
            if self._state.pauses.record(self._clock(), name, pause_ms):
                events.emit(
                    log,
                    events.ENDPOINT_PAUSED,
                    endpoint=endpoint.id,
                    pause_ms=round(pause_ms),
                )

    async def _matching_response(
        self,
        context: CallContext,
        endpoint: Endpoint,
        connection: EndpointConnection,
    ) -> tuple[ResponseHead, wire.ResponseHeaders]:
        """Return the head of the call's response, skipping responses to other calls."""
        for _ in range(MAX_STRAY_RESPONSES + 1):
            head = await connection.head()
            metadata = wire.read_response(head.status, head.headers)
            if metadata.id is None and connection.requests_sent > 1:
                # It may belong to an earlier call on this connection.
                raise UpstreamError(f"status {head.status} without an id", sent=True)
            if metadata.id is None or metadata.id == context.metadata.id:
                self._record_limit(endpoint, metadata)
                self._record_notices(endpoint, metadata)
                return head, metadata
            self._metrics.count_stray_response()
            await connection.skip_response()
        raise UpstreamError("too many responses to other calls", sent=True)

    async def _relay_buffered(
        self,
        context: CallContext,
        endpoint: Endpoint,
        head: ResponseHead,
        connection: EndpointConnection,
        has_proof: bool,
    ) -> AttemptResult:
        budget = self._pool(endpoint).budget
        body = await read_body(connection, MAX_RESPONSE_BYTES, budget)
        is_failure = head.status >= MIN_FAILURE_STATUS
        if context.exchange.has_begun:
            return MayHaveRun(
                True, f"can't resume the stream: got status {head.status}", is_failure
            )
        if not has_proof and (not is_failure or head.status in wire.NOT_RUN_STATUSES):
            return MayHaveRun(False, f"{head.status} without a server signature")
        headers = end_to_end(head.headers)
        if is_failure and context.route.is_idempotent and self._may_retry(context):
            if has_proof:
                context.failed_response = FailedResponse(head.status, headers, body)
            return MayHaveRun(False, f"failed with {head.status}", is_failure=True)
        context.ttfb_ms = self._clock() - context.arrived_ms
        context.exchange.respond(head.status, headers, body)
        return Answered(head.status, connection.has_marked_end)

    def _may_retry(self, context: CallContext) -> bool:
        remaining_ms = context.deadline_ms - self._clock()
        sends_after = context.history.deliveries + 1
        return remaining_ms > MIN_REMAINING_MS and sends_after < context.route.attempts

    async def _wait_for_caller(self, context: CallContext) -> None:
        """Wait until the caller has read most of what was sent to it."""
        attempt = t.cast(Attempt, context.attempt)
        attempt.is_backpressured = True
        await context.exchange.drain()
        attempt.is_backpressured = False
        self._record_activity(context)

    def _record_activity(self, context: CallContext) -> float:
        """Record that data was received from the endpoint; return the current time."""
        now_ms = self._clock()
        t.cast(Attempt, context.attempt).last_seen_ms = now_ms
        return now_ms

    async def _relay_stream(
        self,
        context: CallContext,
        endpoint: Endpoint,
        head: ResponseHead,
        connection: EndpointConnection,
    ) -> AttemptResult:
        exchange = context.exchange
        context.cursor.resume(context.metadata.resume_after)
        event_ms: float | None = None
        if not exchange.has_begun:
            exchange.begin(head.status, end_to_end(head.headers), None)
        while (part := await connection.body_part()) is not None:
            complete = context.cursor.feed(part)
            if _is_event_too_large(context.cursor):
                return MayHaveRun(True, "an event exceeds the size limit")
            if not complete:
                continue
            now_ms = self._clock()
            if context.cursor.is_at_event:
                self._record_event(now_ms, context, endpoint, event_ms)
            exchange.send(complete)
            await self._wait_for_caller(context)
            is_backpressured = self._clock() - now_ms > BACKPRESSURE_MS
            event_ms = None if is_backpressured else now_ms
        if context.cursor.partial:
            return MayHaveRun(True, "the stream ended inside an event")
        if not connection.has_marked_end and not _has_event(context):
            return MayHaveRun(True, "the stream ended before its first event")
        exchange.finish()
        return Answered(head.status, connection.has_marked_end)

    def _record_event(
        self,
        now_ms: float,
        context: CallContext,
        endpoint: Endpoint,
        last_event_ms: float | None,
    ) -> None:
        """Record that an event of a stream has arrived.

        :param last_event_ms: time of the event before; None: there is none, or the
            caller has delayed this one.
        """
        self._state.progress.record_event(self._record_activity(context), endpoint)
        self._on_event(context)
        if context.ttfb_ms is None:
            context.ttfb_ms = now_ms - context.arrived_ms
            self._metrics.first_event.observe(context.ttfb_ms)
            sent_ms = t.cast(Attempt, context.attempt).sent_ms
            self._state.loads.record_ttfb(context.service, now_ms - sent_ms)
        elif last_event_ms is not None:
            gap_ms = now_ms - last_event_ms
            self._record_event_gap(now_ms, context, endpoint, gap_ms)

    def _record_event_gap(
        self, now_ms: float, context: CallContext, endpoint: Endpoint, gap_ms: float
    ) -> None:
        """Record the gap between two events of a stream for the concurrency limit."""
        state, group = self._state, endpoint.group
        if group is None:
            return
        target_ms = context.route.gap_target_ms

        def group_used_share() -> float:
            ranks = state.directory.of_group(group)
            return used_share(ranks, state.loads)

        state.concurrency_limits.record_event_gap(
            now_ms, group, gap_ms, target_ms, group_used_share
        )

    def _pool(self, endpoint: Endpoint) -> Pool:
        key = (endpoint.id, endpoint.started_ms)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = Pool(endpoint.ip, endpoint.port)
        return pool


def _has_event(context: CallContext) -> bool:
    """Return whether the caller has got any event, here or in an earlier call."""
    return context.ttfb_ms is not None or context.metadata.resume_after is not None


def _is_event_too_large(cursor: EventCursor) -> bool:
    """Return whether an event without an end shows that a stream is no answer."""
    size_bytes, parts = cursor.unfinished_bytes, cursor.unfinished_parts
    return size_bytes > MAX_EVENT_BYTES or is_fragmented(parts, size_bytes)
