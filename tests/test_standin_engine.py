import hypothesis
import hypothesis.strategies as st
import testtools

from dotterelplank import errors
from dotterelplank.standins.engine import (
    ChatRequest,
    EngineFaults,
    EngineOrder,
    EngineSettings,
    EngineState,
    expected_tokens,
    prefix_blocks,
)

MESSAGES = [{"role": "user", "content": "Summarise section 12. " * 20}]


def _chat(max_tokens=3, **members):
    return ChatRequest(model="m", messages=MESSAGES, max_tokens=max_tokens, **members)


def _engine(**settings):
    return EngineState(EngineSettings(base_step_ms=10, per_running_ms=0, **settings))


def _tokens(emissions, number):
    return [
        emission.token
        for emission in emissions
        if emission.number == number and emission.token is not None
    ]


class EngineStateTests(testtools.TestCase):
    def test_a_response_is_complete_and_depends_only_on_its_request(self):
        engine = _engine()
        numbers = [engine.submit(_chat(), f"r{i}", now_ms=0) for i in range(2)]
        emissions = engine.advance(now_ms=1000)
        for number in numbers:
            expected = expected_tokens("m", MESSAGES, 3)
            self.assertEqual(expected, _tokens(emissions, number))
        self.assertNotEqual(expected, expected_tokens("other", MESSAGES, 3))

    def test_a_resumed_response_starts_at_the_requested_token(self):
        engine = _engine()
        number = engine.submit(_chat(resume_from=2), "r", now_ms=0)
        tokens = _tokens(engine.advance(now_ms=1000), number)
        self.assertEqual(expected_tokens("m", MESSAGES, 3)[2:], tokens)

    def test_lower_priority_numbers_start_first(self):
        engine = _engine(max_running=1, prefill_block_ms=0)
        engine.submit(_chat(), "running", now_ms=0)
        engine.submit(_chat(priority=5), "later", now_ms=0)
        engine.submit(_chat(priority=1), "sooner", now_ms=0)
        engine.advance(now_ms=40)
        self.assertEqual({"running": 1, "sooner": 1}, engine.executions())

    def test_a_request_is_refused_when_the_queue_is_full(self):
        engine = _engine(max_running=1, max_waiting=1)
        for number in range(2):
            engine.submit(_chat(), str(number), now_ms=0)
        refusal = self.assertRaises(
            errors.StandinRefusalError, engine.submit, _chat(), "3", 0
        )
        self.assertEqual(429, refusal.status)

    def test_a_request_cancelled_while_waiting_is_never_executed(self):
        engine = _engine(max_running=1)
        engine.submit(_chat(), "running", now_ms=0)
        engine.submit(_chat(), "waiting", now_ms=0)
        report = engine.cancel("waiting", now_ms=1)
        self.assertEqual((True, False), (report.known, report.started))
        self.assertTrue(engine.cancel("running", now_ms=1).started)
        self.assertFalse(engine.cancel("unheard of", now_ms=1).known)
        engine.advance(now_ms=1000)
        self.assertEqual({"running": 1}, engine.executions())

    def test_a_cached_prefix_shortens_the_prefill(self):
        engine = _engine(prefill_block_ms=5)
        blocks = len(prefix_blocks("m", MESSAGES))
        engine.submit(_chat(max_tokens=1), "cold", now_ms=0)
        self.assertEqual(10 + 5 * blocks, engine.next_due_ms())
        engine.advance(now_ms=1000)
        engine.submit(_chat(max_tokens=1), "warm", now_ms=1000)
        self.assertEqual(1010, engine.next_due_ms())

    def test_cache_events_are_delayed_and_a_lost_one_leaves_a_gap(self):
        engine = _engine(cache_blocks=2, seed=1)
        faults = EngineFaults(event_delay_ms=50, event_loss_share=0.5)
        engine.set_faults(faults, now_ms=0)
        engine.submit(_chat(), "r", now_ms=0)
        self.assertEqual(0, len(engine.cache_events(0, now_ms=49).events))
        found = engine.cache_events(0, now_ms=50)
        self.assertLess(0, len(found.events))
        self.assertLess(len(found.events), found.last)

    def test_a_load_report_has_the_configured_age(self):
        engine = _engine()
        engine.set_faults(EngineFaults(load_lag_ms=100), now_ms=0)
        engine.submit(_chat(max_tokens=50), "r", now_ms=10)
        self.assertEqual(0, engine.load(now_ms=109).running)
        self.assertEqual(1, engine.load(now_ms=110).running)

    def test_a_frozen_engine_executes_no_step_until_it_is_unfrozen(self):
        engine = _engine(prefill_block_ms=0)
        engine.submit(_chat(), "r", now_ms=0)
        engine.set_faults(EngineFaults(freeze=True), now_ms=4)
        self.assertEqual([], engine.advance(now_ms=1000))
        engine.set_faults(EngineFaults(), now_ms=1000)
        self.assertEqual(1006, engine.next_due_ms())

    def test_a_stream_dies_after_the_given_number_of_tokens(self):
        engine = _engine()
        engine.set_faults(EngineFaults(die_after_tokens=2), now_ms=0)
        engine.submit(_chat(), "r", now_ms=0)
        finishes = [emission.finish for emission in engine.advance(now_ms=1000)]
        self.assertEqual([None, None, "died"], finishes)

    def test_an_older_fence_is_refused_if_so_configured(self):
        for refuses, executed in ((True, [2]), (False, [2, 1])):
            engine = _engine(refuses_old_fences=refuses)
            engine.order(_order(2), now_ms=0)
            try:
                engine.order(_order(1), now_ms=0)
            except errors.StandinRefusalError as refusal:
                self.assertEqual(2, refusal.fields["highest_fence"])
            fences = [order.fence for order in engine.orders.executed]
            self.assertEqual(executed, fences)

    def test_a_model_is_served_once_it_is_loaded(self):
        engine = _engine(models=["other"])
        refusal = self.assertRaises(
            errors.StandinRefusalError, engine.submit, _chat(), "r", 0
        )
        self.assertEqual(404, refusal.status)
        order = EngineOrder(fence=1, kind="load_model", model="m")
        engine.order(order, now_ms=0).check()
        self.assertEqual(1, engine.submit(_chat(), "r", now_ms=0))

    def test_a_delayed_order_is_refused_after_a_newer_fence(self):
        engine = _engine()
        engine.set_faults(EngineFaults(order_delay_ms=100), now_ms=0)
        delayed = engine.order(_order(1), now_ms=0)
        engine.set_faults(EngineFaults(), now_ms=50)
        engine.order(_order(2), now_ms=50)
        engine.advance(now_ms=100)
        self.assertTrue(delayed.done)
        self.assertRaises(errors.StandinRefusalError, delayed.check)
        self.assertEqual([2], [order.fence for order in engine.orders.executed])


