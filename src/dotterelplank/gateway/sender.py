"""The sending of a call to one endpoint, and the passing on of its answer."""

import typing as t

from ..errors import UpstreamError
from ..http1.client import EndpointConnection, Head, Pool, Request, connect
from ..http1.messages import end_to_end
from ..platform import headers as wire
from .attempts import (
    LEAST_FAILURE_STATUS,
    LEAST_LEFT_MS,
    Answered,
    Ending,
    Lost,
    NotRun,
)
from .board import Board
from .budget import count_first
from .directory import Endpoint
from .handling import Failure, Handling
from .metrics import EntryMetrics
from .pacing import taken_share
from .silence import Sent
from .tables import Kind

CONNECT_TIMEOUT_MS: t.Final = 300.0
ANSWER_BOUND_BYTES: t.Final = 1024 * 1024
"""Answers up to this size are held until they are whole."""
REUSE_IDLE_MS: t.Final = 8_000.0
REUSE_IDLE_ONCE_MS: t.Final = 1_000.0
"""How long a connection may have been idle before a call that may run only once."""
HELD_UP_MS: t.Final = 10.0
"""A caller that takes longer to read an event holds up the next one."""
STRAY_ANSWERS: t.Final = 4
"""Answers to other calls that are read past before a connection is given up."""
EVENT_BOUND_BYTES: t.Final = 256 * 1024
"""Longest event of a stream."""
_UNAVAILABLE: t.Final = 503


