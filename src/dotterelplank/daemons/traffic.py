"""The entry's state of its endpoints and load, shared by the threads of its callers.

The decisions on routing, limits and retries are functions of explicit state. This
module holds the state that they read and update, protected by one lock.
"""

import collections
import dataclasses
import random
import threading
import typing as t

from .. import defaults, results
from ..config.configuration import Configuration
from ..config.selectors import Rule
from ..links.links import Link
from ..links.messages import Report
from ..members.messages import Load
from ..routing import capacities, endpoint_view, limits, prefixes, retries, routing
from ..routing.demands import DemandDigest
from ..routing.endpoint_view import EndpointView
from . import endpoints
from .blackboard import Blackboard, PeerPart
from .calls import CallerRequest, CallRefusedError
from .exchanges import Exchange

_SHED_RESULTS: dict[limits.ShedReason, results.Result] = {
    limits.ShedReason.TEAM_OVER_SHARE: results.TEAM_OVER_SHARE,
    limits.ShedReason.OVERLOAD: results.OVERLOADED,
    limits.ShedReason.DEADLINE: results.DEADLINE_BEFORE_START,
}


@dataclasses.dataclass
class RequestContext:
    """What an entry stores about one request beside its exchange.

    :param admitted: the admission, or ``None`` for a request to a plain service.
    :param traceparent: the ``traceparent`` header for the next hop.
    :param key: link and request id of the current attempt, or ``None``.
    :param host: the host of the current or last attempt, or empty.
    :param stream_host: the host at which the request counts as a stream, or empty.
    :param last_token_ms: time of the last part of a stream; 0 before the first.
    """

    name: str
    request: CallerRequest
    rule: Rule
    exchange: Exchange
    started_ms: float
    admitted: limits.Admitted | None = None
    traceparent: str = ""
    key: tuple[Link, int] | None = None
    host: str = ""
    stream_host: str = ""
    last_token_ms: float = 0.0


def engine_priority(context: RequestContext) -> int:
    """Return the priority for the engine, which serves lower numbers first.

    Among requests of the same priority, those of teams within their share are served
    first. Plain services have no priorities.
    """
    if not context.request.group.is_model:
        return 0
    admitted = context.admitted
    is_over_share = admitted is not None and not admitted.is_within_share
    return is_over_share - 2 * context.request.work.priority


