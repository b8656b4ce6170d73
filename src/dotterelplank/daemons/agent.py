"""The agent: the only process that sends requests to the endpoint on its host."""

import hashlib
import logging
import threading
import time

from .. import defaults, events, results
from ..clocks import monotonic_ms
from ..config.settings import AgentSettings
from ..errors import LinkClosedError, UpstreamError
from ..links.endpoint_calls import EndpointClient, EndpointLoad
from ..links.link_server import Handlers
from ..links.links import Link
from ..links.messages import (
    Cancel,
    Credit,
    ExpertsLoaded,
    LoadExperts,
    MapFrame,
    Message,
    RankSample,
    Report,
    SampleTaken,
    Submit,
)
from ..maps.driver import GroupConfiguration, Hooks, MapDriver
from ..members.messages import Load
from ..results import Result
from ..threads import WorkerPool, start_thread
from . import answers, jobs, ledger as ledgers
from .answers import Job, JobOutcome
from .daemon import Daemon
from .jobs import AgentState
from .ledger import Ledger
from .tickets import Ticket

log = logging.getLogger(__name__)


class Agent:
    """The state, threads and links of one agent process."""

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self.daemon = Daemon(settings, "agent", self._handlers(), self.in_flight)
        self._is_model = settings.endpoint_kind == "model"
        identity = self.daemon.identity
        now_ms = monotonic_ms()
        ledger = Ledger(identity.host, identity.incarnation, epoch_started_ms=now_ms)
        self.state = AgentState(ledger, identity.secret, slots=settings.slots)
        self._lock = threading.Lock()
        self._jobs: dict[tuple[Link, int], Job] = {}
        self._client = EndpointClient(settings.endpoint_url, settings.slots)
        self._workers = WorkerPool("job")
        self._load = EndpointLoad()
        self._load_read_ms = now_ms
        self._report_sequence = 0
        self._maps: MapDriver | None = None
        self._next_report_ms = now_ms
        self._next_load_ms = now_ms
        self._idle = threading.Condition(self._lock)

    def _handlers(self) -> Handlers:
        return Handlers(
            on_ready=self._on_ready,
            on_message=self._on_message,
            on_closed=self._on_closed,
            on_tick=self._on_tick,
            on_datagram=lambda *arguments: self.daemon.on_datagram(*arguments),
            on_pause=self._on_pause,
            epoch=lambda: self.state.ledger.epoch,
        )

    def start(self) -> None:
        """Start to serve entries and, for a model endpoint, to read its load."""
        self.daemon.start()
        if self._is_model:
            start_thread("load", self._watch_load)

    def stop(self) -> bool:
        """Shut down gracefully: accept no new request, then finish those in progress.

        :returns: whether all requests ended within the stop bound.
        """
        self.daemon.begin_stop()
        with self._lock:
            self.state.is_leaving = True
        self.daemon.links.call(lambda: self._send_reports(monotonic_ms()))
        # The process stays up during the notice: after a restart, the agent could not
        # tell whether a ticket issued just before the stop had been used.
        time.sleep(self._settings.leave_notice_ms / 1000)
        is_finished = self._wait_idle(self._settings.stop_bound_ms)
        if not is_finished:
            self._abort_jobs()
        self.daemon.finish_stop()
        return is_finished

    def in_flight(self) -> int:
        """Return how many requests hold a slot."""
        return self.state.running

    def _wait_idle(self, bound_ms: float) -> bool:
        with self._idle:
            return self._idle.wait_for(
                lambda: self.state.running == 0, timeout=bound_ms / 1000
            )

    def _abort_jobs(self) -> None:
        with self._lock:
            unfinished = list(self._jobs.values())
        events.emit(log, events.STOP_BOUND_REACHED, requests_cut=len(unfinished))
        for job in unfinished:
            self._send_refusal(job, results.STOP_BOUND)
            self._abandon(job)

    def _on_ready(self, link: Link) -> None:
        self.daemon.on_ready(link)
        self._send_report(link, monotonic_ms())

    def _on_message(self, link: Link, message: Message) -> None:
        match message:
            case Submit():
                self._on_submit(link, message)
            case Cancel(request_id):
                self._on_cancel(link, request_id)
            case Credit(request_id, size_bytes):
                job = self._jobs.get((link, request_id))
                if job is not None:
                    job.add_credit(size_bytes)
            case MapFrame():
                if self._maps is not None:
                    self._maps.on_frame(link, message)
            case RankSample() | SampleTaken() | LoadExperts() | ExpertsLoaded():
                if self._maps is not None:
                    self._maps.on_group_message(link, message)
            case _:
                self.daemon.on_message(link, message)

    def _on_closed(self, link: Link, dialled: str | None) -> None:
        self.daemon.on_closed(link, dialled)
        with self._lock:
            orphans = [job for (owner, _), job in self._jobs.items() if owner is link]
        for job in orphans:
            # A request under a ticket continues: its caller may ask for the answer
            # again over another link.
            if job.ticket is None:
                self._workers.submit(self._stop_job, job)

    def _on_pause(self, late_ms: float) -> None:
        self.daemon.links.abort_all()

    def _on_tick(self, now_ms: float) -> None:
        self.daemon.on_tick(now_ms)
        own_host = self.daemon.own_host()
        with self._lock:
            ledgers.advance(now_ms, self.state.ledger, self.state.ledger_policy)
            if own_host is not None and own_host.is_leaving:
                self.state.is_leaving = True
        if now_ms >= self._next_report_ms:
            links = self.daemon.entry_links()
            self._next_report_ms = now_ms + report_interval_ms(len(links))
            self._send_reports(now_ms)
        if now_ms >= self._next_load_ms:
            self._next_load_ms = now_ms + defaults.REPORT_INTERVAL_MS
            self._announce_load(now_ms)

        self._drive_maps(now_ms)

    def _announce_load(self, now_ms: float) -> None:
        """Put the load into the next heartbeats, unless it is too old."""
        if self._load_age_ms(now_ms) > defaults.MAX_LOAD_AGE_MS:
            return
        load = self._load
        running = load.running if self._is_model else self.state.running
        announced = Load(running, load.waiting, round(load.kv_used_share * 1000))
        self.daemon.coordination.note_load(now_ms, announced)

    def _drive_maps(self, now_ms: float) -> None:
        """Drive the map changes of this host's rank group, if it belongs to one."""
        current = self.daemon.board.configuration
        if current.configuration is None:
            return
        group = current.configuration.rank_group_of(self._settings.host)
        group_configuration = None
        if group is not None:
            group_configuration = GroupConfiguration(
                group, current.revision, current.configuration.skew_weight
            )
        if group_configuration is not None and self._maps is None:
            self._maps = self._new_driver(group_configuration)
        if self._maps is None:
            return
        if group_configuration is not None and group is not self._maps.group:
            self._maps.configure(group_configuration)
        self._maps.on_tick(now_ms)

    def _new_driver(self, group_configuration: GroupConfiguration) -> MapDriver:
        daemon = self.daemon
        return MapDriver(
            self._settings.host,
            daemon.identity.incarnation,
            group_configuration,
            self._client,
            daemon.links,
            Hooks(daemon.link_to, monotonic_ms, daemon.superseded.set),
        )

    def _send_reports(self, now_ms: float) -> None:
        for link in self.daemon.entry_links():
            self._send_report(link, now_ms)

    def _send_report(self, link: Link, now_ms: float) -> None:
        self._report_sequence += 1
        load = self._load
        report = Report(
            self._report_sequence,
            self.state.is_leaving,
            self.state.ledger.epoch,
            load.running if self._is_model else self.state.running,
            load.waiting,
            load.kv_used_share,
            load.step_ms,
            self._load_age_ms(now_ms),
        )
        try:
            link.send(report)
        except LinkClosedError:
            return

    def _load_age_ms(self, now_ms: float) -> float:
        if not self._is_model:
            return 0.0
        return now_ms - self._load_read_ms + self._load.measured_ms_ago

    def _watch_load(self) -> None:
        while not self.daemon.stopped.wait(defaults.REPORT_INTERVAL_MS / 1000):
            try:
                self._load = self._client.load()
                self._load_read_ms = monotonic_ms()
            except UpstreamError as error:
                events.emit(log, events.ENDPOINT_FAILED, reason=str(error))

    def _on_submit(self, link: Link, submit: Submit) -> None:
        key = (link, submit.request_id)
        if key in self._jobs:
            link.abort()
            return
        digest = _request_digest(submit)
        with self._lock:
            decision = jobs.accept(monotonic_ms(), self.state, submit, digest)
            if isinstance(decision, jobs.Start):
                job = Job(link, submit, decision.ticket, self._job_name(link, submit))
                self._jobs[key] = job
        try:
            match decision:
                case jobs.Start():
                    self._workers.submit(self._run, key, job, monotonic_ms())
                case jobs.SendAnswer(answer):
                    answers.send_answer(link, submit.request_id, answer)
                case jobs.Reject(result, wait_ms):
                    answers.send_refusal(link, submit.request_id, result, wait_ms)
        except LinkClosedError:
            return

    def _job_name(self, link: Link, submit: Submit) -> str:
        if submit.ticket:
            return hashlib.sha256(submit.ticket).hexdigest()[:32]
        return f"{link.peer.host}-{link.peer.incarnation}-{submit.request_id}"

    def _run(self, key: tuple[Link, int], job: Job, accepted_ms: float) -> None:
        started_ms = monotonic_ms()
        self.daemon.metrics.timing("queueing").observe(started_ms - accepted_ms)
        try:
            with self.daemon.tracer.span("agent", job.submit.traceparent) as span:
                outcome = self._call(job, span.traceparent)
                span.note("result", outcome.result.name)
            self._finish(job, outcome)
        except Exception:
            events.emit(log, events.REQUEST_FAILED, job=job.name)
            log.exception("job failed")
            self._finish(job, JobOutcome(results.ENDPOINT_LOST))
        finally:
            with self._idle:
                del self._jobs[key]
                jobs.release_slot(self.state)
                self._idle.notify_all()
            self.daemon.metrics.observe_job(monotonic_ms() - started_ms)

    def _call(self, job: Job, traceparent: str) -> JobOutcome:
        with self._lock:
            if not jobs.may_send(job.progress):
                return JobOutcome(results.DEADLINE_BEFORE_START)
        timeout_ms = job.submit.deadline_ms
        if job.ticket is not None:
            # The caller may ask for the answer again after its own deadline.
            timeout_ms = max(timeout_ms, defaults.TICKET_CALL_TIMEOUT_MS)
        if job.submit.stream and self._is_model:
            outcome = answers.stream(job, self._client, traceparent, timeout_ms)
        else:
            outcome = answers.collect(job, self._client, traceparent, timeout_ms)
        return answers.classify_model_answer(outcome) if self._is_model else outcome

    def _finish(self, job: Job, outcome: JobOutcome) -> None:
        if job.ticket is not None:
            self._record_outcome(job.ticket, outcome)
        if outcome.answer is not None:
            self._send_answer(job, outcome)
        elif outcome.result is not results.DONE:
            self._send_refusal(job, outcome.result)

    def _record_outcome(self, ticket: Ticket, outcome: JobOutcome) -> None:
        now_ms = monotonic_ms()
        with self._lock:
            jobs.record_outcome(
                now_ms, self.state, ticket, outcome.result, outcome.answer
            )

    def _send_answer(self, job: Job, outcome: JobOutcome) -> None:
        try:
            answers.send_answer(job.link, job.submit.request_id, outcome.answer)
        except LinkClosedError:
            return

    def _send_refusal(self, job: Job, result: Result) -> None:
        wait_ms = defaults.RETRY_AFTER_MS
        try:
            answers.send_refusal(job.link, job.submit.request_id, result, wait_ms)
        except LinkClosedError:
            return

    def _on_cancel(self, link: Link, request_id: int) -> None:
        job = self._jobs.get((link, request_id))
        if job is None:
            return
        if self._abandon(job) and self._is_model:
            self._workers.submit(self._stop_job, job)

    def _abandon(self, job: Job) -> bool:
        """Cancel ``job`` and return whether the endpoint may have received it."""
        with self._lock:
            may_be_held = jobs.cancel(job.progress)
        job.cancel()
        return may_be_held

    def _stop_job(self, job: Job) -> None:
        self._abandon(job)
        if self._is_model and self._client.cancel(job.name):
            self._send_refusal(job, results.DEADLINE_BEFORE_START)


def report_interval_ms(entries: int) -> float:
    """Return the time between two reports to each of ``entries`` entries.

    The interval grows with the number of entries, so that the number of reports that
    an agent sends per second stays bounded.
    """
    return max(defaults.REPORT_INTERVAL_MS, defaults.REPORT_SPACING_MS * entries)


def _request_digest(submit: Submit) -> bytes:
    digest = hashlib.sha256()
    for part in (submit.target, submit.method, submit.path):
        digest.update(part.encode() + b"\0")
    digest.update(submit.body)
    return digest.digest()
