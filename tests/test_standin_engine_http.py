import json

import testtools
import urllib3
from standin_client import Client, wait_until

from dotterelplank.standins import cli as standins
from dotterelplank.standins.engine import EngineFaults, EngineSettings, expected_tokens

MESSAGES = [{"role": "user", "content": "Name this shade."}]


def _chat(**members):
    return {"model": "m", "messages": MESSAGES, "max_tokens": 4, **members}


class EngineHttpTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        context = standins.serving_engine(EngineSettings(base_step_ms=2, max_running=1))
        self.engine, port = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.client = Client(port)

    def _call(self, **members):
        return self.client.call("POST", "/v1/chat/completions", _chat(**members))

    def test_an_unstreamed_response_joins_its_tokens(self):
        response = self._call().json
        content = "".join(expected_tokens("m", MESSAGES, 4))
        self.assertEqual(content, response["choices"][0]["message"]["content"])
        self.assertEqual(4, response["usage"]["completion_tokens"])

    def test_a_stream_has_one_token_per_chunk_and_an_explicit_end(self):
        events = self._call(stream=True).body.decode().split("\n\n")
        chunks = [json.loads(event[len("data: ") :]) for event in events[:4]]
        self.assertEqual([0, 1, 2, 3], [chunk["index_token"] for chunk in chunks])
        tokens = [chunk["choices"][0]["delta"]["content"] for chunk in chunks]
        self.assertEqual(expected_tokens("m", MESSAGES, 4), tokens)
        self.assertEqual(["data: [DONE]", ""], events[4:])

    def test_a_resume_after_the_last_token_yields_only_the_end(self):
        body = self._call(stream=True, resume_from=4).body
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual({}, self.client.call("GET", "/control/executions").json)

    def test_a_dying_engine_breaks_the_stream_off(self):
        self.engine.change_faults(EngineFaults(die_after_tokens=2))
        self.assertRaises(urllib3.exceptions.ProtocolError, self._call, stream=True)

    def test_a_disconnected_caller_frees_its_slot(self):
        call = _chat(stream=True, max_tokens=65536)
        stream = self.client.stream("/v1/chat/completions", call)
        stream.read(1)
        stream.close()
        self.assertEqual(200, self._call().status)

    def test_a_call_cancelled_before_its_first_token_is_refused(self):
        long_call = _chat(stream=True, max_tokens=65536)
        stream = self.client.stream(
            "/v1/chat/completions", long_call, X_Request_Id="running"
        )
        waiting = self.client.start(
            "POST", "/v1/chat/completions", _chat(), X_Request_Id="waiting"
        )
        wait_until(lambda: self.client.call("GET", "/v1/load").json["waiting"])
        report = self.client.call("DELETE", "/v1/requests/waiting").json
        self.assertEqual({"known": True, "started": False}, report)
        self.assertEqual(409, waiting.result().status)
        stream.close()

    def test_a_frozen_engine_answers_only_control_calls(self):
        self.client.call("POST", "/control/faults", {"freeze": True})
        load = self.client.start("GET", "/v1/load")
        self.assertEqual([], self.client.call("GET", "/control/orders").json)
        self.client.call("POST", "/control/faults", {"freeze": False})
        self.assertEqual(200, load.result().status)

    def test_an_order_is_executed_or_refused_with_the_highest_fence(self):
        order = {"kind": "change_role", "role": "prefill"}
        done = self.client.call("POST", "/v1/orders", {"fence": 2, **order})
        refused = self.client.call("POST", "/v1/orders", {"fence": 1, **order})
        self.assertEqual((200, 409), (done.status, refused.status))
        self.assertEqual(2, refused.json["highest_fence"])

    def test_invalid_calls_are_refused_with_a_result_code(self):
        calls = [{}, {"model": "m"}, _chat(max_tokens=0), _chat(messages=[])]
        for call in calls:
            response = self.client.call("POST", "/v1/chat/completions", call)
            self.assertEqual((400, 6001), (response.status, response.json["code"]))
