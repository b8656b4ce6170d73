"""Long randomized runs of the map change protocol under faults.

The same seed gives the same run.
"""

import collections
import dataclasses
import random
import typing as t

from ..errors import InvariantError
from ..maps.messages import Ask, Hello, Outcome, Probe, Ready, Stage, Status, Vote
from ..maps.state import Policy
from .mapchange_model import Model

SETTLE_INTERVAL_STEPS = 400
REBUILD_INTERVAL_STEPS = 4000
POLICY = Policy(
    retry_ms=50,
    response_timeout_ms=250,
    stagger_ms=20,
    poll_ms=100,
    max_view_age_ms=300,
    order_expiry_ms=600,
    lead_steps=6,
    vote_deadline_steps=2,
)
REQUIRED_COVERAGE = (
    "maps changed",
    "commits",
    "aborts",
    "proposals refused",
    "proposals committed",
    "proposals aborted",
    "hosts replaced",
    "engines killed",
    "changes joined",
    "late orders",
    "late orders of a dead agent",
    "messages duplicated",
    "messages dropped",
    "messages held",
    "messages cut",
    "messages blocked",
    "pauses",
    "engines stalled",
    "clocks set back",
    "incarnation-raised",
    "ghosts stirred",
    "crashes",
    "map-asked",
    "settled",
)

Action = t.Callable[[Model, random.Random], None]


def _host(model: Model, rng: random.Random) -> str:
    return rng.choice(model.hosts)


def _index(rng: random.Random) -> int:
    return rng.randrange(1 << 16)


def _propose(model: Model, rng: random.Random) -> None:
    model.propose(_host(model, rng))
    _deliver_probes(model, rng)


def _propose_two(model: Model, rng: random.Random) -> None:
    for host in rng.sample(model.hosts, 2):
        model.propose(host)
    _deliver_probes(model, rng)


def _deliver_probes(model: Model, rng: random.Random) -> None:
    if rng.random() < 0.8:
        model.deliver_all_of(Probe)
        model.deliver_all_of(Ready)


def _advance(model: Model, rng: random.Random) -> None:
    model.advance(rng.choice((1, 5, 25, 60, 200)))
    for host in model.hosts:
        model.tick(host)


def _make_progress(model: Model, rng: random.Random) -> None:
    for _ in range(rng.randrange(1, 8)):
        _advance(model, rng)
        model.round()


def _advance_far(model: Model, rng: random.Random) -> None:
    model.advance(rng.choice((600, 1500)))


def _hold_all(model: Model, rng: random.Random) -> None:
    for _ in range(len(model.messages)):
        model.hold(0)


def _hold_votes_and_outcomes(model: Model, rng: random.Random) -> None:
    for index in reversed(range(len(model.messages))):
        if isinstance(model.messages[index].envelope.message, (Vote, Outcome)):
            model.hold(index)


def _fail_two_hosts(model: Model, rng: random.Random) -> None:
    # Two hosts fail while an engine has a change staged.
    if all(engine.staged is None for engine in model.engines.values()):
        return
    for host in rng.sample(model.hosts, 2):
        rng.choice((model.crash, model.replace, model.kill_engine))(host)
        if model.agents[host] is None:
            model.start(host)


def _block(model: Model, rng: random.Random) -> None:
    kind = rng.choice((Stage, Ask, Vote, Outcome, Hello, Status))
    model.block(kind, _host(model, rng))


def _crash_with_order(model: Model, rng: random.Random) -> None:
    if model.orders:
        host = rng.choice(model.orders).host
        model.crash(host)
        model.start(host)


def _restart_with_earlier_clock(model: Model, rng: random.Random) -> None:
    host = _host(model, rng)
    model.crash(host)
    model.start(host, is_set_back=True)


def _cut(model: Model, rng: random.Random) -> None:
    model.cut(*rng.sample(model.hosts, 2))


def _restart(model: Model, rng: random.Random) -> None:
    host = _host(model, rng)
    if model.agents[host] is None:
        model.start(host)


def _begin_all(model: Model, rng: random.Random) -> None:
    for host in rng.sample(model.hosts, len(model.hosts)):
        model.begin(host)


