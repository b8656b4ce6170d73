"""A stand-in of a group of ranks over HTTP, which makes passes on a map of its own."""

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
# Experts 0 and 2 take nearly all choices; with two ranks both lie on rank 0.
CHOICES = [500, 1, 400, 1, 1, 1, 1, 1]


class RankServer:
    """A rank over HTTP.

    :ivar unanswered: orders to come that get no answer and are never carried out.
    :ivar late: share of the orders that are carried out late, without an answer.
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
        """Answer one call."""
        path = call.target.decode()
        if path == "/v1/order":
            await self._order(json.loads(call.body), exchange)
        elif path == "/v1/report":
            _answer(exchange, 200, self._report())
        elif path == "/v1/picked?lists=1":
            own = {"version": self.version, "experts": self.rows}
            _answer(exchange, 200, {"epoch": self.model.epoch, "map": own})
        else:
            body = {
                "step": self.model.step,
                "epoch": self.model.epoch,
                "counts": self.counts,
            }
            _answer(exchange, 200, body)

    def begin_pass(self, choices) -> None:
        """Begin a pass, in which experts are chosen as often as ``choices`` says."""
        before = self.version
        self.model.begin_pass()
        if self.version != before:
            found = self.prepared[self.version]
            self.rows = [layer[self.model.rank] for layer in found]
            self.prepared = {self.version: found}
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
        order = _order_in(body)
        if self.random.random() < self.p_late:
            delay_s = self.random.uniform(*DELAY_RANGE_S)
            asyncio.get_running_loop().call_later(delay_s, self._apply, order)
            await asyncio.sleep(UNANSWERED_S)
        _answer(exchange, 200 if self._apply(order) else 409, {})

    def _apply(self, order) -> bool:
        is_accepted = self.model.apply(order)
        if is_accepted and isinstance(order, PrepareMap):
            self.prepared[order.version] = order.map
        return is_accepted


async def make_passes(servers, choices=lambda: CHOICES, on_pass=lambda: None) -> None:
    """Let the group begin a pass every few milliseconds, on one map.

    :param choices: returns how often each expert is chosen in a pass.
    """
    while True:
        await asyncio.sleep(PASS_S)
        step = servers[0].model.step + 1
        if any(server.model.held == step for server in servers):
            continue
        for server in servers:
            server.begin_pass(choices())
        versions = {server.version for server in servers}
        assert len(versions) == 1, f"a pass on the maps {versions}"
        on_pass()


def engine_of_service():
    """Return what a configuration says of the experts."""
    return {
        "sets": 1,
        "experts": EXPERTS,
        "placements": PLACES,
        "spare": 2,
        "expert_mb": 1.0,
        "bandwidth_mbps": 1_000.0,
    }


def store_entry(server, service, ip, port):
    """Return what a rank registers in the store."""
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


def _order_in(body):
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


def _answer(exchange, status, body) -> None:
    exchange.respond(status, [], json.dumps(body).encode())
