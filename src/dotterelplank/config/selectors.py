"""Selectors over labels: which labelled endpoints take which work.

A selector is data: labels that must be equal, and expressions of set membership,
presence or their negation. All parts must hold. Rules are tried in order, and the
first one that matches a request takes it; nothing falls through to a later one.
"""

import dataclasses
import enum
import typing as t


class Operator(enum.Enum):
    """What an expression asks of a label."""

    IN = "In"
    NOT_IN = "NotIn"
    EXISTS = "Exists"
    DOES_NOT_EXIST = "DoesNotExist"


@dataclasses.dataclass(frozen=True)
class Label:
    """A label's key and value."""

    key: str
    value: str


@dataclasses.dataclass(frozen=True)
class Expression:
    """A condition on one label.

    :param values: the set for ``In`` and ``NotIn``; empty for the other operators.
    """

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Selector:
    """Labels and expressions that must all hold; an empty selector selects all."""

    labels: tuple[Label, ...] = ()
    expressions: tuple[Expression, ...] = ()


@dataclasses.dataclass(frozen=True)
class RequestAttributes:
    """What a rule can see of a request.

    :param target: the group asked for: a model's name or a service's name.
    :param method: HTTP method; ``POST`` for model work.
    """

    target: str
    team: str
    priority: int
    method: str = "POST"


@dataclasses.dataclass(frozen=True)
class Condition:
    """Which work a rule takes; an empty part matches any."""

    targets: frozenset[str] = frozenset()
    teams: frozenset[str] = frozenset()
    methods: frozenset[str] = frozenset()
    priority_at_least: int | None = None


@dataclasses.dataclass(frozen=True)
class Rule:
    """Sends work that matches ``condition`` to the servers that ``servers`` picks."""

    name: str
    condition: Condition
    servers: Selector


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Why a rule matched or not.

    :param reason: the first part that did not match, or ``"matches"``.
    """

    rule: Rule
    matched: bool
    reason: str


def selects(selector: Selector, labels: t.Mapping[str, str]) -> bool:
    """Return whether ``labels`` meet every part of ``selector``."""
    return selector_mismatch(selector, labels) is None


def selector_mismatch(selector: Selector, labels: t.Mapping[str, str]) -> str | None:
    """Return the first part of ``selector`` that ``labels`` miss, or ``None``."""
    for label in selector.labels:
        if labels.get(label.key) != label.value:
            actual = labels.get(label.key, "no such label")
            return f"label {label.key} is {actual}, expected {label.value}"
    for expression in selector.expressions:
        if not _matches(expression, labels):
            actual = labels.get(expression.key, "no such label")
            expected = describe_expression(expression)
            return f"label {expression.key} is {actual}, expected {expected}"
    return None


def _matches(expression: Expression, labels: t.Mapping[str, str]) -> bool:
    value = labels.get(expression.key)
    match expression.operator:
        case Operator.IN:
            return value in expression.values
        case Operator.NOT_IN:
            return value not in expression.values
        case Operator.EXISTS:
            return value is not None
        case Operator.DOES_NOT_EXIST:
            return value is None


def describe_expression(expression: Expression) -> str:
    """Return ``expression`` as operators write it."""
    if expression.operator in (Operator.EXISTS, Operator.DOES_NOT_EXIST):
        return expression.operator.value
    return f"{expression.operator.value} {sorted(expression.values)}"


def condition_mismatch(condition: Condition, request: RequestAttributes) -> str | None:
    """Return the first part of ``condition`` that ``request`` misses, or ``None``."""
    if condition.targets and request.target not in condition.targets:
        return f"target is {request.target}, expected In {sorted(condition.targets)}"
    if condition.teams and request.team not in condition.teams:
        return f"team is {request.team}, expected In {sorted(condition.teams)}"
    if condition.methods and request.method not in condition.methods:
        return f"method is {request.method}, expected In {sorted(condition.methods)}"
    min_priority = condition.priority_at_least
    if min_priority is not None and request.priority < min_priority:
        return f"priority is {request.priority}, expected at least {min_priority}"
    return None


def explain_rules(
    rules: t.Sequence[Rule], request: RequestAttributes
) -> t.Sequence[Verdict]:
    """Return a verdict for each rule up to and with the first one that matches."""
    verdicts = []
    for rule in rules:
        reason = condition_mismatch(rule.condition, request)
        verdicts.append(Verdict(rule, reason is None, reason or "matches"))
        if reason is None:
            break
    return verdicts


def first_match(rules: t.Sequence[Rule], request: RequestAttributes) -> Rule | None:
    """Return the first rule that takes ``request``, or ``None``."""
    for rule in rules:
        if condition_mismatch(rule.condition, request) is None:
            return rule
    return None


def contradiction(selector: Selector) -> str | None:
    """Return why no labels at all can meet ``selector``, or ``None``."""
    allowed: dict[str, frozenset[str]] = {}
    for label in selector.labels:
        allowed_values = allowed.get(label.key, frozenset({label.value}))
        allowed[label.key] = allowed_values & {label.value}
    for expression in selector.expressions:
        if expression.operator is Operator.IN:
            allowed_values = allowed.get(expression.key, expression.values)
            allowed[expression.key] = allowed_values & expression.values
    required = set(allowed)
    for expression in selector.expressions:
        if expression.operator is Operator.NOT_IN and expression.key in allowed:
            allowed[expression.key] -= expression.values
        if expression.operator is Operator.EXISTS:
            required.add(expression.key)
    for expression in selector.expressions:
        absent = expression.operator is Operator.DOES_NOT_EXIST
        if absent and expression.key in required:
            return f"label {expression.key} must both exist and not exist"
    for key, values in allowed.items():
        if not values:
            return f"no value of label {key} meets every part"
    return None