_ACTIONS: tuple[tuple[float, Action], ...] = (
    (30, lambda model, rng: model.deliver(_index(rng))),
    (10, lambda model, rng: model.deliver(0)),
    (12, lambda model, rng: model.land(_index(rng))),
    (20, lambda model, rng: model.read(_index(rng))),
    (5, lambda model, rng: model.round()),
    (2, _make_progress),
    (0.8, _fail_two_hosts),
    (0.5, _hold_votes_and_outcomes),
    (3, _propose),
    (1, _propose_two),
    (0.3, lambda model, rng: model.propose(_host(model, rng), rng.randrange(4))),
    (12, _advance),
    (4, lambda model, rng: model.begin(_host(model, rng))),
    (1, _begin_all),
    (0.6, lambda model, rng: model.heal()),
    (2, _restart),
    (1.5, lambda model, rng: model.wake(_host(model, rng))),
    (1.5, lambda model, rng: model.unstall(_host(model, rng))),
)
_FAULTS: tuple[tuple[float, Action], ...] = (
    (2, lambda model, rng: model.deliver(_index(rng), keep=True)),
    (2, lambda model, rng: model.drop(_index(rng))),
    (3, lambda model, rng: model.hold(_index(rng))),
    (3, lambda model, rng: model.hold(_index(rng), keep=True)),
    (2, lambda model, rng: model.release(_index(rng))),
    (0.1, _hold_all),
    (0.5, _crash_with_order),
    (0.3, _restart_with_earlier_clock),
    (0.4, lambda model, rng: model.stall(_host(model, rng))),
    (0.4, lambda model, rng: model.stir(_index(rng))),
    (0.5, _block),
    (1, lambda model, rng: model.lose_order(_index(rng))),
    (0.3, lambda model, rng: model.forget_order(_index(rng))),
    (0.3, lambda model, rng: model.lose_read(_index(rng))),
    (1, _advance_far),
    (0.4, _cut),
    (0.4, lambda model, rng: model.crash(_host(model, rng))),
    (0.4, lambda model, rng: model.pause(_host(model, rng))),
    (0.3, lambda model, rng: model.replace(_host(model, rng))),
    (0.3, lambda model, rng: model.kill_engine(_host(model, rng))),
)
_FAULT_FACTORS = (0.3, 0.3, 1, 2)


@dataclasses.dataclass
class _Run:
    """A model, and the actions that a run chooses from with their weights."""

    model: Model
    actions: t.Sequence[Action]
    weights: t.Sequence[float]


def run_map_changes(seed: int, steps: int) -> collections.Counter[str]:
    """Run ``steps`` random actions on groups of fake engines.

    The same seed gives the same run.

    :return: how often each kind of event occurred.
    :raises InvariantError: if an invariant was violated or a group did not
        recover after the end of its faults. The message states the seed, the step and
        the last actions.
    """
    rng = random.Random(seed)
    coverage: collections.Counter[str] = collections.Counter()
    run = _begin_run(rng)
    for step in range(1, steps + 1):
        action = rng.choices(run.actions, run.weights)[0]
        try:
            action(run.model, rng)
            if step % SETTLE_INTERVAL_STEPS == 0:
                run.model.settle()
        except InvariantError as error:
            raise _explain(error, seed, step, run.model) from error
        if step % REBUILD_INTERVAL_STEPS == 0:
            coverage.update(run.model.reach)
            run = _begin_run(rng)
    coverage.update(run.model.reach)
    return coverage


def missing(coverage: t.Mapping[str, int]) -> list[str]:
    """Return the required events that did not occur in a run.

    A run is a sufficient test of the protocol only if all of them occur.
    """
    return [name for name in REQUIRED_COVERAGE if not coverage.get(name)]


def _begin_run(rng: random.Random) -> _Run:
    size = rng.choice((2, 3, 3, 3, 4, 5))
    model = Model(size, rng.random() < 0.5, POLICY)
    model.settle()
    factor = rng.choice(_FAULT_FACTORS)
    actions = [action for _, action in _ACTIONS + _FAULTS]
    weights = [weight for weight, _ in _ACTIONS]
    weights.extend(weight * factor for weight, _ in _FAULTS)
    return _Run(model, actions, weights)


def _explain(
    error: InvariantError, seed: int, step: int, model: Model
) -> InvariantError:
    lines = [f"seed {seed}, step {step}: {error}", *model.trace]
    return InvariantError("\n".join(lines))
