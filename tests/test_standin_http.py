import json
import socket

import hypothesis
import hypothesis.strategies as st
import testtools
from standin_client import Client, wait_until

from dotterelplank import errors
from dotterelplank.standins import (
    cli as standins,
    http as standin_http,
    platform as standin_platform,
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


class RequestTests(testtools.TestCase):
    @hypothesis.given(body=JSON)
    def test_any_json_is_read_or_refused(self, body):
        request = standin_http.Request(
            "POST", "/", {}, {}, {}, json.dumps(body).encode()
        )
        try:
            request.read(standin_platform.PlatformFaults)
        except errors.StandinRefusalError as refusal:
            self.assertEqual((400, 6001), (refusal.status, refusal.code))


class ServerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        context = standins.serving_platform(threads=6)
        _, self.port = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.client = Client(self.port)

    def _send_raw(self, data):
        with socket.create_connection(("127.0.0.1", self.port)) as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            return connection.recv(4096)

    def _configuration_reads(self):
        return self.client.call("GET", "/control/counts").json["configuration"]

    def test_the_server_survives_malformed_requests(self):
        for data in (b"", b"\0" * 64, b"GET\r\n\r\n", b"POST / HTTP/1.1\r\n"):
            self._send_raw(data)
        self.assertEqual(200, self.client.call("GET", "/v1/hosts").status)

    def test_an_oversized_body_is_refused(self):
        text = "x" * (standin_http.MAX_BODY_BYTES + 1)
        response = self.client.call("POST", "/control/configuration", {"text": text})
        self.assertEqual((413, 6004), (response.status, response.json["code"]))

    def test_calls_are_refused_immediately_when_all_threads_are_busy(self):
        path = "/v1/configuration?after=0&wait_ms=60000"
        watches = [self.client.start("GET", path) for _ in range(2)]
        wait_until(lambda: self._configuration_reads() == 2)
        response = self.client.call("GET", "/v1/hosts")
        self.assertEqual((503, 6005), (response.status, response.json["code"]))
        self.client.call("POST", "/control/configuration", {"text": "one"})
        self.assertEqual({200}, {watch.result().status for watch in watches})
        self.assertEqual(200, self.client.call("GET", "/v1/hosts").status)

    def test_a_disconnected_watcher_frees_its_thread(self):
        for _ in range(2):
            head = (
                b"GET /v1/configuration?after=0&wait_ms=60000 HTTP/1.1\r\nHost: a\r\n"
            )
            with socket.create_connection(("127.0.0.1", self.port)) as connection:
                connection.sendall(head + b"\r\n")
        wait_until(lambda: self._configuration_reads() == 2)
        wait_until(lambda: self.client.call("GET", "/v1/hosts").status == 200)
