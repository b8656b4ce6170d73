import testtools
from standin_client import Client

from dotterelplank import errors
from dotterelplank.standins import cli as standins
from dotterelplank.standins.platform import (
    HostChange,
    HostEntry,
    PlatformFaults,
    PlatformState,
)


def _host(name, state="live"):
    return HostEntry(host=name, port=7000, domain="a", role="agent", state=state)


class PlatformStateTests(testtools.TestCase):
    def test_each_publication_is_a_revision(self):
        state = PlatformState()
        revisions = [state.publish(text).revision for text in ("one", "one")]
        self.assertEqual([1, 2], revisions)
        self.assertEqual("one", state.configuration().text)

    def test_an_older_revision_can_be_served(self):
        state = PlatformState()
        for text in ("one", "two"):
            state.publish(text)
        state.set_faults(PlatformFaults(serve_revision=1))
        self.assertEqual((1, "one"), _revision_and_text(state.configuration()))

    def test_a_text_above_one_megabyte_is_refused(self):
        refusal = self.assertRaises(
            errors.StandinRefusalError, PlatformState().publish, "x" * (1024**2 + 1)
        )
        self.assertEqual(413, refusal.status)

    def test_the_list_of_hosts_has_the_configured_age(self):
        state = PlatformState()
        state.set_faults(PlatformFaults(hosts_lag_ms=500))
        state.replace_hosts([_host("a")], now_ms=1000)
        self.assertEqual(0, state.hosts(now_ms=1499).version)
        self.assertEqual(1, state.hosts(now_ms=1500).version)

    def test_a_host_is_listed_once(self):
        state = PlatformState()
        state.replace_hosts([_host("a")], now_ms=0)
        state.change_host("a", HostChange(state="leaving"), now_ms=0)
        expected = [_host("a", "leaving")]
        self.assertEqual(expected, list(state.hosts(0).hosts))
        state.delete_host("a", now_ms=0)
        self.assertEqual(0, len(state.hosts(0).hosts))


def _revision_and_text(configuration):
    return configuration.revision, configuration.text


class PlatformHttpTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        context = standins.serving_platform()
        self.platform, port = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.client = Client(port)

    def test_a_watch_ends_when_a_newer_revision_is_published(self):
        self.client.call("POST", "/control/configuration", {"text": "one"})
        watch = self.client.start("GET", "/v1/configuration?after=1&wait_ms=60000")
        self.client.call("POST", "/control/configuration", {"text": "two"})
        self.assertEqual({"revision": 2, "text": "two"}, watch.result().json)

    def test_a_watch_without_a_change_ends_empty_and_counts_once(self):
        response = self.client.call("GET", "/v1/hosts?after=0&wait_ms=1")
        self.assertEqual(204, response.status)
        counts = self.client.call("GET", "/control/counts").json
        self.assertEqual({"configuration": 0, "hosts": 1}, counts)

    def test_concurrent_publications_get_distinct_revisions(self):
        calls = [
            self.client.start("POST", "/control/configuration", {"text": str(number)})
            for number in range(8)
        ]
        revisions = sorted(call.result().json["revision"] for call in calls)
        self.assertEqual(list(range(1, 9)), revisions)

    def test_a_platform_that_is_down_refuses_its_watchers(self):
        watch = self.client.start("GET", "/v1/configuration?after=0&wait_ms=60000")
        self.client.call("POST", "/control/faults", {"down": True})
        self.assertEqual(503, watch.result().status)

    def test_invalid_calls_are_refused_with_a_result_code(self):
        calls = [
            ("PUT", "/control/hosts", {"no": "list"}),
            ("PUT", "/control/hosts/a", {"state": "leaving"}),
            ("PUT", "/control/hosts/a", {"host": "b"}),
            ("DELETE", "/control/hosts/a", None),
            ("POST", "/control/faults", {"unknown": 1}),
            ("GET", "/v1/configuration?after=-1", None),
            ("POST", "/control/faults", {"serve_revision": 9}),
            ("GET", "/nowhere", None),
            ("PATCH", "/v1/hosts", None),
        ]
        for method, path, body in calls:
            response = self.client.call(method, path, body)
            self.assertEqual(4, response.status // 100, path)
            self.assertGreater(response.json["code"], 6000)
