"""Evidence on prompts that crash endpoints, and the verdict on a call's prompt.

A part of a prompt, or one prompt as a whole, may crash each endpoint that begins to
answer it. Calls with such a part, and repeats of such a prompt, arrive at any entry, so
entries tell each other of the crashes that they see, and which parts of the lost calls
have been served since.

An endpoint that crashes takes other calls along, and may crash at any stage of the
answer. A part is cleared if an answer to a call with it, shortly before the crash or
after it, came to its end or went on well past the stage of the crash.
"""

import collections
import dataclasses
import enum
import typing as t

from .crashes import (
    COMPLETE_EVENTS,
    SERVED_VALIDITY_MS,
    Crash,
    CrashKey,
    Prompt,
    Served,
    further,
    weight,
)
from .directory import Endpoint
from .head_gaps import HeadGaps

LIKELY_WEIGHT: t.Final = 2
"""Weight of the crashes from which calls with a part are refused until a trial."""
PROVEN_WEIGHT: t.Final = 4
"""Weight from which callers needn't come back."""
TRIAL_WAITS_MS: t.Final = {2: 10_000.0, 3: 40_000.0}
"""Time from a crash until one call with its parts is tried again, by the weight.

Each trial may cost a crash. The users allow five crashes in all before they count.
"""
MAX_TRIAL_WAIT_MS: t.Final = 600_000.0
FORGET_MS: t.Final = 600_000.0
"""Time without a crash or a call after which the evidence on parts is forgotten."""
MAX_CRASHES: t.Final = 256
"""Most lost calls that are remembered; one crash may lose several."""
MAX_SERVED_PARTS: t.Final = 16_384
MAX_SUSPECT_PARTS: t.Final = 8_192
"""Most parts of lost calls that are remembered, over all of them."""


