"""Holds back calls with suspect prompt parts, and sends one of them at a time.

A call with a part that may crash endpoints is sent as a probe. There is one at a time
among all entries, and none while a group recovers from a crash. So a probe costs one
crash at most, and never a second group while the first is down.
"""

import asyncio
import logging
import typing as t

from .. import events, results
from ..http1.client import is_listening
from .attempts import Answered, AttemptResult, MayHaveRun
from .call_context import CallContext
from .crashes import COMPLETE_EVENTS
from .directory import Endpoint, by_group
from .inactivity import Attempt
from .metrics import EntryMetrics
from .state import EntryState
from .suspects import Judgement, Verdict

log = logging.getLogger(__name__)

MAX_HOLD_RATIO: t.Final = 0.5
"""The part of its remaining time that a call may wait to be a probe."""
CRASH_CHECK_TIMEOUT_S: t.Final = 0.1
CHECK_INTERVAL_MS: t.Final = 20.0
PROBE_JITTER_MS: t.Final = 150.0
"""Longest random delay before a probe, so that entries don't send theirs at once."""
CHECKPOINT_EVENTS: t.Final = 8
"""The first events of an answer are recorded one by one up to this number, and then at
each multiple of it."""
MAX_RECOVERY_MS: t.Final = 10_000.0
"""Time after a crash from which a probe doesn't wait for a recovery any more."""


