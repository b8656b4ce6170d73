"""A stand-in for a group of ranks, served over HTTP."""

import asyncio
import json
import random

from rank_model import ModelRank

from dotterelplank.ranks.views import (
    ArmMap,
    DisarmMap,
    HoldStep,
    PrepareMap,
    ReleaseStep,
)

EXPERTS = 8
PLACES = 5
PASS_S = 0.02
DELAY_RANGE_S = (0.2, 3.0)
UNANSWERED_S = 60.0
# Experts 0 and 2 get nearly all choices. With two ranks, rank 0 holds both at first.
CHOICES = [500, 1, 400, 1, 1, 1, 1, 1]


class RankServer:
    """A rank that is served over HTTP.

    :ivar prepared: prepared maps by version.
    :ivar rows: the experts that the rank holds, by layer.
    :ivar unanswered: number of coming orders that remain unanswered for a minute.
    :ivar p_late: probability that an order is executed late and not answered.
    :ivar metrics: address of the metrics of the rank's agent, if a test needs it.
    """

    def __init__(self, rank: int, size: int) -> None:
        self.model = ModelRank(rank, size)
        self.first_row = list(range(rank, EXPERTS, size))
        self.prepared = {}
        self.rows = [self.first_row]
        self.counts = [0] * EXPERTS
        self.unanswered = 0
        self.p_late = 0.0
        self.random = random.Random(rank)
        self.metrics = None

    @property
    def version(self) -> int:
        """The version of the map in use."""
        return self.model.map_version

    async def handle(self, call, exchange) -> None:
        """Respond to a request."""
        path = call.target.decode()
        if path == "/v1/order":
            await self._order(json.loads(call.body), exchange)
        elif path == "/v1/report":
            _respond(exchange, 200, self._report())
        elif path == "/v1/picked?lists=1":
            own = {"version": self.version, "experts": self.rows}
            _respond(exchange, 200, {"epoch": self.model.epoch, "map": own})
        else:
            body = {
                "step": self.model.step,
                "epoch": self.model.epoch,
                "counts": self.counts,
            }
            _respond(exchange, 200, body)

    def begin_pass(self, choices) -> None:
        """Begin a pass in which expert ``i`` is chosen ``choices[i]`` times."""
        before = self.version
        self.model.begin_pass()
        if self.version != before:
            prepared_map = self.prepared[self.version]
            self.rows = [layer[self.model.rank] for layer in prepared_map]
            self.prepared = {self.version: prepared_map}
        for index, count in enumerate(choices):
            self.counts[index] += count

    def _report(self):
        model = self.model
        armed = model.armed
        return {
            "group": {
                "name": "g",
                "epoch": model.epoch,
                "rank": model.rank,
                "state": "open",
            },
            "size": model.size,
            "step": model.step,
            "map": model.map_version,
            "prepared": model.prepared,
            "armed": armed and {"version": armed.version, "step": armed.step},
            "held": model.held,
            "active": 1,
        }

    async def _order(self, body, exchange) -> None:
        if self.unanswered:
            self.unanswered -= 1
            await asyncio.sleep(UNANSWERED_S)
        order = _decode_order(body)
        if self.random.random() < self.p_late:
            delay_s = self.random.uniform(*DELAY_RANGE_S)
            asyncio.get_running_loop().call_later(delay_s, self._apply, order)
            await asyncio.sleep(UNANSWERED_S)
        _respond(exchange, 200 if self._apply(order) else 409, {})

    def _apply(self, order) -> bool:
        is_accepted = self.model.apply(order)
        if is_accepted and isinstance(order, PrepareMap):
            self.prepared[order.version] = order.map
        return is_accepted


async def make_passes(servers, choices=lambda: CHOICES, on_pass=lambda: None) -> None:
    """Begin a pass of the group every ``PASS_S`` seconds unless a rank holds it.

    :param choices: returns how often each expert is chosen in a pass.
    :param on_pass: called after each pass has begun.
    :raises AssertionError: if a pass began with different maps.
    """
    while True:
        await asyncio.sleep(PASS_S)
        step = servers[0].model.step + 1
        if any(server.model.held == step for server in servers):
            continue
        for server in servers:
            server.begin_pass(choices())
        versions = {server.version for server in servers}
        assert len(versions) == 1, f"a pass began with the maps {versions}"
        on_pass()


def engine_of_service():
    """Return the ``engine`` entry of a service's configuration."""
    return {
        "sets": 1,
        "experts": EXPERTS,
        "placements": PLACES,
        "spare": 2,
        "expert_mb": 1.0,
        "bandwidth_mbps": 1_000.0,
    }


def store_entry(server, service, ip, port):
    """Return the entry that a rank registers in the store."""
    model = server.model
    group = {"name": "g", "epoch": model.epoch, "rank": model.rank, "state": "open"}
    return {
        "service": service,
        "address": f"{ip}:{port}",
        "zone": "a",
        "slots": 2,
        "state": "ready",
        "group": group,
        "size": model.size,
    }


def _decode_order(body):
    epoch = body["epoch"]
    match body["op"]:
        case "prepare":
            return PrepareMap(epoch, body["version"], body["map"])
        case "arm":
            return ArmMap(epoch, body["version"], body["step"])
        case "disarm":
            return DisarmMap(epoch, body["version"])
        case "retain":
            return HoldStep(epoch, body["step"])
        case "go":
            return ReleaseStep(epoch, body["step"])


def _respond(exchange, status, body) -> None:
    exchange.respond(status, [], json.dumps(body).encode())
