"""Evidence on prompt parts that crash endpoints, and the verdict on a call's parts.

A part of a prompt may crash each endpoint that begins to answer it. Calls with such a
part arrive at any entry, so entries tell each other of the crashes that they see, and
which parts of the lost calls have been served since.

An endpoint that crashes takes other calls along. A part is cleared if a call with it
has got the first event of its answer shortly before the crash or after it.
"""

import collections
import dataclasses
import enum
import typing as t

import pydantic

from ..datagram_codec import name_fields
from .directory import Endpoint
from .head_gaps import HeadGaps

CRASHES_TO_REJECT: t.Final = 2
"""Crashes, one after the other, after which calls with a part are rejected."""
SERVED_VALIDITY_MS: t.Final = 30_000.0
"""Time before a crash in which a first event clears a part."""
FORGET_MS: t.Final = 600_000.0
"""Time without a crash or a call after which the evidence on parts is forgotten."""
MAX_CRASHES: t.Final = 64
MAX_SERVED_PARTS: t.Final = 8_192
MAX_REPORTS: t.Final = 16
"""Most crashes that one heartbeat reports."""


class Verdict(enum.Enum):
    """What is known of the parts of a call."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    POISON = "poison"


@dataclasses.dataclass(slots=True)
class Crash:
    """The crash of an endpoint with a call that had no event yet.

    :param incarnation: id and start of the endpoint.
    :param was_answering: whether the endpoint had begun to answer this very call, which
        makes it the cause of the crash.
    :param parts: the call's shared parts that weren't cleared.
    :param sent_ms: time at which the call was sent there.
    :param ended_ms: time at which its connection ended.
    :param called_ms: time of the last call, at any entry, with one of the parts.
    """

    incarnation: str
    was_answering: bool
    parts: frozenset[str]
    sent_ms: float
    ended_ms: float
    called_ms: float


CrashKey = tuple[str, frozenset[str]]


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A crash, as an entry reports it to its peers.

    :param parts: the parts of the call.
    :param served_age_ms: for each part, the time since a call with it had its first
        event at any entry; -1: none is known.
    """

    incarnation: str
    was_answering: bool
    sent_age_ms: int
    ended_age_ms: int
    called_age_ms: int
    parts: list[str]
    served_age_ms: list[int]

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return name_fields(cls, values)


