"""Label selectors, and rules that map requests to selected endpoints.

A selector consists of labels that must be equal and of expressions. An expression tests
for set membership or presence of a label, or for the negation of either. All parts of a
selector must match. Rules are tried in order, and the first rule that matches a request
applies; later rules are not used, even if the first one selects no endpoint.
"""

import dataclasses
import enum
import typing as t


class Operator(enum.Enum):
    """The test that an expression applies to a label."""

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
    """Labels and expressions that must all match; an empty selector matches all."""

    labels: tuple[Label, ...] = ()
    expressions: tuple[Expression, ...] = ()


@dataclasses.dataclass(frozen=True)
class RequestAttributes:
    """The attributes of a request that rules can match.

    :param target: the requested group, named after a model or a service.
    :param method: HTTP method; ``POST`` for requests to a model.
    """

    target: str
    team: str
    priority: int
    method: str = "POST"


@dataclasses.dataclass(frozen=True)
class Condition:
    """The requests that a rule matches; an empty part matches any request."""

    targets: frozenset[str] = frozenset()
    teams: frozenset[str] = frozenset()
    methods: frozenset[str] = frozenset()
    priority_at_least: int | None = None


@dataclasses.dataclass(frozen=True)
class Rule:
    """A rule that sends matching requests to the servers that ``servers`` selects."""

    name: str
    condition: Condition
    servers: Selector


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Whether a rule matched a request, and why.

    :param reason: description of the first part that did not match, or ``"matches"``.
    """

    rule: Rule
    matched: bool
    reason: str


def selects(selector: Selector, labels: t.Mapping[str, str]) -> bool:
    """Return whether ``labels`` match every part of ``selector``."""
    return selector_mismatch(selector, labels) is None


def selector_mismatch(selector: Selector, labels: t.Mapping[str, str]) -> str | None:
    """Return why ``labels`` don't match ``selector``, or ``None`` if they do."""
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
    """Return why ``request`` doesn't match ``condition``, or ``None`` if it does."""
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
    """Return a verdict for each rule up to and including the first match."""
    verdicts = []
    for rule in rules:
        reason = condition_mismatch(rule.condition, request)
        verdicts.append(Verdict(rule, reason is None, reason or "matches"))
        if reason is None:
            break
    return verdicts


def first_match(rules: t.Sequence[Rule], request: RequestAttributes) -> Rule | None:
    """Return the first rule that matches ``request``, or ``None``."""
    for rule in rules:
        if condition_mismatch(rule.condition, request) is None:
            return rule
    return None


def contradiction(selector: Selector) -> str | None:
    """Return why no set of labels can match ``selector``, or ``None`` if one can."""
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
            return f"no value of label {key} matches every part"
    return None