class Verdict(enum.Enum):
    """What is known of the parts of a call.

    Calls with SUSPECT parts are sent one at a time. Calls whose parts are LIKELY to
    crash endpoints, or PROVEN to, aren't sent until a trial is due.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    LIKELY = "likely"
    PROVEN = "proven"


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """The verdict on a call's parts.

    :param retry_ms: time until a call with these parts may be tried; 0: now.
    """

    verdict: Verdict
    retry_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class _Evidence:
    """The crashes that concern a prompt.

    :param related: those with a suspect part that the prompt has too.
    :param matching: those of them whose suspect parts the prompt has all.
    :param repeats: those whose lost call had the same own part.
    """

    related: list[Crash] = dataclasses.field(default_factory=list)
    matching: list[Crash] = dataclasses.field(default_factory=list)
    repeats: list[Crash] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Suspects:
    """The crashes that are known here, and the parts that have been served.

    :param served: the answer to a call with a part that came furthest of late, by part;
        least recent first.
    """

    crashes: dict[CrashKey, Crash] = dataclasses.field(default_factory=dict)
    head_gaps: HeadGaps = dataclasses.field(default_factory=HeadGaps)
    served: collections.OrderedDict[str, Served] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def record_served(
        self, now_ms: float, prompt: Prompt, events: int = COMPLETE_EVENTS
    ) -> bool:
        """Record how far the answer to a call has come.

        :param events: number of its events; COMPLETE_EVENTS: it came to its end.
        :return: whether this clears a suspect part.
        """
        suspect_before = self._suspects_among(prompt)
        for part in prompt.shared:
            self.note_served(part, Served(now_ms, events))
        own_parts = {crash.own_part for crash in self.crashes.values()}
        if prompt.own is not None and prompt.own in own_parts:
            self.note_served(prompt.own, Served(now_ms, events))
        return bool(suspect_before) and suspect_before != self._suspects_among(prompt)

    def record_crash(
        self,
        now_ms: float,
        endpoint: Endpoint,
        sent_ms: float,
        prompt: Prompt,
        has_head: bool,
        events: int = 0,
    ) -> Crash | None:
        """Record the crash of an endpoint with a call that it had got.

        :param has_head: whether the head of the answer had come.
        :param events: events of the answer that had come.
        :return: the crash; None if all parts of the call are cleared.
        """
        is_between = has_head and not events
        crash = Crash(
            incarnation=endpoint.incarnation,
            was_answering=is_between and self.head_gaps.are_short(endpoint.service),
            events=events,
            parts=frozenset(prompt.shared),
            own_part=prompt.own,
            sent_ms=sent_ms,
            ended_ms=now_ms,
            called_ms=now_ms,
        )
        crash.parts = self.suspect_parts(crash)
        if not self._is_open(crash):
            return None
        self.add(crash)
        return crash

    def judge(self, now_ms: float, prompt: Prompt) -> Judgement:
        """Return the verdict on a call with this prompt.

        The crashes that concern it are remembered for longer.
        """
        evidence = self._evidence_on(prompt)
        for crash in (*evidence.related, *evidence.repeats):
            crash.called_ms = max(crash.called_ms, now_ms)
        for crashes in (evidence.matching, evidence.repeats):
            if (retry_ms := _trial_due_ms(crashes) - now_ms) > 0:
                is_proven = weight(crashes) >= PROVEN_WEIGHT
                verdict = Verdict.PROVEN if is_proven else Verdict.LIKELY
                return Judgement(verdict, retry_ms)
        if weight(evidence.related) or weight(evidence.repeats) >= LIKELY_WEIGHT:
            return Judgement(Verdict.SUSPECT)
        return Judgement(Verdict.CLEAR)

    def _evidence_on(self, prompt: Prompt) -> _Evidence:
        evidence = _Evidence()
        if not self._is_concerned(prompt):
            return evidence
        shared_parts = frozenset(prompt.shared)
        for crash in self._open_crashes():
            suspect_parts = self.suspect_parts(crash)
            if not suspect_parts.isdisjoint(shared_parts):
                evidence.related.append(crash)
                if suspect_parts.issubset(shared_parts):
                    evidence.matching.append(crash)
            if crash.own_part == prompt.own and self._is_own_part_suspect(crash):
                evidence.repeats.append(crash)
        return evidence

    def last_crash(self) -> Crash | None:
        """Return the latest crash that makes a part suspect; None without any."""
        return max(self._open_crashes(), key=lambda crash: crash.ended_ms, default=None)

    def expire(self, now_ms: float) -> None:
        """Forget the crashes whose parts haven't been in any call for long."""
        for key, crash in list(self.crashes.items()):
            if now_ms - crash.called_ms > FORGET_MS:
                del self.crashes[key]

    def add(self, crash: Crash) -> None:
        """Remember a crash, and forget the ones called least recently if too many."""
        self.crashes.setdefault(crash.key, crash)
        while len(self.crashes) > 1 and self._is_full():
            oldest = min(self.crashes, key=lambda key: self.crashes[key].called_ms)
            del self.crashes[oldest]

    def _is_full(self) -> bool:
        if len(self.crashes) > MAX_CRASHES:
            return True
        return sum(len(one.parts) for one in self.crashes.values()) > MAX_SUSPECT_PARTS

    def note_served(self, part: str, answer: Served) -> None:
        """Record how far an answer to a call with a part came, here or at a peer."""
        known = self.served.get(part)
        self.served[part] = answer if known is None else further(known, answer)
        self.served.move_to_end(part)
        if len(self.served) > MAX_SERVED_PARTS:
            self.served.popitem(last=False)

    def _was_cleared(self, part: str, crash: Crash) -> bool:
        answer = self.served.get(part)
        if answer is None or answer.events < crash.clearing_events:
            return False
        return answer.served_ms > crash.ended_ms - SERVED_VALIDITY_MS

    def suspect_parts(self, crash: Crash) -> frozenset[str]:
        """Return the shared parts of a lost call that no answer has cleared."""
        return frozenset(
            part for part in crash.parts if not self._was_cleared(part, crash)
        )

    def _is_concerned(self, prompt: Prompt) -> bool:
        """Return whether any crash may concern a prompt; mostly none does."""
        return any(crash.concerns(prompt) for crash in self.crashes.values())

    def _is_open(self, crash: Crash) -> bool:
        """Return whether a crash makes anything in the prompt of its call suspect."""
        return bool(self.suspect_parts(crash)) or self._is_own_part_suspect(crash)

    def _is_own_part_suspect(self, crash: Crash) -> bool:
        own_part = crash.own_part
        return own_part is not None and not self._was_cleared(own_part, crash)

    def _suspects_among(self, prompt: Prompt) -> t.Collection[str]:
        """Return those parts of a prompt that a crash makes suspect."""
        found: set[str] = set()
        if not self._is_concerned(prompt):
            return found
        for crash in self._open_crashes():
            found |= self.suspect_parts(crash).intersection(prompt.shared)
            if crash.own_part == prompt.own and self._is_own_part_suspect(crash):
                found.add(t.cast(str, crash.own_part))
        return found

    def _open_crashes(self) -> t.Iterator[Crash]:
        """Yield the crashes that still make a part suspect.

        If an endpoint was answering one of the calls that it took along, the others
        aren't the cause.
        """
        suspect = [one for one in self.crashes.values() if self._is_open(one)]
        explained = {one.incarnation for one in suspect if one.was_answering}
        return (
            crash
            for crash in suspect
            if crash.was_answering or crash.incarnation not in explained
        )


def _trial_due_ms(crashes: t.Sequence[Crash]) -> float:
    """Return when a call with the parts of all these crashes may be tried again."""
    found = weight(crashes)
    if found < LIKELY_WEIGHT:
        return 0.0
    last_ms = max(crash.ended_ms for crash in crashes)
    return last_ms + TRIAL_WAITS_MS.get(found, MAX_TRIAL_WAIT_MS)