def _order(fence):
    return EngineOrder(fence=fence, kind="load_model", model=f"m{fence}")


OPERATIONS = st.one_of(
    st.builds(_chat, max_tokens=st.integers(1, 5), priority=st.integers(-2, 2)),
    st.builds(
        EngineFaults,
        freeze=st.booleans(),
        die_after_tokens=st.none() | st.integers(0, 3),
        slow_factor=st.sampled_from([0.5, 1, 4]),
    ),
    st.sampled_from(["r0", "r1", "r2"]),
)


class EngineStatePropertyTests(testtools.TestCase):
    @hypothesis.given(st.lists(st.tuples(st.integers(0, 50), OPERATIONS)))
    def test_each_request_ends_once_with_its_own_tokens_in_order(self, operations):
        engine = _engine(max_running=2)
        now_ms, submitted = 0, {}
        for passed_ms, operation in operations:
            now_ms += passed_ms
            if isinstance(operation, ChatRequest):
                number = engine.submit(operation, f"r{len(submitted)}", now_ms)
                submitted[number] = operation
            elif isinstance(operation, EngineFaults):
                engine.set_faults(operation, now_ms)
            else:
                engine.cancel(operation, now_ms)
        engine.set_faults(EngineFaults(), now_ms)
        emissions = engine.advance(now_ms + 10**6)
        for number, request in submitted.items():
            own = [emission for emission in emissions if emission.number == number]
            finishes = [emission.finish for emission in own if emission.finish]
            tokens = _tokens(own, number)
            expected = expected_tokens("m", MESSAGES, request.max_tokens)
            self.assertEqual(1, len(finishes))
            self.assertEqual(expected[: len(tokens)], tokens)
            self.assertEqual(finishes == ["length"], tokens == expected)