class Traffic:
    """The views of the endpoints, the limits and the retry budget of one entry.

    :param is_usable: returns whether a host may get new work at the given time.
    """

    def __init__(
        self,
        board: Blackboard,
        host: str,
        domain: str,
        seed: int,
        is_usable: t.Callable[[float, str], bool],
    ) -> None:
        self._board = board
        self._domain = domain
        self._is_usable = is_usable
        self._lock = threading.Lock()
        self._rng = random.Random(seed)
        capacity_per_s = defaults.UNKNOWN_CAPACITY_TOKENS_PER_S
        self._limits = limits.LimitState(host, capacity_per_s)
        self._budget = retries.RetryBudget()
        self._families = prefixes.FamilyRates()
        self._streams_by_host: collections.Counter[str] = collections.Counter()

    def jittered_retry_after_ms(self) -> float:
        """Return the time in milliseconds to the caller's retry, with random jitter."""
        return defaults.RETRY_AFTER_MS * (0.5 + self._rng.random())

    def admit(
        self,
        now_ms: float,
        name: str,
        configuration: Configuration,
        request: CallerRequest,
    ) -> limits.Admitted | None:
        """Admit a request; requests to plain services are limited by slots only.

        :raises CallRefusedError: if the request is shed.
        """
        if not request.group.is_model:
            return None
        limit_request = limits.LimitRequest(
            name,
            request.work.team,
            float(request.expected_tokens),
            request.work.priority,
            now_ms + request.deadline_ms,
        )
        policy = limits.LimitPolicy(configuration.share_by_team, 0.0, 0.0)
        with self._lock:
            decision = limits.admit(now_ms, self._limits, limit_request, policy)
        if isinstance(decision, limits.Admitted):
            return decision
        raise CallRefusedError(
            _SHED_RESULTS[decision.reason], retry_after_ms=decision.retry_after_ms
        )

    def choose(
        self,
        now_ms: float,
        request: CallerRequest,
        rule: Rule,
        excluded: t.Collection[str] = (),
    ) -> routing.Choice | None:
        """Choose an endpoint for ``request``; return ``None`` if no one is usable."""
        with self._lock:
            views = [
                view
                for view in endpoints.usable_views(
                    self._board, request.group, rule, excluded
                )
                if self._is_usable(now_ms, view.host)
            ]
            route_request = routing.RouteRequest(
                "",
                request.blocks,
                request.expected_tokens,
                request.work.priority,
                self._domain,
                self._families.note(now_ms, request.blocks),
            )
            policy = routing.RoutingPolicy(live_entries=self._limits.live_entries)
            return routing.choose(now_ms, route_request, views, policy, self._rng)

    def decide_retry(
        self, now_ms: float, context: RequestContext
    ) -> retries.Retry | retries.GiveUp:
        """Record a failed attempt and decide whether the request is retried."""
        exchange = context.exchange
        proof = (
            retries.Proof.UNKNOWN if exchange.may_have_run else retries.Proof.NOT_RUN
        )
        retry_request = retries.RetryRequest(
            context.name,
            exchange.repeatable,
            exchange.attempts,
            exchange.deadline_at_ms,
        )
        failure = retries.Failure(proof, is_refusal=not exchange.may_have_run)
        with self._lock:
            self._end_stream(context)
            view = self._board.endpoints.get(context.host)
            if view is not None:
                endpoint_view.note_failure(view, now_ms, context.name)
            return retries.decide(now_ms, self._budget, failure, retry_request)

    def note_sent(self, now_ms: float, context: RequestContext, host: str) -> None:
        """Record that the request was sent to ``host``.

        A unary answer sends nothing before its end, so the request is not recorded as
        waiting for its first token.
        """
        with self._lock:
            context.host = host
            view = self._board.endpoints.get(host)
            if view is None:
                return
            endpoint_view.note_sent(view, now_ms, context.name, context.request.blocks)
            if context.request.stream:
                context.stream_host = host
                self._streams_by_host[host] += 1
            else:
                endpoint_view.note_first_token(view, now_ms, context.name)

    def note_token(self, now_ms: float, context: RequestContext) -> None:
        """Record that tokens of a stream arrived."""
        with self._lock:
            view = self._board.endpoints.get(context.host)
            if view is None:
                return
            if context.last_token_ms == 0.0:
                endpoint_view.note_first_token(view, now_ms, context.name)
            else:
                endpoint_view.note_progress(view, now_ms)

    def finish_request(
        self, now_ms: float, context: RequestContext, outcome: limits.Outcome
    ) -> None:
        """Release the resources of a request that is over and record its outcome."""
        with self._lock:
            self._end_stream(context)
            if context.admitted is not None:
                ticket = context.admitted.ticket
                limits.release(now_ms, self._limits, ticket, outcome)
            if outcome is limits.Outcome.DONE:
                retries.note_success(now_ms, self._budget)
            view = self._board.endpoints.get(context.host)
            if view is not None:
                _NOTE_BY_OUTCOME[outcome](view, now_ms, context.name)

    def _end_stream(self, context: RequestContext) -> None:
        if context.stream_host:
            self._streams_by_host[context.stream_host] -= 1
            context.stream_host = ""

    def add_endpoint(self, link: Link) -> None:
        """Create a view of the endpoint of an agent that has been authenticated."""
        host = link.peer.host
        with self._lock:
            if host not in self._board.endpoints:
                self._board.endpoints[host] = EndpointView(host, link.peer.domain)

    def drop_unknown_endpoints(self) -> None:
        """Drop the views of hosts that are neither listed nor linked."""
        board = self._board
        with self._lock:
            for host in list(board.endpoints):
                if host not in board.hosts.hosts and host not in board.peers:
                    del board.endpoints[host]

    def on_report(self, now_ms: float, link: Link, report: Report) -> None:
        """Apply an agent's report on itself and its endpoint.

        A report over another link than the current one, or one that is not newer than
        the last, is ignored.
        """
        host = link.peer.host
        part = self._board.peers.get(host)
        if part is None or part.link is not link:
            return
        if report.sequence <= part.report_sequence:
            return
        self._board.peers[host] = PeerPart(
            link, report.leaving, report.epoch, report.sequence, now_ms
        )
        with self._lock:
            view = self._board.endpoints.get(host)
            if view is not None:
                self._apply_load(now_ms, view, report)

    def _apply_load(self, now_ms: float, view: EndpointView, report: Report) -> None:
        load = endpoint_view.LoadReport(
            report.running,
            report.waiting,
            report.kv_used_share,
            report.step_ms,
            0.0,
        )
        age_ms = report.measured_ms_ago
        endpoint_view.note_report(view, now_ms, load, age_ms)
        # Without a stream no tokens show that the endpoint makes progress, so a recent
        # load report counts as progress.
        has_no_streams = not self._streams_by_host[view.host]
        if has_no_streams and age_ms <= defaults.MAX_LOAD_AGE_MS:
            endpoint_view.note_progress(view, now_ms)

    def on_load(self, now_ms: float, host: str, load: Load) -> None:
        """Apply the load from a heartbeat if the last report is old."""
        with self._lock:
            view = self._board.endpoints.get(host)
            if view is None or view.report is None:
                return
            updated = dataclasses.replace(
                view.report,
                running=load.running,
                waiting=load.waiting,
                kv_share=load.cache_permille / 1000,
            )
            # A heartbeat doesn't carry the age of its load, which may be the same
            # measurement as in an earlier report.
            is_newer = now_ms - view.measured_ms > 2 * defaults.REPORT_INTERVAL_MS
            if is_newer:
                age_ms = defaults.REPORT_INTERVAL_MS
                endpoint_view.note_report(view, now_ms, updated, age_ms)

    def note_capacity(self, now_ms: float, configuration: Configuration) -> None:
        """Update the limits from the load reports of the own domain."""
        batch_slots = float(configuration.limits.endpoint_batch_requests)
        with self._lock:
            views = [
                view
                for view in self._board.endpoints.values()
                if view.domain == self._domain and self._is_usable(now_ms, view.host)
            ]
            capacity_per_s = capacities.capacity_per_s(views, batch_slots)
            if capacity_per_s <= 0.0:
                # No engine has reported the duration of a step yet.
                capacity_per_s = defaults.UNKNOWN_CAPACITY_TOKENS_PER_S
            mean_tokens = max(1.0, self._limits.mean_request_cost)
            backlog_ms = capacities.backlog_ms(views, batch_slots, mean_tokens)
            free_share = capacities.free_share(views, batch_slots)
            limits.on_load(now_ms, self._limits, capacity_per_s, backlog_ms, free_share)

    def digest(self, now_ms: float) -> tuple[DemandDigest, float]:
        """Return the demand of this entry and the time until it is sent again."""
        with self._lock:
            digest = limits.digest(now_ms, self._limits)
            return digest, limits.digest_interval_ms(self._limits)

    def on_digest(self, now_ms: float, digest: DemandDigest) -> None:
        """Apply the demand of another entry of the domain."""
        with self._lock:
            limits.on_digest(now_ms, self._limits, digest)


_NOTE_BY_OUTCOME = {
    limits.Outcome.DONE: endpoint_view.note_finished,
    limits.Outcome.FAILED: endpoint_view.note_failure,
    limits.Outcome.CANCELLED: endpoint_view.note_cancelled,
}
