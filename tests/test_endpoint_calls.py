import json

import testtools

from dotterelplank.links import endpoint_calls
from dotterelplank.links.messages import Header, Submit


def submit(**changes):
    fields = {
        "request_id": 1,
        "target": "drafting",
        "team": "crew",
        "ticket": b"",
        "deadline_ms": 1000.0,
        "priority": 0,
        "traceparent": "",
        "method": "POST",
        "path": "/v1/chat/completions",
        "headers": (Header("Host", "there"), Header("X-Survey", "wet")),
        "body": b'{"model": "drafting"}',
        "stream": True,
        "resume_from": 0,
    }
    return Submit(**{**fields, **changes})


class CallTests(testtools.TestCase):
    def body(self, **changes):
        call = endpoint_calls.build_call(submit(**changes), "name", "", 1000.0)
        return json.loads(call.body)

    def test_a_body_without_extra_fields_is_forwarded_unchanged(self):
        call = endpoint_calls.build_call(submit(), "name", "", 1000.0)
        self.assertEqual(submit().body, call.body)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        call = endpoint_calls.build_call(submit(), "name", "trace", 1000.0)
        names = [header.name for header in call.headers]
        self.assertEqual(["X-Survey", "X-Request-Id", "traceparent"], names)

    def test_a_resumed_stream_carries_the_number_of_received_tokens(self):
        self.assertEqual(5, self.body(resume_from=5)["resume_from"])

    def test_the_priority_is_set_unless_the_caller_gave_one(self):
        self.assertEqual(-4, self.body(priority=-4)["priority"])
        own = b'{"priority": 7}'
        self.assertEqual(7, self.body(priority=-4, body=own)["priority"])

    def test_the_body_for_a_plain_service_is_not_changed(self):
        request = submit(path="/closures", body=b"not JSON", priority=-4)
        call = endpoint_calls.build_call(request, "name", "", 1000.0)
        self.assertEqual(b"not JSON", call.body)
