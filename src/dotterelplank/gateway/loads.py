"""Load of each endpoint, from the entry's own calls and from its peers' heartbeats.

Also holds the breakers, which keep calls from endpoints and groups that fail.
"""

import collections
import dataclasses
import typing as t

PEER_TIMEOUT_MS: t.Final = 1_500.0
"""Time without a heartbeat after which a peer's calls are no longer counted."""
MIN_OPEN_MS: t.Final = 200.0
"""Time for which the first failure opens a breaker.

The time doubles with each further failure in a row, up to MAX_OPEN_MS.
"""
MAX_OPEN_MS: t.Final = 1_000.0
PROBE_WAIT_MS: t.Final = 50.0
"""Least time for which a breaker counts as open while a probe is in progress."""
PROBE_TIMEOUT_MS: t.Final = 500.0
"""Time after which another probe may be sent, as the first may hang."""
ERRORS_TO_OPEN: t.Final = 2
"""Error responses in a row that open an endpoint's breaker."""
FULL_OPEN_MS: t.Final = 40.0
"""How long the breaker of an endpoint that reported itself full is open."""
LONGEST_DECAY_RATIO: t.Final = 0.99
"""The part of the longest time that remains with each further call."""
SMOOTHING_RATIO: t.Final = 0.1
"""Weight of a new value in a moving average."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """The calls of a peer, as of its last heartbeat.

    :param in_flight: number of its calls at each endpoint, by endpoint id; endpoints
        without calls are left out.
    :param waiting: number of its calls that wait for a slot, by service.
    :param last_seen_ms: time at which the heartbeat was received.
    """

    in_flight: t.Mapping[str, int]
    waiting: t.Mapping[str, int]
    last_seen_ms: float


NO_LOAD: t.Final = PeerLoad({}, {}, 0.0)


@dataclasses.dataclass(slots=True)
class Breaker:
    """A circuit breaker, which keeps calls from an endpoint or group that fails.

    :param failures: failures in a row.
    :param open_until_ms: time up to which no call is sent there.
    :param probe_ms: time at which a probe was sent, or None if none is in progress. A
        probe is a call after ``open_until_ms``, whose result shows whether the endpoint
        or group has recovered. Until it ends, no other call is sent there for
        PROBE_TIMEOUT_MS.
    """

    failures: int = 0
    open_until_ms: float = 0.0
    probe_ms: float | None = None


@dataclasses.dataclass
class Loads:
    """The calls in progress of this entry and its peers, and the breakers.

    :param own_in_flight: number of this entry's calls at each endpoint, by endpoint id.
    :param peers_in_flight: sum of the peers' calls at each endpoint.
    :param peers_waiting: sum of the peers' calls that wait for a slot, by service.
    :param peers: the load of each peer, by its IP address.
    :param breakers: breakers of endpoints and groups that failed, by breaker key.
    :param consecutive_errors: error responses in a row, by endpoint id.
    :param slot_hold_ms: moving average of the time that a call holds its slot, by
        service.
    :param longest_hold_ms: longest time that a call held its slot of late, by service.
    :param ttfb_ms: moving average of the time from the send of a call to the first part
        of its response, by service.
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
    breakers: dict[str, Breaker] = dataclasses.field(default_factory=dict)
    consecutive_errors: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    slot_hold_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    longest_hold_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    ttfb_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def in_flight_at(self, endpoint_id: str) -> int:
        """Return the number of calls in progress at an endpoint."""
        return self.own_in_flight[endpoint_id] + self.peers_in_flight[endpoint_id]

    def on_heartbeat(self, peer: str, load: PeerLoad) -> None:
        """Replace the load of a peer by that of its heartbeat."""
        self._update_sum(self.peers.get(peer, NO_LOAD), load)
        self.peers[peer] = load

    def expire(self, now_ms: float) -> t.Sequence[str]:
        """Remove the load of peers that are unresponsive, and return these peers."""
        unresponsive = [
            peer
            for peer, load in self.peers.items()
            if now_ms - load.last_seen_ms > PEER_TIMEOUT_MS
        ]
        for peer in unresponsive:
            self._remove_peer(peer)
        return unresponsive

    def begin(self, endpoint_id: str) -> None:
        """Count a call that is about to be sent."""
        self.own_in_flight[endpoint_id] += 1

    def end(self, endpoint_id: str) -> None:
        """Count a call that has ended."""
        self.own_in_flight[endpoint_id] -= 1
        if self.own_in_flight[endpoint_id] <= 0:
            del self.own_in_flight[endpoint_id]

    def record_slot_hold(self, service: str, duration_ms: float) -> None:
        """Record the time that a call held its slot."""
        _update_average(self.slot_hold_ms, service, duration_ms)
        longest_ms = self.longest_hold_ms.get(service, 0.0) * LONGEST_DECAY_RATIO
        self.longest_hold_ms[service] = max(duration_ms, longest_ms)

    def record_ttfb(self, service: str, duration_ms: float) -> None:
        """Add the time until the first part of a response to the moving average."""
        _update_average(self.ttfb_ms, service, duration_ms)

    def record_failure(self, now_ms: float, key: str) -> float:
        """Open a breaker, for longer with each failure in a row.

        Failures while the breaker is open aren't counted.

        :return: time for which the breaker is still open.
        """
        breaker = self.breakers.setdefault(key, Breaker())
        breaker.probe_ms = None
        if now_ms >= breaker.open_until_ms:
            breaker.failures += 1
            open_ms = MIN_OPEN_MS * 2 ** (breaker.failures - 1)
            breaker.open_until_ms = now_ms + min(open_ms, MAX_OPEN_MS)
        return breaker.open_until_ms - now_ms

    def record_error_response(self, now_ms: float, endpoint_id: str) -> float:
        """Count an error response, and open the endpoint's breaker after several.

        Some calls fail at every endpoint, so a single error response is no evidence
        against this one.

        :return: time for which the breaker is open; 0 if the error didn't open it.
        """
        self.consecutive_errors[endpoint_id] += 1
        if self.consecutive_errors[endpoint_id] < ERRORS_TO_OPEN:
            return 0.0
        return self.record_failure(now_ms, endpoint_id)

    def record_full(self, now_ms: float, key: str) -> None:
        """Open the breaker of a full endpoint for FULL_OPEN_MS."""
        breaker = self.breakers.setdefault(key, Breaker())
        breaker.open_until_ms = max(breaker.open_until_ms, now_ms + FULL_OPEN_MS)

    def begin_probe(self, now_ms: float, key: str) -> None:
        """Record a probe, if the breaker of the call about to be sent had failures."""
        breaker = self.breakers.get(key)
        if breaker is not None and breaker.failures:
            breaker.probe_ms = now_ms

    def end_probe(self, key: str) -> None:
        """Clear the probe of a breaker, as a call that it applies to has ended."""
        breaker = self.breakers.get(key)
        if breaker is not None:
            breaker.probe_ms = None

    def record_success(self, key: str) -> None:
        """Remove the breaker of an endpoint or group that has recovered."""
        self.breakers.pop(key, None)
        self.consecutive_errors.pop(key, None)

    def open_for_ms(self, now_ms: float, key: str) -> float:
        """Return the time for which a breaker is still open; 0 if calls may be sent."""
        breaker = self.breakers.get(key)
        if breaker is None:
            return 0.0
        probe_ms = breaker.probe_ms
        if probe_ms is not None and now_ms - probe_ms < PROBE_TIMEOUT_MS:
            return max(PROBE_WAIT_MS, breaker.open_until_ms - now_ms)
        return max(0.0, breaker.open_until_ms - now_ms)

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
    """Replace one summand of a sum by another; names whose sum is 0 are removed."""
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
