"""The entry: takes callers' requests over HTTP and hands them to agents."""

import contextlib
import itertools
import logging
import random
import secrets
import threading
import time
import typing as t

from . import (
    calls,
    defaults,
    endpoint_view,
    endpoints,
    events,
    limits,
    replies,
    results,
    retries,
    routing,
    tickets,
)
from .blackboard import PeerPart
from .calls import CallerRequest, CallRefusedError
from .configuration import Configuration
from .conversations import Conversation, Effect
from .daemon import Daemon
from .demands import DemandDigest
from .exchanges import (
    Choose,
    Chosen,
    Complete,
    Exchange,
    GiveUp,
    Lost,
    RelayData,
    Send,
    StopBound,
)
from .http_server import CONNECTION_KEY, StartResponse, caller_is_gone, serving
from .links import Handlers, Link
from .messages import Begin, Chunk, End, Message, Refuse, Report, Submit
from .results import Result
from .selectors import Rule
from .settings import EntrySettings
from .tickets import Ticket

log = logging.getLogger(__name__)

_ANSWERS = (Begin, Chunk, End, Refuse)


class StreamCutError(Exception):
    """Breaks the connection to a caller whose stream could not be finished."""


class Entry:
    """One entry's state, threads and links."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self.daemon = Daemon(
            settings, "entry", self._handlers(), self.in_flight, self._on_demand
        )
        self._board = self.daemon.board
        self._metrics = self.daemon.metrics
        self._lock = threading.Lock()
        self._conversations: dict[tuple[Link, int], tuple[Conversation, int]] = {}
        self._limits = limits.LimitState(settings.host, 0.0)
        self._budget = retries.RetryBudget()
        self._rng = random.Random(secrets.randbits(64))
        self._numbers = itertools.count(1)
        self._in_flight = 0
        self._next_follow_ms = 0.0
        self._next_demand_ms = 0.0
        self._idle = threading.Condition()
        self._resources = contextlib.ExitStack()
        self.caller_port = 0

    def _handlers(self) -> Handlers:
        return Handlers(
            on_ready=self._on_ready,
            on_message=self._on_message,
            on_closed=self._on_closed,
            on_tick=self._on_tick,
            on_datagram=lambda *arguments: self.daemon.on_datagram(*arguments),
            on_pause=lambda late_ms: None,
        )

    def start(self) -> None:
        """Serve callers from now on."""
        self.daemon.start()
        threads = self._settings.caller_threads + self._settings.refusing_threads
        self.caller_port = self._resources.enter_context(
            serving(
                self.respond,
                str(self._settings.address),
                self._settings.caller_port,
                threads,
                self._settings.read_bound_ms,
            )
        )

    def stop(self) -> bool:
        """Shut down gracefully: fail the health check, then finish what is in progress.

        :returns: whether all of it was finished within the bound.
        """
        self.daemon.begin_stop()
        time.sleep(self._settings.balancer_notice_ms / 1000)
        with self._idle:
            whole = self._idle.wait_for(
                lambda: self._in_flight == 0,
                timeout=self._settings.stop_bound_ms / 1000,
            )
            cut = self._in_flight
        if not whole:
            events.emit(log, events.STOP_BOUND_REACHED, requests_cut=cut)
            self._post_to_all(StopBound())
        self._resources.close()
        self.daemon.finish_stop()
        return whole

    def in_flight(self) -> int:
        """Return how many callers' requests are in progress."""
        return self._in_flight

    def respond(
        self, environ: dict[str, t.Any], start_response: StartResponse
    ) -> t.Iterable[bytes]:
        """Serve one caller's request; the WSGI application."""
        started_ms = _now_ms()
        with self._idle:
            bound = self._settings.caller_threads
            is_full = self._in_flight >= bound
            self._in_flight += not is_full
        if is_full:
            full = CallRefusedError(
                results.OVERLOADED, retry_after_ms=self._come_back_ms()
            )
            return self._refuse(environ, start_response, full)
        body: t.Iterable[bytes] = []
        try:
            body = self._serve(environ, start_response)
        except CallRefusedError as error:
            body = self._refuse(environ, start_response, error)
        except Exception:
            events.emit(log, events.REQUEST_FAILED)
            log.exception("request failed")
            lost = CallRefusedError(results.ENDPOINT_LOST)
            body = self._refuse(environ, start_response, lost)
        return _Body(body, lambda: self._ended(started_ms))

    def _ended(self, started_ms: float) -> None:
        self._metrics.timing("request").observe(_now_ms() - started_ms)
        with self._idle:
            self._in_flight -= 1
            self._idle.notify_all()

    def _refuse(
        self,
        environ: dict[str, t.Any],
        start_response: StartResponse,
        error: CallRefusedError,
    ) -> t.Iterable[bytes]:
        error = calls.unless_ticketed(calls.ticket_of(environ), error)
        self._metrics.count(self._metrics.results, result=error.result.name)
        return replies.give_error(
            start_response,
            error.result,
            error.detail,
            error.retry_after_ms,
            error.ticket,
            self._closing_headers(),
        )

    def _closing_headers(self) -> list[tuple[str, str]]:
        if self._board.lifecycle.stopping:
            return [("Connection", "close")]
        return []

    def _come_back_ms(self) -> float:
        return defaults.RETRY_AFTER_MS * (0.5 + self._rng.random())

    def _serve(
        self, environ: dict[str, t.Any], start_response: StartResponse
    ) -> t.Iterable[bytes]:
        lifecycle = self._board.lifecycle
        notice_ms = self._settings.balancer_notice_ms
        if lifecycle.stopping and _now_ms() > lifecycle.stopping_since_ms + notice_ms:
            raise CallRefusedError(
                results.STOPPING, retry_after_ms=self._come_back_ms()
            )
        configuration = self._board.configuration.configuration
        if configuration is None:
            raise CallRefusedError(
                results.NO_CONFIGURATION, retry_after_ms=self._come_back_ms()
            )
        request = calls.read(environ, configuration)
        rule = endpoints.taking_rule(configuration, request.work)
        if rule is None:
            raise CallRefusedError(results.NO_RULE_MATCHES)
        if not request.is_repeatable and not request.ticket:
            raise self._ticket_required(request, rule)
        home = self._home(request)
        return self._converse(
            environ, start_response, configuration, request, rule, home
        )

    def _home(self, request: CallerRequest) -> str | None:
        if not request.ticket:
            return None
        ticket = tickets.read(request.ticket, self.daemon.identity.secret)
        if ticket is None:
            raise CallRefusedError(results.TICKET_INVALID)
        if ticket.team != request.work.team:
            raise CallRefusedError(results.TICKET_OTHER_TEAM)
        if ticket.target != request.group.name:
            detail = f"the ticket is for {ticket.target}"
            raise CallRefusedError(results.TICKET_OTHER_REQUEST, detail)
        return ticket.host

    def _ticket_required(self, request: CallerRequest, rule: Rule) -> CallRefusedError:
        with self._lock:
            choice = self._choose_view(request, rule, frozenset())
            part = self._board.peers.get(choice.host) if choice else None
        if part is None:
            return CallRefusedError(
                results.NO_ENDPOINT, retry_after_ms=self._come_back_ms()
            )
        ticket = Ticket(
            part.link.peer.host,
            part.link.peer.incarnation,
            part.epoch,
            request.group.name,
            request.work.team,
            secrets.token_bytes(tickets.NONCE_SIZE_BYTES),
        )
        text = tickets.mint(ticket, self.daemon.identity.secret)
        return CallRefusedError(
            results.TICKET_REQUIRED, retry_after_ms=0.0, ticket=text
        )

    def _converse(
        self,
        environ: dict[str, t.Any],
        start_response: StartResponse,
        configuration: Configuration,
        request: CallerRequest,
        rule: Rule,
        home: str | None,
    ) -> t.Iterable[bytes]:
        now_ms = _now_ms()
        name = f"{self._settings.host}-{next(self._numbers)}"
        admitted = self._admit(now_ms, name, configuration, request)
        exchange = Exchange(
            repeatable=request.is_repeatable,
            resumable=request.group.resumable,
            home=home,
            stream=request.stream,
            deadline_at_ms=now_ms + request.deadline_ms,
        )
        span = self.daemon.tracer.span("entry", request.traceparent)
        course = _Course(name, request, rule, admitted, exchange, span, now_ms)
        connection = environ[CONNECTION_KEY]
        conversation = Conversation(
            exchange,
            choose=lambda command: self._choose(course, command),
            send=lambda talk, command: self._send(course, talk, command),
            is_caller_gone=lambda: caller_is_gone(connection),
        )
        effects = self._noted(course, conversation)
        try:
            first = next(effects, None)
        except BaseException:
            effects.close()
            raise
        return self._relay(start_response, course, first, effects)

    def _admit(
        self,
        now_ms: float,
        name: str,
        configuration: Configuration,
        request: CallerRequest,
    ) -> limits.Ticket | None:
        if not request.group.is_model:
            return None
        asked = limits.LimitRequest(
            name,
            request.work.team,
            float(request.cost_tokens),
            request.work.priority,
            now_ms + request.deadline_ms,
        )
        with self._lock:
            policy = self._limit_policy(configuration)
            self._note_capacity(now_ms, configuration)
            decision = limits.admit(now_ms, self._limits, asked, policy)
        if isinstance(decision, limits.Admitted):
            return decision.ticket
        raise CallRefusedError(
            _SHED_RESULTS[decision.reason], retry_after_ms=decision.retry_after_ms
        )

    def _limit_policy(self, configuration: Configuration) -> limits.LimitPolicy:
        return limits.LimitPolicy(configuration.share_by_team, 0.0, 0.0)

    def _note_capacity(self, now_ms: float, configuration: Configuration) -> None:
        own = self._settings.domain
        count = sum(view.domain == own for view in self._board.endpoints.values())
        per_endpoint = configuration.limits.endpoint_tokens_per_s
        limits.on_load(now_ms, self._limits, max(1, count) * per_endpoint, 0.0)

    def _noted(self, course: "_Course", talk: Conversation) -> t.Iterator[Effect]:
        """Yield the effects, and settle the accounts however the exchange ends."""
        outcome = limits.Outcome.CANCELLED
        with course.span as span:
            course.traceparent = span.traceparent
            try:
                for effect in talk.effects():
                    if isinstance(effect, (Complete, GiveUp)):
                        outcome = self._conclude(course, effect)
                    yield effect
            finally:
                talk.close()
                self._detach(course)
                self._settle(course, outcome)
                span.note("outcome", outcome.value)

    def _conclude(self, course: "_Course", effect: Complete | GiveUp) -> limits.Outcome:
        is_done = isinstance(effect, Complete)
        result = results.DONE if is_done else effect.result
        self._metrics.count(self._metrics.results, result=result.name)
        events.emit(
            log,
            events.REQUEST_ENDED,
            request=course.name,
            team=course.request.work.team,
            result=result.number,
            attempts=course.exchange.attempts,
            duration_ms=round(_now_ms() - course.started_ms, 1),
        )
        return limits.Outcome.DONE if is_done else limits.Outcome.FAILED

    def _settle(self, course: "_Course", outcome: limits.Outcome) -> None:
        now_ms = _now_ms()
        with self._lock:
            if course.admitted is not None:
                limits.release(now_ms, self._limits, course.admitted, outcome)
            if outcome is limits.Outcome.DONE:
                retries.note_success(now_ms, self._budget)
            view = self._board.endpoints.get(course.host)
            if view is None:
                return
            if outcome is limits.Outcome.DONE:
                endpoint_view.note_finished(view, now_ms, course.name)
            elif outcome is limits.Outcome.FAILED:
                endpoint_view.note_failure(view, now_ms, course.name)
            else:
                endpoint_view.note_cancelled(view, now_ms, course.name)

    def _choose(self, course: "_Course", command: Choose) -> Chosen:
        now_ms = _now_ms()
        if command.home is not None:
            is_linked = self.daemon.reach(command.home, defaults.REACH_TIMEOUT_MS)
            return Chosen(command.home if is_linked else None, self._come_back_ms())
        if command.is_retry:
            refused = self._wait_for_retry(now_ms, course)
            if refused is not None:
                return refused
        with self._lock:
            choice = self._choose_view(course.request, course.rule, command.excluded)
        if choice is None:
            return Chosen(None, self._come_back_ms())
        return Chosen(choice.host)

    def _wait_for_retry(self, now_ms: float, course: "_Course") -> Chosen | None:
        """Sleep as the retry budget says, or return that it has nothing left."""
        exchange = course.exchange
        proof = retries.Proof.UNKNOWN if exchange.unproven else retries.Proof.NOT_RUN
        asked = retries.RetryRequest(
            course.name,
            exchange.repeatable,
            exchange.attempts,
            exchange.deadline_at_ms,
        )
        failure = retries.Failure(proof, is_refusal=not exchange.unproven)
        with self._lock:
            view = self._board.endpoints.get(course.host)
            if view is not None:
                endpoint_view.note_failure(view, now_ms, course.name)
            decision = retries.decide(now_ms, self._budget, failure, asked)
        if isinstance(decision, retries.GiveUp):
            return Chosen(None, decision.retry_after_ms)
        time.sleep(decision.after_ms / 1000)
        return None

    def _choose_view(
        self, request: CallerRequest, rule: Rule, excluded: t.Collection[str]
    ) -> routing.Choice | None:
        now_ms = _now_ms()
        coordination = self.daemon.coordination
        views = [
            view
            for view in endpoints.usable_views(
                self._board, request.group, rule, excluded
            )
            if coordination.is_usable(now_ms, view.host)
        ]
        asked = routing.RouteRequest(
            "",
            request.blocks,
            request.expected_tokens,
            request.work.priority,
            self._settings.domain,
        )
        policy = routing.RoutingPolicy(live_entries=self._limits.live_entries)
        return routing.choose(now_ms, asked, views, policy, self._rng)

    def _send(
        self, course: "_Course", talk: Conversation, command: Send
    ) -> tuple[Link, int]:
        self._detach(course)
        part = self.daemon.part_of(command.host)
        request = course.request
        request_id = part.link.next_request_id()
        key = (part.link, request_id)
        now_ms = _now_ms()
        submit = Submit(
            request_id,
            request.group.name,
            request.work.team,
            request.ticket.encode(),
            course.exchange.deadline_at_ms - now_ms,
            request.work.priority,
            course.traceparent,
            request.work.method,
            request.path,
            request.headers,
            request.body,
            request.stream,
            command.resume_from,
        )
        with self._lock:
            self._conversations[key] = (talk, talk.attempt)
            view = self._board.endpoints.get(command.host)
            if view is not None:
                endpoint_view.note_sent(view, now_ms, course.name, request.blocks)
        course.key = key
        course.host = command.host
        course.sent_ms = now_ms
        part.link.send(submit)
        return key

    def _detach(self, course: "_Course") -> None:
        if course.key is not None:
            with self._lock:
                self._conversations.pop(course.key, None)
            course.key = None

    def _relay(
        self,
        start_response: StartResponse,
        course: "_Course",
        first: Effect | None,
        effects: t.Iterator[Effect],
    ) -> t.Iterable[bytes]:
        extra = self._closing_headers()
        match first:
            case Complete(head, body):
                _exhaust(effects)
                replies.begin_answer(
                    start_response,
                    head,
                    [*extra, ("Content-Length", str(len(body)))],
                )
                return [body]
            case GiveUp(result, retry_after_ms):
                _exhaust(effects)
                return replies.give_error(
                    start_response, result, "", retry_after_ms, extra=extra
                )
            case None:
                raise CallRefusedError(results.ENDPOINT_LOST, "the caller hung up")
        replies.begin_answer(start_response, first.head, extra)
        return self._stream(course, effects)

    def _stream(
        self, course: "_Course", effects: t.Iterator[Effect]
    ) -> t.Iterator[bytes]:
        with contextlib.closing(t.cast(t.Generator, effects)):
            for effect in effects:
                match effect:
                    case RelayData(data):
                        self._time_tokens(course)
                        yield data
                    case GiveUp(result, retry_after_ms):
                        yield replies.stream_error(result, retry_after_ms)
                        raise StreamCutError(result.name)

    def _time_tokens(self, course: "_Course") -> None:
        now_ms = _now_ms()
        if course.last_token_ms == 0.0:
            self._metrics.timing("first_token").observe(now_ms - course.started_ms)
            self._note_first_token(course, now_ms)
        else:
            gap_ms = now_ms - course.last_token_ms
            self._metrics.timing("between_tokens").observe(gap_ms)
        course.last_token_ms = now_ms

    def _note_first_token(self, course: "_Course", now_ms: float) -> None:
        with self._lock:
            view = self._board.endpoints.get(course.host)
            if view is not None:
                endpoint_view.note_first_token(view, now_ms, course.name)

    def _on_ready(self, link: Link) -> None:
        self.daemon.on_ready(link)
        if link.peer.role != "agent":
            return
        host = link.peer.host
        with self._lock:
            if host not in self._board.endpoints:
                view = endpoint_view.EndpointView(host, link.peer.domain)
                self._board.endpoints[host] = view

    def _on_message(self, link: Link, message: Message) -> None:
        if isinstance(message, _ANSWERS):
            found = self._conversations.get((link, message.request_id))
            if found is None:
                kind = type(message).__name__
                self._metrics.count(self._metrics.dropped, kind=kind)
                return
            talk, attempt = found
            talk.post(attempt, message)
        elif isinstance(message, Report):
            self._on_report(link, message)
        else:
            self.daemon.on_message(link, message)

    def _on_report(self, link: Link, report: Report) -> None:
        now_ms = _now_ms()
        host = link.peer.host
        part = self._board.peers.get(host)
        if part is None or part.link is not link:
            return
        if report.sequence <= part.report_sequence:
            return
        self._board.peers[host] = PeerPart(
            link, report.leaving, report.epoch, report.sequence, now_ms
        )
        load = endpoint_view.LoadReport(
            report.running,
            report.waiting,
            report.kv_used_share,
            report.step_ms,
            0.0,
        )
        with self._lock:
            view = self._board.endpoints.get(host)
            if view is not None:
                age_ms = report.measured_ms_ago
                endpoint_view.note_report(view, now_ms, load, age_ms)

    def _on_closed(self, link: Link, dialled: str | None) -> None:
        self.daemon.on_closed(link, dialled)
        with self._lock:
            lost = [
                found
                for (owner, _), found in self._conversations.items()
                if owner is link
            ]
        for talk, attempt in lost:
            talk.post(attempt, Lost(written=True))

    def _post_to_all(self, event: StopBound) -> None:
        with self._lock:
            found = list(self._conversations.values())
        for talk, attempt in found:
            talk.post(attempt, event)

    def _on_tick(self, now_ms: float) -> None:
        self.daemon.on_tick(now_ms)
        if now_ms >= self._next_follow_ms:
            self._next_follow_ms = now_ms + defaults.FOLLOW_INTERVAL_MS
            self._follow(now_ms)
        if now_ms >= self._next_demand_ms:
            self._tell_demand(now_ms)

    def _follow(self, now_ms: float) -> None:
        """Link to the endpoints of the own domain, and to a few of the others."""
        board = self._board
        followed = endpoints.to_follow(
            board, self._settings.domain, self._settings.host
        )
        self.daemon.coordination.follow(now_ms, followed)
        for host in board.hosts.hosts.values():
            is_own = host.domain == self._settings.domain
            if host.role == "agent" and (is_own or host.host in followed):
                self.daemon.dial(host.host)
        self._forget_endpoints(board.hosts.hosts)

    def _tell_demand(self, now_ms: float) -> None:
        with self._lock:
            digest = limits.digest(now_ms, self._limits)
            interval_ms = limits.digest_interval_ms(self._limits)
        self._next_demand_ms = now_ms + interval_ms
        coordination = self.daemon.coordination
        coordination.tell_demand(digest, coordination.entries_of_domain())

    def _on_demand(self, digest: DemandDigest) -> None:
        with self._lock:
            limits.on_digest(_now_ms(), self._limits, digest)

    def _forget_endpoints(self, hosts: t.Mapping[str, t.Any]) -> None:
        gone = [
            host
            for host in self._board.endpoints
            if host not in hosts and host not in self._board.peers
        ]
        with self._lock:
            for host in gone:
                del self._board.endpoints[host]


