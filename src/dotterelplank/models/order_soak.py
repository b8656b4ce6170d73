"""Long randomized runs of orders under faults.

The same seed gives the same run.
"""

import collections
import random
import typing as t

from .. import results
from ..errors import InvariantError
from .order_model import OrderModel

REBUILD_INTERVAL_STEPS = 3_000
SETTLE_INTERVAL_STEPS = 300
REQUIRED_COVERAGE = (
    "orders done",
    "answers repeated",
    "answers from memory",
    "cancels proved",
    "agents restarted",
    "entries restarted",
    "homes out of reach",
    "refusals",
    "told not run",
    "predecessors woken",
    "stale frames read",
    "ran after its agent died",
    "unknown that ran",
    "unknown that did not run",
    "graceful stops",
    "late answers dropped",
    "told in-progress",
    "told ticket-expired",
    "told ticket-forgotten",
    "told ticket-cancelled",
    "told ticket-other-request",
    "told ticket-of-earlier-incarnation",
    "told done-answer-dropped",
    "told endpoint-full",
    "told endpoint-leaving",
    "told endpoint-unreachable",
    "told deadline-before-start",
    "told deadline-after-start",
)
_ENTRIES = ("e1", "e2", "e3")
_AGENTS = ("a1", "a2", "a3")
_DOMAINS = {"1": "d1", "2": "d1", "3": "d2"}
_LOCAL_REFUSALS = (results.OVERLOADED, results.STOPPING, results.UNKNOWN_TEAM)

Action = t.Callable[[OrderModel, random.Random], None]


def _index(rng: random.Random) -> int:
    return rng.randrange(64)


def _take_ticket(model: OrderModel, rng: random.Random) -> None:
    model.take_ticket(rng.choice(_ENTRIES), _index(rng))


def _submit(model: OrderModel, rng: random.Random) -> None:
    model.submit(
        rng.choice(_ENTRIES),
        rng.choice((0, 0, 0, 1, 2, 5, 20, 40)),
        rng.choice((b"lane 1", b"lane 1", b"lane 1", b"lane 2")),
        rng.random() < 0.03,
        rng.choice((20.0, 300.0, 2_000.0)),
    )


def _take_and_submit(model: OrderModel, rng: random.Random) -> None:
    _take_ticket(model, rng)
    model.submit(rng.choice(_ENTRIES), 0, b"lane 1", False, 2_000.0)


def _deliver(model: OrderModel, rng: random.Random) -> None:
    model.deliver(_index(rng), rng.random() < 0.5)


def _advance(model: OrderModel, rng: random.Random) -> None:
    model.advance(rng.choice((1.0, 5.0, 60.0, 200.0)))
    for entry in _ENTRIES:
        model.tick(entry)


def _advance_far(model: OrderModel, rng: random.Random) -> None:
    model.advance(rng.choice((1_500.0, 4_000.0, 8_000.0)))


def _connect(model: OrderModel, rng: random.Random) -> None:
    for entry in _ENTRIES:
        model.connect(entry, rng.choice(_AGENTS))


def _report(model: OrderModel, rng: random.Random) -> None:
    model.report(rng.choice(_ENTRIES), rng.choice(_AGENTS))


def _change_selection(model: OrderModel, rng: random.Random) -> None:
    selected = rng.sample(_AGENTS, rng.randint(1, 3))
    model.entries[rng.choice(_ENTRIES)].selected = set(selected)


def _cut(model: OrderModel, rng: random.Random) -> None:
    model.is_cut = True


def _heal(model: OrderModel, rng: random.Random) -> None:
    model.is_cut = False


def _release_streams(model: OrderModel, rng: random.Random) -> None:
    for index in range(len(model.wires)):
        model.hold(index, True, False)
        model.hold(index, False, False)


def _restart_agent(model: OrderModel, rng: random.Random) -> None:
    host = rng.choice(_AGENTS)
    model.crash_agent(host)
    model.start_agent(host, _DOMAINS[host[1]])


def _replace_dead_agents(model: OrderModel, rng: random.Random) -> None:
    for host in _AGENTS:
        model.finish_leaving(host)
        if not model.agents[host].alive:
            model.start_agent(host, _DOMAINS[host[1]])


def _replace_paused_agent(model: OrderModel, rng: random.Random) -> None:
    host = rng.choice(_AGENTS)
    if model.agents[host].alive:
        model.pause(model.agents[host])
        model.start_agent(host, _DOMAINS[host[1]])


