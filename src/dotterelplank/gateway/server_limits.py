"""Limits that servers name in their answers, on the requests from all entries together.

A server in need names how many requests a second it takes. Entries tell each other of
these limits, and that a limit has ended.
"""

import dataclasses
import typing as t

import pydantic

from ..datagram_codec import name_fields

NO_LIMIT: t.Final = -1.0
ENDED_LIMIT_TTL_MS: t.Final = 10_000.0
"""Time for which peers are told that a limit has ended."""
MAX_REPORTS: t.Final = 64
"""Most limits that one heartbeat reports."""


@dataclasses.dataclass(slots=True)
class ServerLimit:
    """The limit that a server has named last.

    :param per_s: requests a second from all entries; NO_LIMIT: its last answer named
        none.
    :param answered_ms: time of its last answer at any entry.
    """

    per_s: float
    answered_ms: float


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """A server's limit, as an entry reports it to its peers.

    :param incarnation: id and start of the server.
    :param answered_age_ms: time since its last answer at any entry.
    """

    incarnation: str
    per_s: float
    answered_age_ms: int

    @pydantic.model_validator(mode="before")
    @classmethod
    def _by_position(cls, values: t.Any) -> t.Any:
        return name_fields(cls, values)


@dataclasses.dataclass
class ServerLimits:
    """The limits of servers, by their incarnation."""

    limits: dict[str, ServerLimit] = dataclasses.field(default_factory=dict)

    def record_answer(
        self, now_ms: float, incarnation: str, per_s: float | None
    ) -> bool:
        """Record the limit that an answer names.

        :param per_s: the limit; None: the answer names none.
        :return: whether the limit has changed.
        """
        if per_s is None and incarnation not in self.limits:
            return False
        return self._set(incarnation, NO_LIMIT if per_s is None else per_s, now_ms)

    def merge(self, now_ms: float, reports: t.Iterable[LimitReport]) -> t.Sequence[str]:
        """Add what a peer has reported; return the servers whose limit has changed."""
        return [
            report.incarnation
            for report in reports
            if self._set(
                report.incarnation, report.per_s, now_ms - report.answered_age_ms
            )
        ]

    def reports(self, now_ms: float) -> list[LimitReport]:
        """Return the limits to be reported to the peers, the latest first."""
        latest = sorted(self.limits.items(), key=lambda item: -item[1].answered_ms)
        return [
            LimitReport(name, limit.per_s, round(now_ms - limit.answered_ms))
            for name, limit in latest[:MAX_REPORTS]
        ]

    def keep_only(self, present: t.Collection[str]) -> None:
        """Forget the limits of servers that aren't listed any more."""
        for incarnation in self.limits.keys() - set(present):
            del self.limits[incarnation]

    def expire(self, now_ms: float) -> None:
        """Forget limits that ended a while ago."""
        for incarnation, limit in list(self.limits.items()):
            age_ms = now_ms - limit.answered_ms
            if limit.per_s == NO_LIMIT and age_ms > ENDED_LIMIT_TTL_MS:
                del self.limits[incarnation]

    def _set(self, incarnation: str, per_s: float, answered_ms: float) -> bool:
        known = self.limits.get(incarnation)
        if known is not None and known.answered_ms >= answered_ms:
            return False
        before = NO_LIMIT if known is None else known.per_s
        self.limits[incarnation] = ServerLimit(per_s, answered_ms)
        return before != per_s