class Quarantine:
    """Decides when the calls of one entry with suspect parts may be sent.

    :param clock: returns the current time in milliseconds.
    :param on_news: called when peers are to be told of crashes or of a probe.
    """

    def __init__(
        self,
        state: EntryState,
        clock: t.Callable[[], float],
        metrics: EntryMetrics,
        on_news: t.Callable[[], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self._on_news = on_news

    async def admit(self, context: CallContext) -> bool:
        """Wait until the call may be sent.

        :return: whether it may; if not, ``context.refusal`` says why.
        """
        held_since_ms = self._clock()
        context.refusal = await self._hold(context)
        context.waited_ms += self._clock() - held_since_ms
        return context.refusal is None

    def begin(self, context: CallContext, endpoint: Endpoint) -> bool:
        """Make the call the probe if its parts are suspect.

        :return: whether the call may be sent now.
        """
        verdict = self._judge(context).verdict
        if verdict is Verdict.CLEAR:
            return True
        if verdict is not Verdict.SUSPECT or not self._may_probe(context.service):
            return False
        self._state.probes.own = context.metadata.id
        self._emit(events.SUSPECT_PROBED, context, endpoint)
        self._on_news()
        return True

    def end(self, context: CallContext) -> None:
        """Note that the call isn't the probe any more, if it was."""
        if self._state.probes.own == context.metadata.id:
            self._state.probes.own = None
            self._on_news()

    def record_event(self, context: CallContext) -> None:
        """Record an event of a call's answer, which may clear its parts."""
        now_ms = self._clock()
        attempt = t.cast(Attempt, context.attempt)
        attempt.events += 1
        if attempt.events == 1 and attempt.head_ms is not None:
            self._state.suspects.head_gaps.record(
                context.service,
                attempt.head_ms - attempt.sent_ms,
                now_ms - attempt.sent_ms,
            )
        if _is_checkpoint(attempt.events):
            self._record_served(now_ms, context, attempt.events)

    def _record_served(self, now_ms: float, context: CallContext, events: int) -> None:
        prompt = context.prompt
        is_news = self._state.suspects.record_served(now_ms, prompt, events)
        if self._judge(context).verdict is Verdict.CLEAR:
            self.end(context)
        if is_news:
            self._on_news()

    async def record_end(
        self, context: CallContext, endpoint: Endpoint, attempt_result: AttemptResult
    ) -> None:
        """Record a crash if the endpoint has ended, or that a call has been served.

        An answer whose end isn't marked may have been cut by a crash.
        """
        if isinstance(attempt_result, MayHaveRun):
            if not attempt_result.is_failure:
                await self._check_crash(context, endpoint)
        elif isinstance(attempt_result, Answered) and attempt_result.is_success:
            is_whole = attempt_result.is_end_marked
            if is_whole or not await self._check_crash(context, endpoint):
                self._record_served(self._clock(), context, COMPLETE_EVENTS)

    async def _check_crash(self, context: CallContext, endpoint: Endpoint) -> bool:
        """Record a crash if an endpoint has ended; return whether it has.

        A lost connection alone is no proof: the endpoint must refuse a new one too, and
        must not have been about to leave.
        """
        if await is_listening(endpoint.ip, endpoint.port, CRASH_CHECK_TIMEOUT_S):
            return False
        listed = self._state.directory.endpoints.get(endpoint.id)
        if listed is None or not self._state.directory.takes_calls(listed):
            return False
        if listed.incarnation != endpoint.incarnation:
            return False
        self._record_crash(context, endpoint)
        return True

    def _record_crash(self, context: CallContext, endpoint: Endpoint) -> None:
        now_ms = self._clock()
        attempt = t.cast(Attempt, context.attempt)
        has_head = attempt.head_ms is not None
        self._state.suspects.record_crash(
            now_ms, endpoint, attempt.sent_ms, context.prompt, has_head, attempt.events
        )
        self._metrics.count_crash(endpoint.service)
        self._emit(
            events.ENDPOINT_CRASHED,
            context,
            endpoint,
            has_head=has_head,
            events=attempt.events,
        )
        self._on_news()

    async def _hold(self, context: CallContext) -> results.Result | None:
        """Hold a call back while it is suspect and can't be a probe.

        :return: why the call is to be refused; None if it may be sent.
        """
        now_ms = self._clock()
        until_ms = now_ms + MAX_HOLD_RATIO * (context.deadline_ms - now_ms)
        while (judgement := self._judge(context)).verdict is Verdict.SUSPECT:
            if await self._is_probe_due(context.service):
                return None
            if self._clock() >= until_ms:
                return results.PROMPT_SUSPECT
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
        if judgement.verdict is Verdict.CLEAR:
            return None
        context.refusal_retry_ms = judgement.retry_ms
        if judgement.verdict is Verdict.PROVEN:
            return results.PROMPT_CRASHES_ENDPOINTS
        return results.PROMPT_SUSPECT

    async def _is_probe_due(self, service: str) -> bool:
        """Return whether a probe may be sent, and still may after a random delay."""
        if not self._may_probe(service):
            return False
        await asyncio.sleep(PROBE_JITTER_MS * self._state.random.random() / 1000)
        return self._may_probe(service)

    def _judge(self, context: CallContext) -> Judgement:
        return self._state.suspects.judge(self._clock(), context.prompt)

    def _may_probe(self, service: str) -> bool:
        now_ms = self._clock()
        if self._state.probes.is_one_in_progress(now_ms):
            return False
        crash = self._state.suspects.last_crash()
        if crash is None or now_ms - crash.ended_ms > MAX_RECOVERY_MS:
            return True
        return not self._is_recovering(service, crash.incarnation)

    def _is_recovering(self, service: str, crashed: str) -> bool:
        """Return whether the crash still shows in the list of endpoints."""
        endpoints = self._state.directory.of_service(service)
        if any(endpoint.incarnation == crashed for endpoint in endpoints):
            return True
        for ranks in by_group(endpoints).values():
            places = [rank.place for rank in ranks if rank.place is not None]
            if not all(place.is_open for place in places):
                return True
            if len({place.rank for place in places}) < places[0].size:
                return True
        return False

    def _emit(
        self,
        event: events.Event,
        context: CallContext,
        endpoint: Endpoint,
        **fields: t.Any,
    ) -> None:
        crash = self._state.suspects.last_crash()
        now_ms = self._clock()
        events.emit(
            log,
            event,
            request=context.metadata.id.decode("latin-1"),
            endpoint=endpoint.id,
            parts=context.logged_parts,
            part_count=len(context.prompt.shared),
            own_part=context.prompt.own,
            route=context.route.name,
            team=None if context.team is None else context.team.name,
            prompt_tokens=context.metadata.prompt_tokens,
            answer_tokens=context.metadata.answer_tokens,
            body_bytes=len(context.call.body),
            verdict=self._judge(context).verdict.value,
            **fields,
            crashes=len(self._state.suspects.crashes),
            last_crash_ms=None if crash is None else round(now_ms - crash.ended_ms),
        )


def _is_checkpoint(count: int) -> bool:
    """Return whether the progress of an answer is recorded at this event."""
    return count <= CHECKPOINT_EVENTS or count % CHECKPOINT_EVENTS == 0
