"""How much work each endpoint has, from one's own calls and from what peers tell."""

import collections
import dataclasses
import typing as t

PEER_TIMEOUT_MS: t.Final = 1_500.0
"""After this silence a peer's calls no longer count."""
MIN_OPEN_MS: t.Final = 200.0
MAX_OPEN_MS: t.Final = 1_000.0
PROBE_WAIT_MS: t.Final = 50.0
"""How long others wait for the call that shows whether an endpoint is back."""
PROBE_TIMEOUT_MS: t.Final = 500.0
"""After this one more call is sent to show it, as the first may hang."""
ERRORS_TO_OPEN: t.Final = 2
"""Calls that an endpoint answers with a failure before it is avoided."""
FULL_OPEN_MS: t.Final = 40.0
"""How long an endpoint that said it is full is passed over."""
SMOOTHING_RATIO: t.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """What a peer has told of its calls.

    :param in_flight: its calls at each endpoint, by id; endpoints with none left out.
    :param waiting: its calls that wait for a place, by service.
    """

    in_flight: t.Mapping[str, int]
    waiting: t.Mapping[str, int]
    last_seen_ms: float


NO_LOAD: t.Final = PeerLoad({}, {}, 0.0)


@dataclasses.dataclass(slots=True)
class Breaker:
    """An endpoint or a group that failed calls.

    :param failures: failures in a row.
    :param open_until_ms: time up to which nothing is sent there.
    :param probe_ms: when a call was sent there after that time; until it is answered
        no other is sent for a while. None: there is no such call.
    """

    failures: int = 0
    open_until_ms: float = 0.0
    probe_ms: float | None = None


@dataclasses.dataclass
class Loads:
    """The calls in progress, everywhere.

    :param own_in_flight: this entry's calls at each endpoint.
    :param peers_in_flight: the peers' calls at each endpoint, summed.
    :param consecutive_errors: failures in a row that endpoints answered with.
    :param slot_hold_ms: how long a call of a service holds its place, smoothed.
    :param ttfb_ms: time from the send of a call of a service to the first part of its
        answer, smoothed.
    """

    own_in_flight: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    peers_in_flight: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    peers_waiting: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    avoided: dict[str, Breaker] = dataclasses.field(default_factory=dict)
    consecutive_errors: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    slot_hold_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    ttfb_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def in_flight_at(self, endpoint_id: str) -> int:
        """Return the calls in progress at an endpoint."""
        return self.own_in_flight[endpoint_id] + self.peers_in_flight[endpoint_id]

    def on_heartbeat(self, peer: str, load: PeerLoad) -> None:
        """Take in what a peer tells."""
        self._update_sum(self.peers.get(peer, NO_LOAD), load)
        self.peers[peer] = load

    def expire(self, now_ms: float) -> t.Sequence[str]:
        """Forget the calls of silent peers, and return these."""
        silent = [
            peer
            for peer, load in self.peers.items()
            if now_ms - load.last_seen_ms > PEER_TIMEOUT_MS
        ]
        for peer in silent:
            self._remove_peer(peer)
        return silent

    def begin(self, endpoint_id: str) -> None:
        """Count a call that is about to be sent."""
        self.own_in_flight[endpoint_id] += 1

    def end(self, endpoint_id: str) -> None:
        """Count a call that is over."""
        self.own_in_flight[endpoint_id] -= 1
        if self.own_in_flight[endpoint_id] <= 0:
            del self.own_in_flight[endpoint_id]

    def record_slot_hold(self, service: str, duration_ms: float) -> None:
        """Take in how long a call held its place."""
        _update_average(self.slot_hold_ms, service, duration_ms)

    def record_ttfb(self, service: str, duration_ms: float) -> None:
        """Take in how long the first part of an answer took from the send on."""
        _update_average(self.ttfb_ms, service, duration_ms)

    def record_failure(self, now_ms: float, key: str) -> float:
        """Avoid an endpoint or group, longer each time; return for how long."""
        avoided = self.avoided.setdefault(key, Breaker())
        avoided.probe_ms = None
        if now_ms >= avoided.open_until_ms:
            avoided.failures += 1
            open_ms = MIN_OPEN_MS * 2 ** (avoided.failures - 1)
            avoided.open_until_ms = now_ms + min(open_ms, MAX_OPEN_MS)
        return avoided.open_until_ms - now_ms

    def record_error_response(self, now_ms: float, endpoint_id: str) -> float:
        """Take in an answer that is a failure; return for how long to avoid it.

        Some calls fail anywhere, so one failure says little of an endpoint.
        """
        self.consecutive_errors[endpoint_id] += 1
        if self.consecutive_errors[endpoint_id] < ERRORS_TO_OPEN:
            return 0.0
        return self.record_failure(now_ms, endpoint_id)

    def record_full(self, now_ms: float, key: str) -> None:
        """Pass over an endpoint that has no room for a moment."""
        avoided = self.avoided.setdefault(key, Breaker())
        avoided.open_until_ms = max(avoided.open_until_ms, now_ms + FULL_OPEN_MS)

    def begin_probe(self, now_ms: float, key: str) -> None:
        """Note that a call is about to show whether an endpoint or group is back."""
        avoided = self.avoided.get(key)
        if avoided is not None and avoided.failures:
            avoided.probe_ms = now_ms

    def end_probe(self, key: str) -> None:
        """Note that such a call has ended without showing it."""
        avoided = self.avoided.get(key)
        if avoided is not None:
            avoided.probe_ms = None

    def record_success(self, key: str) -> None:
        """Trust an endpoint or group again."""
        self.avoided.pop(key, None)
        self.consecutive_errors.pop(key, None)

    def open_for_ms(self, now_ms: float, key: str) -> float:
        """Return for how much longer an endpoint or group is avoided."""
        avoided = self.avoided.get(key)
        if avoided is None:
            return 0.0
        probe_ms = avoided.probe_ms
        if probe_ms is not None and now_ms - probe_ms < PROBE_TIMEOUT_MS:
            return max(PROBE_WAIT_MS, avoided.open_until_ms - now_ms)
        return max(0.0, avoided.open_until_ms - now_ms)

    def _remove_peer(self, peer: str) -> None:
        self._update_sum(self.peers.pop(peer, NO_LOAD), NO_LOAD)

    def _update_sum(self, before: PeerLoad, after: PeerLoad) -> None:
        _update_sum(self.peers_in_flight, before.in_flight, after.in_flight)
        _update_sum(self.peers_waiting, before.waiting, after.waiting)


def _update_sum(
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


def _update_average(
    by_service: dict[str, float], service: str, duration_ms: float
) -> None:
    before = by_service.get(service, duration_ms)
    by_service[service] = before + SMOOTHING_RATIO * (duration_ms - before)
