"""The configuration that operators publish: groups, rules, teams and limits.

The text is JSON with comments. :func:`parse` depends only on the text, so all processes
agree on whether a revision is accepted.
"""

import dataclasses
import functools
import typing as t

import pydantic

from .. import defaults, jsontext
from ..errors import ConfigurationError, InputError
from . import planned_maps, selectors
from .planned_maps import Planning, PlanningModel

_NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
RESERVED_MAP_KEYS: t.Final = ("revision", "planned_from")
Name = t.Annotated[str, pydantic.Field(pattern=_NAME)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ExpressionModel(_Model):
    """An expression of a selector as operators write it."""

    key: Name
    operator: t.Literal["In", "NotIn", "Exists", "DoesNotExist"]
    values: list[str] = []


class SelectorModel(_Model):
    """A selector as operators write it."""

    match_labels: dict[Name, str] = {}
    match_expressions: list[ExpressionModel] = []


class GroupModel(_Model):
    """A group of endpoints that serve a model or a plain service.

    :param repeatable_methods: HTTP methods of a service that are safe to retry.
    """

    name: Name
    kind: t.Literal["model", "service"]
    servers: SelectorModel
    repeatable_methods: list[str] = ["GET", "HEAD", "OPTIONS"]
    resumable: bool = True


class ConditionModel(_Model):
    """The condition of a rule as operators write it."""

    targets: list[Name] = []
    teams: list[Name] = []
    methods: list[str] = []
    priority_at_least: int | None = None


class RuleModel(_Model):
    """A rule as operators write it."""

    name: Name
    when: ConditionModel = ConditionModel()
    servers: SelectorModel = SelectorModel()


class TeamClassModel(_Model):
    """A class of teams in which each team has the same share."""

    name: Name
    share: float = pydantic.Field(gt=0, le=1e6)
    teams: list[Name] = []


class KeyModel(_Model):
    """A bearer key's SHA-256 digest in hexadecimal, and the team that owns the key."""

    sha256: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$")
    team: Name


class LimitsModel(_Model):
    """Limits that apply to every request.

    :param endpoint_batch_requests: assumed batch size of a model endpoint until its
        reports of waiting requests show the actual size.
    """

    deadline_ms: float = pydantic.Field(defaults.DEADLINE_MS, gt=0, le=3_600_000)
    endpoint_batch_requests: int = pydantic.Field(
        defaults.ENDPOINT_BATCH_REQUESTS, ge=1, le=65_536
    )
    body_size_bytes: int = pydantic.Field(
        defaults.MAX_BODY_BYTES, ge=1024, le=defaults.MAX_FRAME_BYTES // 2
    )


class PolicyModel(_Model):
    """Weights that are used in rebalancing decisions.

    :param skew_weight: weight of the step-time skew against the cost of rebalancing;
        at 1 only the skew matters, at 0 only the cost.
    """

    skew_weight: float = pydantic.Field(0.5, ge=0, le=1)


class RankGroupModel(_Model):
    """A group of ranks that run in lock-step, one per host, and their expert map.

    :param hosts: the hosts of the group's ranks, which never change.
    :param planned: settings for planning the maps after the first one; None if
        operators publish every map.
    """

    name: Name
    hosts: list[Name] = pydantic.Field(min_length=1, max_length=1024)
    map: dict[str, t.Any]
    planned: PlanningModel | None = None


class ConfigurationModel(_Model):
    """The whole configuration as operators write it."""

    labels: dict[Name, list[str]]
    groups: list[GroupModel] = pydantic.Field(min_length=1)
    rules: list[RuleModel] = pydantic.Field(min_length=1)
    team_classes: list[TeamClassModel] = pydantic.Field(min_length=1)
    keys: list[KeyModel] = []
    rank_groups: list[RankGroupModel] = []
    limits: LimitsModel = LimitsModel()
    policy: PolicyModel = PolicyModel()


@dataclasses.dataclass(frozen=True)
class Group:
    """A group of endpoints that serve one target."""

    name: str
    is_model: bool
    servers: selectors.Selector
    repeatable_methods: frozenset[str]
    resumable: bool


@dataclasses.dataclass(frozen=True)
class RankGroup:
    """A group of ranks that run in lock-step.

    :param hosts: the sorted hosts of the group's ranks.
    :param planned: settings for planning the maps; None if operators publish every
        map.
    """

    name: str
    hosts: tuple[str, ...]
    map: t.Mapping[str, t.Any]
    planned: Planning | None = None


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits that apply to every request."""

    deadline_ms: float
    endpoint_batch_requests: int
    body_size_bytes: int


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A valid configuration.

    :param share_by_team: fraction of the capacity, 0 to 1, to which each team is
        entitled.
    """

    groups: t.Mapping[str, Group]
    rules: tuple[selectors.Rule, ...]
    share_by_team: t.Mapping[str, float]
    team_by_key_sha256: t.Mapping[str, str]
    teams_with_keys: frozenset[str]
    limits: Limits
    skew_weight: float
    rank_groups: tuple[RankGroup, ...] = ()

    def rank_group_of(self, host: str) -> RankGroup | None:
        """Return the rank group to which ``host`` belongs, or None."""
        for group in self.rank_groups:
            if host in group.hosts:
                return group
        return None


def parse(text: str) -> Configuration:
    """Return the configuration that ``text`` describes.

    :raises ConfigurationError: if the text is invalid. The error lists every fault
        found with its path.
    """
    model = _read(text)
    faults = list(_faults(model))
    if faults:
        raise ConfigurationError(faults)
    return _build(model)


def _read(text: str) -> ConfigurationModel:
    size_bytes = len(text.encode())
    if size_bytes > defaults.MAX_CONFIGURATION_BYTES:
        bound = f"at most {defaults.MAX_CONFIGURATION_BYTES} bytes"
        raise ConfigurationError([InputError("text", f"{size_bytes} bytes", bound)])
    try:
        return ConfigurationModel.model_validate(jsontext.decode(text))
    except InputError as error:
        raise ConfigurationError([error]) from error
    except pydantic.ValidationError as error:
        raise ConfigurationError(jsontext.input_errors(error)) from error


def _faults(model: ConfigurationModel) -> t.Iterator[InputError]:
    yield from _duplicates("groups", [group.name for group in model.groups])
    yield from _duplicates("rules", [rule.name for rule in model.rules])
    yield from _duplicates("team_classes", [item.name for item in model.team_classes])
    for index, group in enumerate(model.groups):
        path = f"groups[{index}].servers"
        yield from _selector_faults(path, group.servers, model.labels)
    groups = {group.name for group in model.groups}
    teams: dict[str, str] = {}
    for index, team_class in enumerate(model.team_classes):
        for position, team in enumerate(team_class.teams):
            if team in teams:
                path = f"team_classes[{index}].teams[{position}]"
                yield InputError(path, f"{team} again", "each team in only one class")
            teams[team] = team_class.name
    for index, rule in enumerate(model.rules):
        yield from _rule_faults(f"rules[{index}]", rule, groups, set(teams))
        path = f"rules[{index}].servers"
        yield from _selector_faults(path, rule.servers, model.labels)
    yield from _unreachable_rules(model)
    yield from _rank_group_faults(model)
    for index, key in enumerate(model.keys):
        if key.team not in teams:
            yield InputError(f"keys[{index}].team", key.team, "a team in a class")


def _duplicates(path: str, names: t.Sequence[str]) -> t.Iterator[InputError]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield InputError(f"{path}[{index}].name", f"{name} again", "a unique name")
        seen.add(name)


def _rule_faults(
    path: str, rule: RuleModel, groups: set[str], teams: set[str]
) -> t.Iterator[InputError]:
    for index, target in enumerate(rule.when.targets):
        if target not in groups:
            where = f"{path}.when.targets[{index}]"
            yield InputError(where, target, f"one of the groups {sorted(groups)}")
    for index, team in enumerate(rule.when.teams):
        if team not in teams:
            yield InputError(f"{path}.when.teams[{index}]", team, "a team in a class")


def _unreachable_rules(model: ConfigurationModel) -> t.Iterator[InputError]:
    match_all = ConditionModel()
    for index, rule in enumerate(model.rules[:-1]):
        if rule.when == match_all:
            path = f"rules[{index + 1}]"
            yield InputError(
                path, f"a rule after {rule.name}, which matches every request", "none"
            )
            return


def _rank_group_faults(model: ConfigurationModel) -> t.Iterator[InputError]:
    yield from _duplicates("rank_groups", [item.name for item in model.rank_groups])
    seen: set[str] = set()
    for index, item in enumerate(model.rank_groups):
        for position, host in enumerate(item.hosts):
            if host in seen:
                path = f"rank_groups[{index}].hosts[{position}]"
                yield InputError(path, f"{host} again", "each host in only one group")
            seen.add(host)
        path = f"rank_groups[{index}].map"
        for name in RESERVED_MAP_KEYS:
            if name in item.map:
                yield InputError(f"{path}.{name}", "a value", "none, as agents set it")
        if item.planned is not None:
            ranks = len(item.hosts)
            yield from planned_maps.value_faults(path, item.map, item.planned, ranks)


def _selector_faults(
    path: str, model: SelectorModel, labels: t.Mapping[str, list[str]]
) -> t.Iterator[InputError]:
    for key, value in model.match_labels.items():
        yield from _label_faults(f"{path}.match_labels.{key}", key, [value], labels)
    for index, expression in enumerate(model.match_expressions):
        where = f"{path}.match_expressions[{index}]"
        yield from _label_faults(where, expression.key, expression.values, labels)
        takes_values = expression.operator in ("In", "NotIn")
        if takes_values != bool(expression.values):
            expected = "at least one" if takes_values else "none"
            actual = f"{len(expression.values)} values"
            yield InputError(
                f"{where}.values", actual, f"{expected} with this operator"
            )
    reason = selectors.contradiction(_selector(model))
    if reason is not None:
        yield InputError(path, reason, "a selector that labels can match")


def _label_faults(
    path: str, key: str, values: t.Sequence[str], labels: t.Mapping[str, list[str]]
) -> t.Iterator[InputError]:
    if key not in labels:
        yield InputError(path, f"label {key}", f"one of the labels {sorted(labels)}")
        return
    for value in values:
        if value not in labels[key]:
            yield InputError(path, value, f"one of the values {sorted(labels[key])}")


def _selector(model: SelectorModel) -> selectors.Selector:
    labels = tuple(
        selectors.Label(key, value) for key, value in model.match_labels.items()
    )
    expressions = tuple(
        selectors.Expression(
            item.key, selectors.Operator(item.operator), frozenset(item.values)
        )
        for item in model.match_expressions
    )
    return selectors.Selector(labels, expressions)


def _build(model: ConfigurationModel) -> Configuration:
    groups = {
        item.name: Group(
            item.name,
            item.kind == "model",
            _selector(item.servers),
            frozenset(method.upper() for method in item.repeatable_methods),
            item.resumable,
        )
        for item in model.groups
    }
    weights = {team: item.share for item in model.team_classes for team in item.teams}
    total = sum(weights.values())
    shares = {team: weight / total for team, weight in weights.items()}
    limits = Limits(
        model.limits.deadline_ms,
        model.limits.endpoint_batch_requests,
        model.limits.body_size_bytes,
    )
    return Configuration(
        groups=groups,
        rules=tuple(_rule(item) for item in model.rules),
        share_by_team=shares,
        team_by_key_sha256={item.sha256: item.team for item in model.keys},
        teams_with_keys=frozenset(item.team for item in model.keys),
        limits=limits,
        skew_weight=model.policy.skew_weight,
        rank_groups=tuple(_rank_group(item) for item in model.rank_groups),
    )


def _rank_group(model: RankGroupModel) -> RankGroup:
    planning = None if model.planned is None else planned_maps.build(model.planned)
    return RankGroup(model.name, tuple(sorted(model.hosts)), model.map, planning)


def _rule(model: RuleModel) -> selectors.Rule:
    condition = selectors.Condition(
        targets=frozenset(model.when.targets),
        teams=frozenset(model.when.teams),
        methods=frozenset(method.upper() for method in model.when.methods),
        priority_at_least=model.when.priority_at_least,
    )
    return selectors.Rule(model.name, condition, _selector(model.servers))


@functools.lru_cache(maxsize=4)
def parse_cached(text: str) -> Configuration:
    """Return :func:`parse` of ``text``, with the last few results cached."""
    return parse(text)
