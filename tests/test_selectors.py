import testtools
from hypothesis import given, strategies as st

from dotterelplank.config import selectors
from dotterelplank.config.selectors import (
    Condition,
    Expression,
    Label,
    Operator,
    RequestAttributes,
    Rule,
    Selector,
)

REQUEST = RequestAttributes("drafting", "crew", 3)
LABELS = {"app": "drafting", "tier": "large"}
KEYS = st.sampled_from(["app", "tier", "zone"])
VALUES = st.sampled_from(["drafting", "large", "small"])


def expression(key, operator, *values):
    return Expression(key, operator, frozenset(values))


def expressions():
    sets = st.frozensets(VALUES, min_size=1)
    with_values = st.builds(
        Expression, KEYS, st.sampled_from([Operator.IN, Operator.NOT_IN]), sets
    )
    without = st.builds(
        Expression,
        KEYS,
        st.sampled_from([Operator.EXISTS, Operator.DOES_NOT_EXIST]),
        st.just(frozenset()),
    )
    return with_values | without


SELECTORS = st.builds(
    Selector,
    st.lists(st.builds(Label, KEYS, VALUES), max_size=2).map(tuple),
    st.lists(expressions(), max_size=3).map(tuple),
)


class SelectorTests(testtools.TestCase):
    def test_each_operator(self):
        cases = [
            (expression("tier", Operator.IN, "large"), True),
            (expression("tier", Operator.IN, "small"), False),
            (expression("zone", Operator.IN, "small"), False),
            (expression("tier", Operator.NOT_IN, "large"), False),
            (expression("zone", Operator.NOT_IN, "large"), True),
            (expression("tier", Operator.EXISTS), True),
            (expression("zone", Operator.EXISTS), False),
            (expression("zone", Operator.DOES_NOT_EXIST), True),
        ]
        for part, selected in cases:
            found = selectors.selects(Selector((), (part,)), LABELS)
            self.assertEqual(selected, found, part)

    def test_an_empty_selector_selects_all(self):
        self.assertTrue(selectors.selects(Selector(), {}))

    @given(SELECTORS, st.dictionaries(KEYS, VALUES))
    def test_what_is_called_a_contradiction_selects_nothing(self, selector, labels):
        if selectors.contradiction(selector) is not None:
            self.assertFalse(selectors.selects(selector, labels))

    def test_the_first_matching_rule_applies(self):
        rules = [
            Rule("others", Condition(teams=frozenset({"audit"})), Selector()),
            Rule("urgent", Condition(priority_at_least=3), Selector()),
            Rule("all", Condition(), Selector()),
        ]
        self.assertEqual("urgent", selectors.first_match(rules, REQUEST).name)
        verdicts = selectors.explain_rules(rules, REQUEST)
        self.assertEqual(["others", "urgent"], [item.rule.name for item in verdicts])
        self.assertIn("team is crew", verdicts[0].reason)

    def test_no_rule_applies_if_none_matches(self):
        rules = [Rule("orders", Condition(targets=frozenset({"orders"})), Selector())]
        self.assertIsNone(selectors.first_match(rules, REQUEST))
