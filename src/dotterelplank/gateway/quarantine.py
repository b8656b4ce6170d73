"""Holds back calls with suspect prompt parts, and tries one of them at a time.

A call with a part that may crash endpoints isn't sent while another one is tried, by
any entry, or while a group recovers from a crash. So a trial that crashes its endpoint
costs one crash, and never a second group while the first is down.
"""

import asyncio
import logging
import typing as t

from .. import events, results
from .call_context import CallContext
from .directory import Endpoint, by_group
from .inactivity import Attempt
from .metrics import EntryMetrics
from .state import EntryState
from .suspects import Verdict

log = logging.getLogger(__name__)

MAX_HOLD_RATIO: t.Final = 0.5
"""The part of its remaining time that a call may wait for its trial."""
CHECK_INTERVAL_MS: t.Final = 20.0
TRIAL_JITTER_MS: t.Final = 150.0
"""Longest random delay before a trial, so that entries don't begin one at once."""
MAX_RECOVERY_MS: t.Final = 10_000.0
"""Time after a crash from which a trial doesn't wait for a recovery any more."""


class Quarantine:
    """Decides when the calls of one entry with suspect parts may be sent.

    :param clock: returns the current time in milliseconds.
    :param on_news: called when peers are to be told of the evidence or of a trial.
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

    async def wait_for_turn(self, context: CallContext) -> bool:
        """Wait until the call may be sent.

        :return: whether it may; if not, ``context.refusal`` says why.
        """
        held_since_ms = self._clock()
        until_ms = held_since_ms + MAX_HOLD_RATIO * (
            context.deadline_ms - held_since_ms
        )
        while (verdict := self._judge(context)) is Verdict.SUSPECT:
            if self._may_try(context.service):
                jitter = self._state.random.random()
                await asyncio.sleep(TRIAL_JITTER_MS * jitter / 1000)
                if self._judge(context) is not Verdict.SUSPECT:
                    continue
                if self._may_try(context.service):
                    break
            if self._clock() >= until_ms:
                context.refusal = results.PROMPT_SUSPECT
                break
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
        context.waited_ms += self._clock() - held_since_ms
        if verdict is Verdict.GUILTY:
            context.refusal = results.PROMPT_CRASHES_ENDPOINTS
        return context.refusal is None

    def begin(self, context: CallContext, endpoint: Endpoint) -> bool:
        """Begin the call's trial if its parts are suspect.

        :return: whether the call may be sent now.
        """
        verdict = self._judge(context)
        if verdict is Verdict.INNOCENT:
            return True
        if verdict is Verdict.GUILTY or not self._may_try(context.service):
            return False
        self._state.trials.own = context.metadata.id
        self._emit(events.SUSPECT_TRIED, context, endpoint)
        self._on_news()
        return True

    def end(self, context: CallContext) -> None:
        """End the call's trial, if there is one."""
        if self._state.trials.own == context.metadata.id:
            self._state.trials.own = None
            self._on_news()

    def record_served(self, context: CallContext) -> None:
        """Record the first event of a call's answer, and end the call's trial."""
        now_ms = self._clock()
        attempt = t.cast(Attempt, context.attempt)
        if attempt.head_ms is not None:
            self._state.suspects.head_gaps.record(
                context.service,
                attempt.head_ms - attempt.sent_ms,
                now_ms - attempt.sent_ms,
            )
        parts = context.metadata.shared_parts
        is_news = self._state.suspects.record_served(now_ms, parts)
        self.end(context)
        if is_news:
            self._on_news()

    def record_crash(
        self, context: CallContext, endpoint: Endpoint, sent_ms: float
    ) -> None:
        """Record that an endpoint crashed before the first event of a call."""
        now_ms = self._clock()
        parts = context.metadata.shared_parts
        attempt = t.cast(Attempt, context.attempt)
        has_head = attempt.head_ms is not None
        self._state.suspects.record_crash(now_ms, endpoint, sent_ms, parts, has_head)
        self._metrics.count_crash(endpoint.service)
        self._emit(events.ENDPOINT_CRASHED, context, endpoint, has_head=has_head)
        self._on_news()

    def _judge(self, context: CallContext) -> Verdict:
        parts = context.metadata.shared_parts
        return self._state.suspects.judge(self._clock(), parts)

    def _may_try(self, service: str) -> bool:
        now_ms = self._clock()
        if self._state.trials.is_one_in_progress(now_ms):
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
            parts=context.metadata.shared_parts,
            verdict=self._judge(context).value,
            **fields,
            crashes=len(self._state.suspects.crashes),
            last_crash_ms=None if crash is None else round(now_ms - crash.ended_ms),
        )