def _restart_entry(model: OrderModel, rng: random.Random) -> None:
    host = rng.choice(_ENTRIES)
    model.crash_entry(host)
    model.start_entry(host, _DOMAINS[host[1]])


def _pause(model: OrderModel, rng: random.Random) -> None:
    processes = [*model.entries.values(), *model.agents.values()]
    model.pause(rng.choice(processes))


def _wake(model: OrderModel, rng: random.Random) -> None:
    processes = [*model.entries.values(), *model.agents.values(), *model.earlier[-4:]]
    for process in processes:
        model.wake(process, rng.random() < 0.5)


def _refuse_at_entry(model: OrderModel, rng: random.Random) -> None:
    result = rng.choice(_LOCAL_REFUSALS)
    model.refuse_at_entry(rng.choice((0, 1, 5)), b"lane 1", result)


def _make_progress(model: OrderModel, rng: random.Random) -> None:
    for _ in range(12):
        _deliver(model, rng)
        model.hand_on(_index(rng), True)
        model.execute(_index(rng))
        model.answer(_index(rng), False)


_ACTIONS: tuple[tuple[float, Action], ...] = (
    (6, _take_ticket),
    (12, _submit),
    (6, _take_and_submit),
    (24, _deliver),
    (10, lambda model, rng: model.hand_on(_index(rng), rng.random() < 0.9)),
    (8, lambda model, rng: model.execute(_index(rng))),
    (8, lambda model, rng: model.answer(_index(rng), False)),
    (4, _make_progress),
    (8, _advance),
    (3, _connect),
    (3, _report),
    (2, _heal),
    (0.7, lambda model, rng: model.mend()),
    (2, _release_streams),
    (2, _wake),
    (1, _replace_dead_agents),
)
_FAULTS: tuple[tuple[float, Action], ...] = (
    (0.6, lambda model, rng: model.answer(_index(rng), True)),
    (0.5, lambda model, rng: model.hang_up(_index(rng))),
    (1, lambda model, rng: model.break_wire(_index(rng), rng.random() < 0.6)),
    (0.6, lambda model, rng: model.hold(_index(rng), rng.random() < 0.5, True)),
    (0.5, _refuse_at_entry),
    (0.3, _cut),
    (0.3, _advance_far),
    (0.3, _change_selection),
    (0.2, _restart_agent),
    (0.2, _replace_paused_agent),
    (0.2, _restart_entry),
    (0.4, _pause),
    (0.15, lambda model, rng: model.leave(rng.choice(_AGENTS))),
    (0.1, lambda model, rng: model.crash_agent(rng.choice(_AGENTS))),
)
_FAULT_FACTORS = (0.3, 1.0, 3.0)


def run_orders(seed: int, steps: int) -> collections.Counter[str]:
    """Run ``steps`` random actions on entries and agents.

    The same seed gives the same run.

    :return: how often each kind of event occurred.
    :raises InvariantError: if an invariant was violated. The message states the
        seed, the step and the last events.
    """
    rng = random.Random(seed)
    coverage: collections.Counter[str] = collections.Counter()
    model, actions, weights = _begin(rng)
    for step in range(1, steps + 1):
        try:
            rng.choices(actions, weights)[0](model, rng)
            if step % SETTLE_INTERVAL_STEPS == 0:
                model.settle()
        except InvariantError as error:
            raise _explain(error, seed, step, model) from error
        if step % REBUILD_INTERVAL_STEPS == 0:
            model.count_unknown()
            coverage.update(model.reach)
            model, actions, weights = _begin(rng)
    model.count_unknown()
    coverage.update(model.reach)
    return coverage


def missing(coverage: t.Mapping[str, int]) -> list[str]:
    """Return the required events that did not occur in a run.

    A run is a sufficient test of the protocol only if all of them occur.
    """
    return [name for name in REQUIRED_COVERAGE if not coverage.get(name)]


def _begin(rng: random.Random) -> tuple[OrderModel, list[Action], list[float]]:
    factor = rng.choice(_FAULT_FACTORS)
    actions = [action for _, action in _ACTIONS + _FAULTS]
    weights = [weight for weight, _ in _ACTIONS]
    weights.extend(weight * factor for weight, _ in _FAULTS)
    return OrderModel(), actions, weights


def _explain(
    error: InvariantError, seed: int, step: int, model: OrderModel
) -> InvariantError:
    lines = [f"seed {seed}, step {step}: {error}", *model.trace]
    return InvariantError("\n".join(lines))
