"""How much work each endpoint has, from one's own calls and from what peers tell."""

import collections
import dataclasses
import typing as t

SILENT_PEER_MS: t.Final = 1_500.0
"""After this silence a peer's calls no longer count."""
AVOID_FIRST_MS: t.Final = 200.0
AVOID_LONGEST_MS: t.Final = 1_000.0
TRIAL_MS: t.Final = 50.0
"""How long others wait for the call that shows whether an endpoint is back."""
TRIAL_LAPSE_MS: t.Final = 500.0
"""After this one more call is sent to show it, as the first may hang."""
FAILURES_IN_A_ROW: t.Final = 2
"""Calls that an endpoint answers with a failure before it is avoided."""
FULL_MS: t.Final = 40.0
"""How long an endpoint that said it is full is passed over."""
SMOOTHING: t.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """What a peer has told of its calls.

    :param in_flight: its calls at each endpoint, by id; endpoints with none left out.
    :param waiting: its calls that wait for a place, by service.
    """

    in_flight: t.Mapping[str, int]
    waiting: t.Mapping[str, int]
    heard_ms: float


NO_LOAD: t.Final = PeerLoad({}, {}, 0.0)


@dataclasses.dataclass(slots=True)
class Avoided:
    """An endpoint or a group that failed calls.

    :param failures: failures in a row.
    :param until_ms: time up to which nothing is sent there.
    :param tried_ms: when a call was sent there after that time; until it is answered
        no other is sent for a while. None: there is no such call.
    """

    failures: int = 0
    until_ms: float = 0.0
    tried_ms: float | None = None


@dataclasses.dataclass
class Loads:
    """The calls in progress, everywhere.

    :param own: this entry's calls at each endpoint.
    :param others: the peers' calls at each endpoint, summed.
    :param stumbles: failures in a row that endpoints answered with.
    :param hold_ms: how long a call of a service holds its place, smoothed.
    :param first_ms: time from the send of a call of a service to the first part of its
        answer, smoothed.
    """

    own: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    others: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    others_waiting: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    avoided: dict[str, Avoided] = dataclasses.field(default_factory=dict)
    stumbles: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    hold_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    first_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def of(self, endpoint_id: str) -> int:
        """Return the calls in progress at an endpoint."""
        return self.own[endpoint_id] + self.others[endpoint_id]

    def hear(self, peer: str, load: PeerLoad) -> None:
        """Take in what a peer tells."""
        self._replace(self.peers.get(peer, NO_LOAD), load)
        self.peers[peer] = load

    def expire(self, now_ms: float) -> t.Sequence[str]:
        """Forget the calls of silent peers, and return these."""
        silent = [
            peer
            for peer, load in self.peers.items()
            if now_ms - load.heard_ms > SILENT_PEER_MS
        ]
        for peer in silent:
            self._forget(peer)
        return silent

    def begin(self, endpoint_id: str) -> None:
        """Count a call that is about to be sent."""
        self.own[endpoint_id] += 1

    def end(self, endpoint_id: str) -> None:
        """Count a call that is over."""
        self.own[endpoint_id] -= 1
        if self.own[endpoint_id] <= 0:
            del self.own[endpoint_id]

    def held(self, service: str, duration_ms: float) -> None:
        """Take in how long a call held its place."""
        _smooth(self.hold_ms, service, duration_ms)

    def began(self, service: str, duration_ms: float) -> None:
        """Take in how long the first part of an answer took from the send on."""
        _smooth(self.first_ms, service, duration_ms)

    def failed(self, now_ms: float, name: str) -> float:
        """Avoid an endpoint or group, longer each time; return for how long."""
        avoided = self.avoided.setdefault(name, Avoided())
        avoided.tried_ms = None
        if now_ms >= avoided.until_ms:
            avoided.failures += 1
            pause_ms = AVOID_FIRST_MS * 2 ** (avoided.failures - 1)
            avoided.until_ms = now_ms + min(pause_ms, AVOID_LONGEST_MS)
        return avoided.until_ms - now_ms

    def stumbled(self, now_ms: float, endpoint_id: str) -> float:
        """Take in an answer that is a failure; return for how long to avoid it.

        Some calls fail anywhere, so one failure says little of an endpoint.
        """
        self.stumbles[endpoint_id] += 1
        if self.stumbles[endpoint_id] < FAILURES_IN_A_ROW:
            return 0.0
        return self.failed(now_ms, endpoint_id)

    def full(self, now_ms: float, name: str) -> None:
        """Pass over an endpoint that has no room for a moment."""
        avoided = self.avoided.setdefault(name, Avoided())
        avoided.until_ms = max(avoided.until_ms, now_ms + FULL_MS)

    def try_again(self, now_ms: float, name: str) -> None:
        """Note that a call is about to show whether an endpoint or group is back."""
        avoided = self.avoided.get(name)
        if avoided is not None and avoided.failures:
            avoided.tried_ms = now_ms

    def end_trial(self, name: str) -> None:
        """Note that such a call has ended without showing it."""
        avoided = self.avoided.get(name)
        if avoided is not None:
            avoided.tried_ms = None

    def succeeded(self, name: str) -> None:
        """Trust an endpoint or group again."""
        self.avoided.pop(name, None)
        self.stumbles.pop(name, None)

    def avoided_for_ms(self, now_ms: float, name: str) -> float:
        """Return for how much longer an endpoint or group is avoided."""
        avoided = self.avoided.get(name)
        if avoided is None:
            return 0.0
        tried_ms = avoided.tried_ms
        if tried_ms is not None and now_ms - tried_ms < TRIAL_LAPSE_MS:
            return max(TRIAL_MS, avoided.until_ms - now_ms)
        return max(0.0, avoided.until_ms - now_ms)

    def _forget(self, peer: str) -> None:
        self._replace(self.peers.pop(peer, NO_LOAD), NO_LOAD)

    def _replace(self, before: PeerLoad, after: PeerLoad) -> None:
        _replace(self.others, before.in_flight, after.in_flight)
        _replace(self.others_waiting, before.waiting, after.waiting)


def _replace(
    total: collections.Counter[str],
    before: t.Mapping[str, int],
    after: t.Mapping[str, int],
) -> None:
    """Take one part out of a sum and put another in; names at 0 are left out."""
    for name, count in before.items():
        total[name] -= count
    for name, count in after.items():
        total[name] += count
    for name in before.keys() - after.keys():
        if not total[name]:
            del total[name]


def _smooth(by_service: dict[str, float], service: str, duration_ms: float) -> None:
    before = by_service.get(service, duration_ms)
    by_service[service] = before + SMOOTHING * (duration_ms - before)