class Sender:
    """Sends calls over kept connections.

    :param clock: returns the present time in milliseconds.
    :param on_success: told of an endpoint that begins to answer a call with success.
    """

    def __init__(
        self,
        board: Board,
        clock: t.Callable[[], float],
        metrics: EntryMetrics,
        on_success: t.Callable[[Endpoint], None],
    ) -> None:
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._on_success = on_success
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

    async def send(self, one: Handling, endpoint: Endpoint) -> Ending:
        """Send the call to ``endpoint`` and pass its answer on."""
        pool = self._pool(endpoint)
        is_once = not one.route.is_idempotent
        idle_ms = REUSE_IDLE_ONCE_MS if is_once else REUSE_IDLE_MS
        connection = pool.take(self._clock(), idle_ms)
        try:
            if connection is None:
                self._metrics.count_connection(endpoint.service)
                connection = await connect(
                    endpoint.ip, endpoint.port, CONNECT_TIMEOUT_MS / 1000
                )
            connection.send(self._request(one, endpoint))
            one.history.is_open = True
        except UpstreamError as error:
            return NotRun(False, str(error))
        if not one.history.arrivals:
            budget = self._board.budget_of(one.service)
            count_first(self._clock(), budget, self._board.policy)
        try:
            ending = await self._relay(one, endpoint, connection)
        except UpstreamError as error:
            ending = Lost(one.exchange.has_begun, str(error))
        except BaseException:
            connection.close()
            raise
        if isinstance(ending, Lost) and not ending.is_failure:
            connection.close()
        else:
            pool.give_back(self._clock(), connection)
        return ending

    def _request(self, one: Handling, endpoint: Endpoint) -> Request:
        resume_after = one.cursor.last_id
        if resume_after is None:
            resume_after = one.said.resume_after
        headers = wire.forwarded(
            end_to_end(one.call.headers),
            left_ms=one.deadline_ms - self._clock(),
            endpoint_id=endpoint.id,
            team=None if one.team is None else one.team.name,
            resume_after=resume_after,
        )
        return Request(one.call.method, one.call.target, headers, one.call.body)

    async def _relay(
        self, one: Handling, endpoint: Endpoint, connection: EndpointConnection
    ) -> Ending:
        head, said = await self._own_answer(one, connection)
        if one.route.kind is not Kind.STREAMING:
            # The head of a stream may come long before its first event.
            self._note_heard(one)
        if said.not_run and head.status >= 400:
            # Where its body has no end the connection is closed; the head proves it.
            await connection.skip_body()
            # A rank that can't go on for want of another names that one.
            is_group = said.at_fault is not None and head.status == _UNAVAILABLE
            why = f"refused with {head.status}, at {said.at_fault}"
            return NotRun(True, why, is_group)
        is_success = 200 <= head.status < 300
        if is_success and not said.has_proof:
            return Lost(one.exchange.has_begun, "a success without proof")
        if is_success:
            self._on_success(endpoint)
        if one.route.kind is Kind.STREAMING and is_success:
            return await self._relay_stream(one, endpoint, head, connection)
        return await self._relay_whole(one, head, connection, said.has_proof)

    async def _own_answer(
        self, one: Handling, connection: EndpointConnection
    ) -> tuple[Head, wire.AnswerHeaders]:
        """Return the head of the answer to the call, past those to other calls."""
        for _ in range(STRAY_ANSWERS + 1):
            head = await connection.head()
            said = wire.read_answer(head.status, head.headers)
            if said.id is None or said.id == one.said.id:
                return head, said
            self._metrics.count_stray()
            await connection.skip_answer()
        raise UpstreamError("answers to other calls without an end", sent=True)

    async def _relay_whole(
        self,
        one: Handling,
        head: Head,
        connection: EndpointConnection,
        has_proof: bool,
    ) -> Ending:
        parts = bytearray()
        while (part := await connection.body_part()) is not None:
            parts += part
            if len(parts) > ANSWER_BOUND_BYTES:
                return Lost(False, "the answer is over the bound")
        is_failure = head.status >= LEAST_FAILURE_STATUS
        if one.exchange.has_begun:
            return Lost(True, f"can't go on after {head.status}", is_failure)
        if not has_proof and (not is_failure or head.status in wire.MEAN_NOT_RUN):
            return Lost(False, f"{head.status} without proof")
        headers = end_to_end(head.headers)
        if is_failure and one.route.is_idempotent and self._is_worth_repeating(one):
            if has_proof:
                one.failure = Failure(head.status, headers, bytes(parts))
            return Lost(False, f"failed with {head.status}", is_failure=True)
        one.first_ms = self._clock() - one.arrived_ms
        one.exchange.answer(head.status, headers, bytes(parts))
        return Answered(head.status)

    def _is_worth_repeating(self, one: Handling) -> bool:
        left_ms = one.deadline_ms - self._clock()
        sends_after = one.history.arrivals + 1
        return left_ms > LEAST_LEFT_MS and sends_after < one.route.attempts

    async def _drain(self, one: Handling) -> None:
        """Wait until the caller has read enough."""
        sent = t.cast(Sent, one.sent)
        sent.is_held_up = True
        await one.exchange.drain()
        sent.is_held_up = False
        self._note_heard(one)

    def _note_heard(self, one: Handling) -> float:
        """Note that the endpoint isn't silent; return the present time."""
        now_ms = self._clock()
        t.cast(Sent, one.sent).heard_ms = now_ms
        return now_ms

    async def _relay_stream(
        self,
        one: Handling,
        endpoint: Endpoint,
        head: Head,
        connection: EndpointConnection,
    ) -> Ending:
        exchange = one.exchange
        one.cursor.rest = b""
        event_ms: float | None = None
        if not exchange.has_begun:
            exchange.begin(head.status, end_to_end(head.headers), None)
        while (part := await connection.body_part()) is not None:
            whole = one.cursor.feed(part)
            if len(one.cursor.rest) > EVENT_BOUND_BYTES:
                return Lost(True, "an event over the bound")
            if not whole:
                continue
            self._board.progress.hear(self._note_heard(one), endpoint)
            now_ms = self._clock()
            if one.first_ms is None:
                one.first_ms = now_ms - one.arrived_ms
                self._metrics.first_event.observe(one.first_ms)
                sent_ms = t.cast(Sent, one.sent).sent_ms
                self._board.loads.began(one.service, now_ms - sent_ms)
            elif event_ms is not None:
                self._hear_gap(now_ms, one, endpoint, now_ms - event_ms)
            exchange.send(whole)
            await self._drain(one)
            is_held_up = self._clock() - now_ms > HELD_UP_MS
            event_ms = None if is_held_up else now_ms
        if one.cursor.rest:
            return Lost(True, "the stream ended inside an event")
        exchange.finish()
        return Answered(head.status)

    def _hear_gap(
        self, now_ms: float, one: Handling, endpoint: Endpoint, gap_ms: float
    ) -> None:
        """Take in the time between two events of a stream, which tells of a pass."""
        if endpoint.place is None:
            return
        board, group = self._board, endpoint.place.group
        target_ms = one.route.gap_target_ms

        def taken() -> float:
            ranks = board.directory.of_group(endpoint.service, group)
            return taken_share(ranks, board.loads)

        board.paces.hear(now_ms, group, gap_ms, target_ms, taken)

    def _pool(self, endpoint: Endpoint) -> Pool:
        key = (endpoint.id, endpoint.started_ms)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = Pool(endpoint.ip, endpoint.port)
        return pool
