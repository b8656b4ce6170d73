"""Crashes of endpoints with calls in progress, and how far answers to others came."""

import dataclasses
import typing as t

SERVED_VALIDITY_MS: t.Final = 30_000.0
"""Time before a crash in which an answer clears a part."""
EARLY_EVENTS: t.Final = 2
"""Events of a lost answer up to which one crash makes the parts of its call suspect."""
COMPLETE_EVENTS: t.Final = 2**31 - 1
"""Stands for the events of an answer that came to its end."""
CONCLUSIVE_WEIGHT: t.Final = 3
"""Weight of a crash whose endpoint was answering the very call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The parts of a call's prompt, by their ids.

    :param shared: parts that other calls may share.
    :param own: the last part; calls with the same one are repeats of each other, or of
        one session. None: no parts are known.
    """

    shared: tuple[str, ...] = ()
    own: str | None = None


@dataclasses.dataclass(slots=True)
class Crash:
    """The crash of an endpoint with a call that it was answering, or was to answer.

    :param incarnation: id and start of the endpoint.
    :param events: events of the answer that had come.
    :param was_answering: whether the endpoint had begun to answer this very call, which
        makes it the cause of the crash.
    :param parts: the call's shared parts that weren't cleared.
    :param own_part: the call's own part.
    :param sent_ms: time at which the call was sent there.
    :param ended_ms: time at which its connection ended.
    :param called_ms: time of the last call, at any entry, with one of the parts.
    """

    incarnation: str
    was_answering: bool
    events: int
    parts: frozenset[str]
    own_part: str | None
    sent_ms: float
    ended_ms: float
    called_ms: float

    @property
    def key(self) -> "CrashKey":
        """What tells this crash from others, and its call from others lost in it."""
        return self.incarnation, self.parts, self.own_part

    def concerns(self, prompt: Prompt) -> bool:
        """Return whether the lost call's prompt has a part in common with another."""
        if self.own_part is not None and self.own_part == prompt.own:
            return True
        return not self.parts.isdisjoint(prompt.shared)

    @property
    def is_early(self) -> bool:
        """Whether the answer had only just begun, if at all."""
        return self.events <= EARLY_EVENTS

    @property
    def clearing_events(self) -> int:
        """The events of another answer that show that a part wasn't the cause."""
        return 2 * self.events + 3


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """How far the answer to a call with a part has come.

    :param served_ms: time of its last event.
    :param events: number of its events; COMPLETE_EVENTS: it came to its end.
    """

    served_ms: float
    events: int


CrashKey = tuple[str, frozenset[str], str | None]


def further(one: Served, other: Served) -> Served:
    """Return the answer that came further, or the later one if they are far apart."""
    earlier, later = sorted((one, other), key=lambda answer: answer.served_ms)
    if later.served_ms - earlier.served_ms > SERVED_VALIDITY_MS:
        return later
    return earlier if earlier.events > later.events else later


def weight(crashes: t.Sequence[Crash]) -> int:
    """Return how strongly crashes point to the parts that their calls share.

    It is the number of crashes that came one after the other: several endpoints that
    crash at once, as those of one failure domain do, count as one, so a call counts
    only if it was sent after the crash before. A crash whose endpoint was answering the
    very call counts as CONCLUSIVE_WEIGHT. If all answers had gone on for some events,
    one crash is no evidence.
    """
    found = 0
    last_ms = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.ended_ms):
        if crash.sent_ms >= last_ms:
            found += CONCLUSIVE_WEIGHT if crash.was_answering else 1
            last_ms = crash.ended_ms
    has_early = any(crash.is_early for crash in crashes)
    return found if has_early else max(0, found - 1)