_SHED_RESULTS: dict[limits.ShedReason, Result] = {
    limits.ShedReason.TEAM_OVER_SHARE: results.TEAM_OVER_SHARE,
    limits.ShedReason.OVERLOAD: results.OVERLOADED,
    limits.ShedReason.DEADLINE: results.DEADLINE_BEFORE_START,
}


class _Course:
    """What an entry keeps of one request beside its exchange."""

    def __init__(
        self,
        name: str,
        request: CallerRequest,
        rule: Rule,
        admitted: limits.Ticket | None,
        exchange: Exchange,
        span: t.ContextManager,
        started_ms: float,
    ) -> None:
        self.name = name
        self.request = request
        self.rule = rule
        self.admitted = admitted
        self.exchange = exchange
        self.span = span
        self.started_ms = started_ms
        self.traceparent = ""
        self.key: tuple[Link, int] | None = None
        self.host = ""
        self.sent_ms = 0.0
        self.last_token_ms = 0.0


class _Body:
    """A response body that reports its end, however it ends."""

    def __init__(self, parts: t.Iterable[bytes], on_end: t.Callable[[], None]) -> None:
        self._parts = parts
        self._on_end = on_end

    def __iter__(self) -> t.Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Close the parts and report the end."""
        try:
            close = getattr(self._parts, "close", None)
            if close is not None:
                close()
        finally:
            self._on_end()


def _exhaust(effects: t.Iterator[Effect]) -> None:
    for _ in effects:
        pass


def _now_ms() -> float:
    return time.monotonic() * 1000
