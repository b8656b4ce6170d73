"""What entries tell each other of crashes, within bounds on a heartbeat's size."""

import typing as t

import pydantic

from ..datagram_codec import name_fields
from .crashes import Crash, Served
from .suspects import FORGET_MS, Suspects

MAX_REPORTS: t.Final = 24
"""Most lost calls that one heartbeat reports."""
MAX_REPORTED_PARTS: t.Final = 512
"""Most parts of lost calls that one heartbeat reports, over all of them."""
REPEAT_REPORT_MS: t.Final = 10_000.0
"""Time for which a crash is reported that is weak evidence, and on one prompt only."""
UNKNOWN_AGE_MS: t.Final = -1
"""Stands for the age of an answer if none is known."""


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A crash, as an entry reports it to its peers.

    :param events: events of the answer that had come.
    :param parts: the shared parts of the call that weren't cleared.
    :param own_part: the call's own part.
    :param served_age_ms: for each of ``parts`` and the own part, the time since the
        answer to a call with it had its last event at any entry; -1: none is known.
    :param served_events: for each of these, the events of that answer.
    """

    incarnation: str
    was_answering: bool
    events: int
    sent_age_ms: int
    ended_age_ms: int
    called_age_ms: int
    parts: list[str]
    own_part: str | None
    served_age_ms: list[int]
    served_events: list[int]

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return name_fields(cls, values)


def make_reports(now_ms: float, suspects: Suspects) -> list[CrashReport]:
    """Return the latest crashes, to be reported to the peers."""
    latest = sorted(suspects.crashes.values(), key=lambda crash: -crash.called_ms)
    due = [crash for crash in latest if _is_due(now_ms, crash, suspects)]
    reports: list[CrashReport] = []
    parts_left = MAX_REPORTED_PARTS
    for crash in due[:MAX_REPORTS]:
        if len(crash.parts) <= parts_left:
            reports.append(_report(now_ms, crash, suspects))
            parts_left -= len(crash.parts)
    return reports


def merge(now_ms: float, suspects: Suspects, reports: t.Iterable[CrashReport]) -> bool:
    """Add what a peer has reported.

    :return: whether parts of a crash that is new here have been served here, which the
        peers should know.
    """
    has_news = False
    for report in reports:
        is_new = _merge_crash(now_ms, suspects, report)
        parts = [*report.parts, report.own_part]
        if is_new and not suspects.served.keys().isdisjoint(parts):
            has_news = True
        answers = zip(parts, report.served_age_ms, report.served_events)
        for part, age_ms, events in answers:
            if part is not None and age_ms >= 0:
                suspects.note_served(part, Served(now_ms - age_ms, events))
    return has_news


def _is_due(now_ms: float, crash: Crash, suspects: Suspects) -> bool:
    if crash.was_answering or suspects.suspect_parts(crash):
        return True
    return now_ms - crash.ended_ms < REPEAT_REPORT_MS


def _report(now_ms: float, crash: Crash, suspects: Suspects) -> CrashReport:
    parts = sorted(crash.parts)
    answers = [suspects.served.get(part) for part in (*parts, crash.own_part or "")]
    return CrashReport(
        crash.incarnation,
        crash.was_answering,
        crash.events,
        round(now_ms - crash.sent_ms),
        round(now_ms - crash.ended_ms),
        round(now_ms - crash.called_ms),
        parts,
        crash.own_part,
        [_age_ms(now_ms, answer) for answer in answers],
        [0 if answer is None else answer.events for answer in answers],
    )


def _age_ms(now_ms: float, answer: Served | None) -> int:
    return UNKNOWN_AGE_MS if answer is None else round(now_ms - answer.served_ms)


def _merge_crash(now_ms: float, suspects: Suspects, report: CrashReport) -> bool:
    """Add a reported crash; return whether it is new here."""
    crash = Crash(
        report.incarnation,
        report.was_answering,
        report.events,
        frozenset(report.parts),
        report.own_part,
        now_ms - report.sent_age_ms,
        now_ms - report.ended_age_ms,
        now_ms - report.called_age_ms,
    )
    known = suspects.crashes.get(crash.key)
    if known is not None:
        known.called_ms = max(known.called_ms, crash.called_ms)
        return False
    if now_ms - crash.called_ms > FORGET_MS:
        return False
    suspects.add(crash)
    return True