@dataclasses.dataclass
class Suspects:
    """The crashes that are known here, and the parts that have been served.

    :param served_ms: time of the last first event of a call with a part, by part;
        least recent first.
    """

    crashes: dict[CrashKey, Crash] = dataclasses.field(default_factory=dict)
    head_gaps: HeadGaps = dataclasses.field(default_factory=HeadGaps)
    served_ms: collections.OrderedDict[str, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def record_served(self, now_ms: float, parts: t.Iterable[str]) -> bool:
        """Record the first event of a call.

        :return: whether this clears a suspect part.
        """
        is_news = any(crash.parts.intersection(parts) for crash in self._open_crashes())
        for part in parts:
            self._note_served(part, now_ms)
        return is_news

    def record_crash(
        self,
        now_ms: float,
        endpoint: Endpoint,
        sent_ms: float,
        parts: t.Iterable[str],
        has_head: bool,
    ) -> Crash | None:
        """Record the crash of an endpoint with a call that had no event yet.

        :param has_head: whether the head of the answer had come.
        :return: the crash; None if all parts of the call are cleared.
        """
        suspect_parts = frozenset(
            part for part in parts if not self._was_served(part, now_ms)
        )
        if not suspect_parts:
            return None
        was_answering = has_head and self.head_gaps.are_short(endpoint.service)
        crash = Crash(
            endpoint.incarnation, was_answering, suspect_parts, sent_ms, now_ms, now_ms
        )
        self._add(crash)
        return crash

    def judge(self, now_ms: float, parts: t.Iterable[str]) -> Verdict:
        """Return the verdict on a call with these parts.

        The crashes that concern it are remembered for longer.
        """
        verdict = Verdict.CLEAR
        crashes = []
        for crash in self._open_crashes():
            suspect_parts = self._suspect_parts(crash)
            if suspect_parts.isdisjoint(parts):
                continue
            verdict = Verdict.SUSPECT
            crash.called_ms = max(crash.called_ms, now_ms)
            if suspect_parts.issubset(parts):
                crashes.append(crash)
        return Verdict.POISON if _count(crashes) >= CRASHES_TO_REJECT else verdict

    def last_crash(self) -> Crash | None:
        """Return the latest crash that makes a part suspect; None without any."""
        return max(self._open_crashes(), key=lambda crash: crash.ended_ms, default=None)

    def reports(self, now_ms: float) -> list[CrashReport]:
        """Return the latest crashes, to be reported to the peers."""
        latest = sorted(self.crashes.values(), key=lambda crash: -crash.called_ms)
        return [self._report(now_ms, crash) for crash in latest[:MAX_REPORTS]]

    def merge(self, now_ms: float, reports: t.Iterable[CrashReport]) -> bool:
        """Add what a peer has reported.

        :return: whether parts of a crash that is new here have been served here, which
            the peers should know.
        """
        has_news = False
        for report in reports:
            is_new = self._merge_crash(now_ms, report)
            if is_new and not self.served_ms.keys().isdisjoint(report.parts):
                has_news = True
            for part, age_ms in zip(report.parts, report.served_age_ms):
                if age_ms >= 0:
                    self._note_served(part, now_ms - age_ms)
        return has_news

    def expire(self, now_ms: float) -> None:
        """Forget the crashes whose parts haven't been in any call for long."""
        for key, crash in list(self.crashes.items()):
            if now_ms - crash.called_ms > FORGET_MS:
                del self.crashes[key]

    def _merge_crash(self, now_ms: float, report: CrashReport) -> bool:
        crash = Crash(
            report.incarnation,
            report.was_answering,
            frozenset(report.parts),
            now_ms - report.sent_age_ms,
            now_ms - report.ended_age_ms,
            now_ms - report.called_age_ms,
        )
        known = self.crashes.get((crash.incarnation, crash.parts))
        if known is not None:
            known.called_ms = max(known.called_ms, crash.called_ms)
            return False
        if not crash.parts or now_ms - crash.called_ms > FORGET_MS:
            return False
        self._add(crash)
        return True

    def _add(self, crash: Crash) -> None:
        self.crashes.setdefault((crash.incarnation, crash.parts), crash)
        if len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes, key=lambda key: self.crashes[key].called_ms)
            del self.crashes[oldest]

    def _report(self, now_ms: float, crash: Crash) -> CrashReport:
        parts = sorted(crash.parts)
        return CrashReport(
            crash.incarnation,
            crash.was_answering,
            round(now_ms - crash.sent_ms),
            round(now_ms - crash.ended_ms),
            round(now_ms - crash.called_ms),
            parts,
            [self._served_age_ms(now_ms, part) for part in parts],
        )

    def _served_age_ms(self, now_ms: float, part: str) -> int:
        served_ms = self.served_ms.get(part)
        return -1 if served_ms is None else round(now_ms - served_ms)

    def _note_served(self, part: str, served_ms: float) -> None:
        self.served_ms[part] = max(served_ms, self.served_ms.get(part, served_ms))
        self.served_ms.move_to_end(part)
        if len(self.served_ms) > MAX_SERVED_PARTS:
            self.served_ms.popitem(last=False)

    def _was_served(self, part: str, crashed_ms: float) -> bool:
        served_ms = self.served_ms.get(part)
        return served_ms is not None and served_ms > crashed_ms - SERVED_VALIDITY_MS

    def _suspect_parts(self, crash: Crash) -> frozenset[str]:
        return frozenset(
            part for part in crash.parts if not self._was_served(part, crash.ended_ms)
        )

    def _open_crashes(self) -> t.Iterator[Crash]:
        """Yield the crashes that still make a part suspect.

        If an endpoint was answering one of the calls that it took along, the others
        aren't the cause.
        """
        suspect = [one for one in self.crashes.values() if self._suspect_parts(one)]
        explained = {one.incarnation for one in suspect if one.was_answering}
        return (
            crash
            for crash in suspect
            if crash.was_answering or crash.incarnation not in explained
        )


def _count(crashes: t.Sequence[Crash]) -> int:
    """Return how many crashes came one after the other.

    A crash whose endpoint was answering the very call counts as CRASHES_TO_REJECT.
    Several endpoints that crash at once, as those of one failure domain do, count as
    one: a call counts only if it was sent after the crash before.
    """
    if any(crash.was_answering for crash in crashes):
        return CRASHES_TO_REJECT
    found = 0
    last_ms = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.ended_ms):
        if crash.sent_ms >= last_ms:
            found += 1
            last_ms = crash.ended_ms
    return found
