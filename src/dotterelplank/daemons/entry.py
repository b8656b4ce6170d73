"""The entry: accepts callers' requests over HTTP and forwards them to agents."""

import contextlib
import itertools
import logging
import secrets
import threading
import time
import typing as t

from .. import defaults, events, results
from ..clocks import monotonic_ms
from ..config.configuration import Configuration
from ..config.selectors import Rule
from ..config.settings import EntrySettings
from ..links.link_server import Handlers
from ..links.links import Link
from ..links.messages import Begin, Chunk, End, Message, Refuse, Report, Submit
from ..routing import limits, retries
from ..routing.demands import DemandDigest
from . import calls, endpoints, relays, replies, tickets
from .calls import CallerRequest, CallRefusedError
from .daemon import Daemon
from .exchange_runner import ExchangeRunner
from .exchanges import Choose, Chosen, Complete, Exchange, GiveUp, Lost, Send, StopBound
from .http_server import CONNECTION_KEY, StartResponse, caller_is_gone, serving
from .relays import Body, Effects
from .tickets import Ticket
from .traffic import RequestContext, Traffic, engine_priority

log = logging.getLogger(__name__)

_ANSWERS = (Begin, Chunk, End, Refuse)


class Entry:
    """The state, threads and links of one entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self.daemon = Daemon(
            settings,
            "entry",
            self._handlers(),
            self.in_flight,
            self._on_demand,
            lambda *arguments: self._traffic.on_load(*arguments),
        )
        self._board = self.daemon.board
        self._metrics = self.daemon.metrics
        self._lock = threading.Lock()
        self._runners: dict[tuple[Link, int], tuple[ExchangeRunner, int]] = {}
        self._traffic = Traffic(
            self._board,
            settings.host,
            settings.domain,
            secrets.randbits(64),
            self.daemon.coordination.is_usable,
        )
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
        """Start to serve callers."""
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
        """Shut down gracefully: fail the health check, then finish the requests.

        :returns: whether all requests ended within the stop bound.
        """
        self.daemon.begin_stop()
        time.sleep(self._settings.balancer_notice_ms / 1000)
        with self._idle:
            is_finished = self._idle.wait_for(
                lambda: self._in_flight == 0,
                timeout=self._settings.stop_bound_ms / 1000,
            )
            unfinished = self._in_flight
        if not is_finished:
            events.emit(log, events.STOP_BOUND_REACHED, requests_cut=unfinished)
            self._post_to_all(StopBound())
        self._resources.close()
        self.daemon.finish_stop()
        return is_finished

    def in_flight(self) -> int:
        """Return how many callers' requests are in progress."""
        return self._in_flight

    def respond(
        self, environ: dict[str, t.Any], start_response: StartResponse
    ) -> t.Iterable[bytes]:
        """Serve one caller's request. This method is the WSGI application."""
        started_ms = monotonic_ms()
        with self._idle:
            max_in_flight = self._settings.caller_threads
            is_full = self._in_flight >= max_in_flight
            self._in_flight += not is_full
        if is_full:
            refusal = CallRefusedError(
                results.OVERLOADED,
                retry_after_ms=self._traffic.jittered_retry_after_ms(),
            )
            return self._refuse(environ, start_response, refusal)
        body: t.Iterable[bytes] = []
        try:
            body = self._serve(environ, start_response)
        except CallRefusedError as error:
            body = self._refuse(environ, start_response, error)
        except Exception:
            events.emit(log, events.REQUEST_FAILED)
            log.exception("request failed")
            refusal = CallRefusedError(results.ENDPOINT_LOST)
            body = self._refuse(environ, start_response, refusal)
        return Body(body, lambda: self._on_request_ended(started_ms))

    def _on_request_ended(self, started_ms: float) -> None:
        self._metrics.timing("request").observe(monotonic_ms() - started_ms)
        with self._idle:
            self._in_flight -= 1
            self._idle.notify_all()

    def _refuse(
        self,
        environ: dict[str, t.Any],
        start_response: StartResponse,
        error: CallRefusedError,
    ) -> t.Iterable[bytes]:
        error = calls.adjust_for_ticket(calls.ticket_of(environ), error)
        self._metrics.count(self._metrics.results, result=error.result.name)
        return replies.send_error(
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

    def _serve(
        self, environ: dict[str, t.Any], start_response: StartResponse
    ) -> t.Iterable[bytes]:
        lifecycle = self._board.lifecycle
        notice_ms = self._settings.balancer_notice_ms
        if (
            lifecycle.stopping
            and monotonic_ms() > lifecycle.stopping_since_ms + notice_ms
        ):
            raise CallRefusedError(
                results.STOPPING, retry_after_ms=self._traffic.jittered_retry_after_ms()
            )
        configuration = self._board.configuration.configuration
        if configuration is None:
            raise CallRefusedError(
                results.NO_CONFIGURATION,
                retry_after_ms=self._traffic.jittered_retry_after_ms(),
            )
        request = calls.read(environ, configuration)
        rule = endpoints.matching_rule(configuration, request.work)
        if rule is None:
            raise CallRefusedError(results.NO_RULE_MATCHES)
        if not request.is_repeatable and not request.ticket:
            raise self._ticket_required(request, rule)
        home = self._home(request)
        return self._relay_exchange(
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
        choice = self._traffic.choose(monotonic_ms(), request, rule)
        part = self._board.peers.get(choice.host) if choice else None
        if part is None:
            return CallRefusedError(
                results.NO_ENDPOINT,
                retry_after_ms=self._traffic.jittered_retry_after_ms(),
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

    def _relay_exchange(
        self,
        environ: dict[str, t.Any],
        start_response: StartResponse,
        configuration: Configuration,
        request: CallerRequest,
        rule: Rule,
        home: str | None,
    ) -> t.Iterable[bytes]:
        now_ms = monotonic_ms()
        name = f"{self._settings.host}-{next(self._numbers)}"
        admitted = self._traffic.admit(now_ms, name, configuration, request)
        exchange = Exchange(
            repeatable=request.is_repeatable,
            resumable=request.group.resumable,
            home=home,
            stream=request.stream,
            deadline_at_ms=now_ms + request.deadline_ms,
        )
        context = RequestContext(name, request, rule, exchange, now_ms, admitted)
        connection = environ[CONNECTION_KEY]
        runner = ExchangeRunner(
            exchange,
            choose=lambda command: self._choose(context, command),
            send=lambda runner, command: self._send(context, runner, command),
            is_caller_gone=lambda: caller_is_gone(connection),
        )
        effects = self._tracked_effects(context, runner)
        return relays.relay(
            start_response,
            effects,
            self._closing_headers(),
            lambda: self._record_token_time(context),
        )

    def _tracked_effects(
        self, context: RequestContext, runner: ExchangeRunner
    ) -> Effects:
        """Yield the effects; release the resources however the exchange ends."""
        outcome = limits.Outcome.CANCELLED
        parent = context.request.traceparent
        with self.daemon.tracer.span("entry", parent) as span:
            context.traceparent = span.traceparent
            try:
                for effect in runner.effects():
                    if isinstance(effect, (Complete, GiveUp)):
                        outcome = self._record_result(context, effect)
                    yield effect
            finally:
                runner.close()
                self._detach(context)
                self._traffic.finish_request(monotonic_ms(), context, outcome)
                span.note("outcome", outcome.value)

    def _record_result(
        self, context: RequestContext, effect: Complete | GiveUp
    ) -> limits.Outcome:
        is_done = isinstance(effect, Complete)
        result = results.DONE if is_done else effect.result
        self._metrics.count(self._metrics.results, result=result.name)
        events.emit(
            log,
            events.REQUEST_ENDED,
            request=context.name,
            team=context.request.work.team,
            result=result.number,
            attempts=context.exchange.attempts,
            duration_ms=round(monotonic_ms() - context.started_ms, 1),
        )
        return limits.Outcome.DONE if is_done else limits.Outcome.FAILED

    def _choose(self, context: RequestContext, command: Choose) -> Chosen:
        now_ms = monotonic_ms()
        if command.home is not None:
            is_linked = self.daemon.reach(command.home, defaults.REACH_TIMEOUT_MS)
            return Chosen(
                command.home if is_linked else None,
                self._traffic.jittered_retry_after_ms(),
            )
        if command.is_retry:
            refused = self._wait_for_retry(now_ms, context)
            if refused is not None:
                return refused
        choice = self._traffic.choose(
            monotonic_ms(), context.request, context.rule, command.excluded
        )
        if choice is None:
            return Chosen(None, self._traffic.jittered_retry_after_ms())
        return Chosen(choice.host)

    def _wait_for_retry(self, now_ms: float, context: RequestContext) -> Chosen | None:
        """Wait until the retry may be sent.

        :returns: ``None`` after the wait, or a choice without a host if the retry
            policy allows no retry.
        """
        decision = self._traffic.decide_retry(now_ms, context)
        if isinstance(decision, retries.GiveUp):
            return Chosen(None, decision.retry_after_ms)
        time.sleep(decision.after_ms / 1000)
        return None

    def _send(
        self, context: RequestContext, runner: ExchangeRunner, command: Send
    ) -> tuple[Link, int]:
        self._detach(context)
        part = self.daemon.peer_part(command.host)
        request = context.request
        request_id = part.link.next_request_id()
        key = (part.link, request_id)
        now_ms = monotonic_ms()
        submit = Submit(
            request_id,
            request.group.name,
            request.work.team,
            request.ticket.encode(),
            context.exchange.deadline_at_ms - now_ms,
            engine_priority(context),
            context.traceparent,
            request.work.method,
            request.path,
            request.headers,
            request.body,
            request.stream,
            command.resume_from,
        )
        with self._lock:
            self._runners[key] = (runner, runner.attempt)
        context.key = key
        self._traffic.note_sent(now_ms, context, command.host)
        part.link.send(submit)
        return key

    def _detach(self, context: RequestContext) -> None:
        if context.key is not None:
            with self._lock:
                self._runners.pop(context.key, None)
            context.key = None

    def _record_token_time(self, context: RequestContext) -> None:
        now_ms = monotonic_ms()
        self._traffic.note_token(now_ms, context)
        if context.last_token_ms == 0.0:
            self._metrics.timing("first_token").observe(now_ms - context.started_ms)
        else:
            gap_ms = now_ms - context.last_token_ms
            self._metrics.timing("between_tokens").observe(gap_ms)
        context.last_token_ms = now_ms

    def _on_ready(self, link: Link) -> None:
        self.daemon.on_ready(link)
        if link.peer.role == "agent":
            self._traffic.add_endpoint(link)

    def _on_message(self, link: Link, message: Message) -> None:
        if isinstance(message, _ANSWERS):
            found = self._runners.get((link, message.request_id))
            if found is None:
                kind = type(message).__name__
                self._metrics.count(self._metrics.dropped, kind=kind)
                return
            runner, attempt = found
            runner.post(attempt, message)
        elif isinstance(message, Report):
            self._traffic.on_report(monotonic_ms(), link, message)
        else:
            self.daemon.on_message(link, message)

    def _on_closed(self, link: Link, dialled: str | None) -> None:
        self.daemon.on_closed(link, dialled)
        with self._lock:
            affected = [
                found for (owner, _), found in self._runners.items() if owner is link
            ]
        for runner, attempt in affected:
            runner.post(attempt, Lost(written=True))

    def _post_to_all(self, event: StopBound) -> None:
        with self._lock:
            found = list(self._runners.values())
        for runner, attempt in found:
            runner.post(attempt, event)

    def _on_tick(self, now_ms: float) -> None:
        self.daemon.on_tick(now_ms)
        if now_ms >= self._next_follow_ms:
            self._next_follow_ms = now_ms + defaults.FOLLOW_INTERVAL_MS
            self._update_followed(now_ms)
            configuration = self._board.configuration.configuration
            if configuration is not None:
                self._traffic.note_capacity(now_ms, configuration)
        if now_ms >= self._next_demand_ms:
            self._send_demand(now_ms)

    def _update_followed(self, now_ms: float) -> None:
        """Dial the agents of the own domain and followed agents of other domains."""
        board = self._board
        followed = endpoints.hosts_to_follow(
            board, self._settings.domain, self._settings.host
        )
        self.daemon.coordination.follow(now_ms, followed)
        for host in board.hosts.hosts.values():
            is_own = host.domain == self._settings.domain
            if host.role == "agent" and (is_own or host.host in followed):
                self.daemon.dial(host.host)
        self._traffic.drop_unknown_endpoints()

    def _send_demand(self, now_ms: float) -> None:
        digest, interval_ms = self._traffic.digest(now_ms)
        self._next_demand_ms = now_ms + interval_ms
        coordination = self.daemon.coordination
        coordination.send_demand(digest, coordination.entries_of_domain())

    def _on_demand(self, digest: DemandDigest) -> None:
        self._traffic.on_digest(monotonic_ms(), digest)
