"""The handling of one call: a place, the send, the answer, and another endpoint if it
may go there.
"""

import asyncio
import logging
import typing as t

from .. import events, results
from ..errors import RequestError
from ..http1.messages import header
from ..http1.server import Call, Exchange
from ..platform import headers as wire
from . import admission, silence
from .attempts import (
    LEAST_FAILURE_STATUS,
    LEAST_LEFT_MS,
    Answered,
    Ending,
    Lost,
    NotRun,
    final_result,
    may_send_again,
)
from .board import Board, directory_age_ms
from .budget import take_repeat
from .directory import Endpoint
from .handling import Handling
from .metrics import EntryMetrics
from .places import Places
from .sender import Sender
from .tables import pick_target

log = logging.getLogger(__name__)

ELSEWHERE_MS: t.Final = 100.0
"""When a caller is to come back that another entry can serve."""


class Forwarder:
    """Forwards calls straight to endpoints.

    :param clock: returns the present time in milliseconds.
    :param on_load: told that the number of calls in progress has changed.
    """

    def __init__(
        self,
        board: Board,
        clock: t.Callable[[], float],
        metrics: EntryMetrics,
        on_load: t.Callable[[], None],
    ) -> None:
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self.places = Places(board, clock, on_load)
        self.sender = Sender(board, clock, metrics, self.places.trust)
        self._on_their_way: dict[int, Handling] = {}

    async def handle(self, call: Call, exchange: Exchange) -> None:
        """Answer one call; the caller's leaving cancels it."""
        now_ms = self._clock()
        handling: Handling | None = None
        try:
            handling = self._admit_call(now_ms, call, exchange)
            if handling is None:
                return
            result = await self._forward(handling)
            self._note(handling, result)
        except asyncio.CancelledError:
            if handling is not None:
                self._note(handling, results.CALLER_GONE)
        except Exception:
            log.exception("a fault ended the handling of a call")
            events.emit(log, events.REQUEST_FAILED, request=_id_of(handling))
            exchange.abort()

    def _admit_call(
        self, now_ms: float, call: Call, exchange: Exchange
    ) -> Handling | None:
        """Return the call with its route, or answer it and return ``None``."""
        try:
            said = wire.read_call(call.headers)
        except RequestError as error:
            self._refuse_early(exchange, b"", results.MALFORMED_REQUEST, str(error))
            return None
        table = self._board.table
        if table is None or self._board.is_closed:
            result = results.NO_CONFIGURATION if table is None else results.STOPPING
            self._refuse_early(exchange, said.id, result, "")
            return None
        host = (header(call.headers, b"host") or b"").decode("latin-1")
        path = call.target.partition(b"?")[0].decode("latin-1")
        route = table.match(host.partition(":")[0], path)
        if route is None:
            self._refuse_early(exchange, said.id, results.NO_ROUTE, path[:80])
            return None
        team = table.team(said.key)
        if team is None and table.needs_key and not route.is_public:
            self._refuse_early(exchange, said.id, results.UNKNOWN_KEY, route.name)
            return None
        waits_ms = route.timeout_ms
        if said.deadline_ms is not None:
            waits_ms = min(waits_ms, said.deadline_ms)
        return Handling(
            call=call,
            exchange=exchange,
            said=said,
            route=route,
            service=pick_target(route, self._board.random.random()),
            team=team,
            arrived_ms=now_ms,
            deadline_ms=now_ms + waits_ms,
        )

    def _refuse_early(
        self, exchange: Exchange, call_id: bytes, result: results.Result, why: str
    ) -> None:
        retry_after_s = None
        if result.outcome is results.Outcome.NOT_RUN and result.http_status == 503:
            draw = self._board.random.random()
            retry_after_s = ELSEWHERE_MS * (1 + draw) / 1000
        headers = wire.own_answer(call_id, retry_after_s)
        exchange.answer(result.http_status, headers, b"")
        self._metrics.count_result(result)
        events.emit(
            log,
            events.REQUEST_ENDED,
            request=call_id.decode("latin-1"),
            result=result.number,
            status=result.http_status,
            why=why,
            table_version=self._board.table.version if self._board.table else None,
        )

    async def _forward(self, one: Handling) -> results.Result:
        try:
            async with asyncio.timeout((one.deadline_ms - self._clock()) / 1000):
                return await self._send_until_answered(one)
        except TimeoutError:
            return self._give_up(one, is_over=True)

    async def _send_until_answered(self, one: Handling) -> results.Result:
        while True:
            endpoint = await self.places.take(one)
            if endpoint is None:
                return self._give_up(one, is_over=False)
            one.endpoint = endpoint.id
            begun_ms = self._clock()
            try:
                ending = await self._send(one, endpoint, begun_ms)
            finally:
                self.places.give_back(endpoint)
            now_ms = self._clock()
            if isinstance(ending, Answered):
                self._board.loads.held(one.service, now_ms - begun_ms)
                if ending.status >= LEAST_FAILURE_STATUS:
                    self._board.loads.stumbled(now_ms, endpoint.id)
                return results.DONE
            one.history.note(endpoint.id, ending)
            self._judge(now_ms, one, endpoint, ending)
            if not self._may_repeat(now_ms, one):
                return self._give_up(one, is_over=False)

    async def _send(self, one: Handling, endpoint: Endpoint, now_ms: float) -> Ending:
        """Send the call, until it is answered or taken away from the endpoint."""
        key = id(one)
        try:
            async with asyncio.timeout(None) as patience:
                one.sent = silence.Sent(endpoint, now_ms, patience)
                self._on_their_way[key] = one
                return await self.sender.send(one, endpoint)
        except TimeoutError:
            return Lost(one.exchange.has_begun, "the endpoint fell silent")
        finally:
            del self._on_their_way[key]

    def watch(self, now_ms: float) -> None:
        """Take calls away from endpoints that have fallen silent."""
        for one in list(self._on_their_way.values()):
            sent = t.cast(silence.Sent, one.sent)
            found = silence.find_silence(now_ms, sent, one.route, self._board.progress)
            if found is not None:
                self._act_on(now_ms, one, sent, found)

    def _act_on(
        self, now_ms: float, one: Handling, sent: silence.Sent, found: silence.Silence
    ) -> None:
        is_moved = self._take_move(now_ms, one)
        if is_moved:
            sent.patience.reschedule(asyncio.get_running_loop().time())
        elif not sent.is_noted:
            self._board.loads.failed(now_ms, sent.endpoint.id)
        if is_moved or not sent.is_noted:
            events.emit(
                log,
                events.ENDPOINT_SILENT,
                request=one.said.id.decode("latin-1"),
                endpoint=sent.endpoint.id,
                silent_ms=round(found.silent_ms),
                passes=found.passes,
                has_begun=one.exchange.has_begun,
                is_moved=is_moved,
            )
        sent.is_noted = True

    def _take_move(self, now_ms: float, one: Handling) -> bool:
        """Return whether a call is sent elsewhere, and take a repeat for it if so."""
        sent = t.cast(silence.Sent, one.sent)
        if not one.route.is_idempotent or one.has_repeat:
            return False
        if one.history.arrivals + 1 >= one.route.attempts:
            return False
        if one.deadline_ms - now_ms < LEAST_LEFT_MS:
            return False
        tried = frozenset({*one.history.tried, sent.endpoint.id})
        answer = self.places.choose(now_ms, one.service, tried)
        if not isinstance(answer, admission.Admit):
            return False
        board = self._board
        budget = board.budget_of(one.service)
        one.has_repeat = take_repeat(now_ms, budget, board.policy)
        return one.has_repeat

    def _may_repeat(self, now_ms: float, one: Handling) -> bool:
        if not may_send_again(one.history, one.route):
            return False
        if one.deadline_ms - now_ms < LEAST_LEFT_MS:
            return False
        if not one.history.arrivals:
            return True
        if one.has_repeat:
            one.has_repeat = False
            return True
        board = self._board
        budget = board.budget_of(one.service)
        return take_repeat(now_ms, budget, board.policy)

    def _judge(
        self, now_ms: float, one: Handling, endpoint: Endpoint, ending: NotRun | Lost
    ) -> None:
        """Draw conclusions about an endpoint from a send that failed."""
        loads = self._board.loads
        if isinstance(ending, NotRun) and ending.is_group and endpoint.place:
            avoided_ms = loads.failed(now_ms, admission.group_name(endpoint))
        elif isinstance(ending, NotRun) and ending.was_sent:
            loads.full(now_ms, endpoint.id)
            avoided_ms = loads.avoided_for_ms(now_ms, endpoint.id)
        elif isinstance(ending, Lost) and ending.is_failure:
            avoided_ms = loads.stumbled(now_ms, endpoint.id)
        else:
            avoided_ms = loads.failed(now_ms, endpoint.id)
        self._metrics.count_failure(endpoint.service)
        events.emit(
            log,
            events.ENDPOINT_FAILED,
            request=one.said.id.decode("latin-1"),
            endpoint=endpoint.id,
            not_run=isinstance(ending, NotRun),
            why=ending.reason,
            after_ms=round(now_ms - one.arrived_ms, 1),
            avoided_ms=round(avoided_ms),
        )

    def _give_up(self, one: Handling, *, is_over: bool) -> results.Result:
        result = final_result(one.history, is_over=is_over, is_crowded=one.is_crowded)
        if one.exchange.has_begun:
            one.exchange.abort()
            return results.STREAM_CUT
        if (failure := one.failure) is not None:
            one.exchange.answer(failure.status, failure.headers, failure.body)
            return results.DONE
        retry_after_s = None
        if result.outcome is results.Outcome.NOT_RUN:
            retry_after_s = self.places.retry_after_s(one)
        headers = wire.own_answer(one.said.id, retry_after_s)
        one.exchange.answer(result.http_status, headers, b"")
        return result

    def _note(self, one: Handling, result: results.Result) -> None:
        now_ms = self._clock()
        total_ms = now_ms - one.arrived_ms
        self._metrics.count_result(result)
        self._metrics.request.observe(total_ms)
        board = self._board
        events.emit(
            log,
            events.REQUEST_ENDED,
            request=one.said.id.decode("latin-1"),
            route=one.route.name,
            team=None if one.team is None else one.team.name,
            result=result.number,
            outcome=result.name,
            endpoint=one.endpoint,
            sends=one.history.sends,
            why=one.history.reason,
            waited_ms=round(one.waited_ms, 1),
            first_ms=None if one.first_ms is None else round(one.first_ms, 1),
            total_ms=round(total_ms, 1),
            deadline_ms=round(one.deadline_ms - one.arrived_ms),
            places_share=round(board.paces.least_share(), 2),
            pass_ms=round(board.paces.longest_ms(), 1),
            in_flight=sum(board.loads.own.values()),
            in_flight_elsewhere=sum(board.loads.others.values()),
            table_version=board.table.version if board.table else None,
            directory_age_ms=round(directory_age_ms(now_ms, board)),
        )


def _id_of(handling: Handling | None) -> str | None:
    return None if handling is None else handling.said.id.decode("latin-1")
