"""Probes: the calls with suspect prompt parts that are sent, one at a time."""

import dataclasses

from .loads import PEER_TIMEOUT_MS


@dataclasses.dataclass
class Probes:
    """The probes that this entry and its peers have in progress.

    :param own: id of the call that is this entry's probe; None: there is none.
    :param peers: for each peer with a probe, the time of its last heartbeat.
    """

    own: bytes | None = None
    peers: dict[str, float] = dataclasses.field(default_factory=dict)

    def on_heartbeat(self, now_ms: float, peer: str, is_probing: bool) -> None:
        """Record whether a peer has a probe in progress."""
        if is_probing:
            self.peers[peer] = now_ms
        else:
            self.peers.pop(peer, None)

    def is_one_in_progress(self, now_ms: float) -> bool:
        """Return whether any entry that is alive has a probe in progress."""
        return self.own is not None or any(
            now_ms - seen_ms < PEER_TIMEOUT_MS for seen_ms in self.peers.values()
        )
