"""Map changes and planned maps with real agents and rank stand-ins, under faults."""

import contextlib
import json
import signal

import testtools
from processes import CONFIGURATION, HostSpec, pool, system, wait_until

from dotterelplank.standins import cli as standins
from dotterelplank.standins.store import StoreLimits

HOSTS = ("rank-1", "rank-2", "rank-3")
SPREAD = {"experts_by_rank": [[0, 1], [2, 3], [4, 5]]}
SWAPPED = {"experts_by_rank": [[4, 5], [0, 1], [2, 3]]}
THIRD = {"experts_by_rank": [[0, 5], [1, 4], [2, 3]]}
PLANNED = {
    "experts": 6,
    "slots_per_rank": 4,
    "expert_bytes": 1_000_000,
    "store_bytes_per_s": 1e9,
    "base_step_ms": 5.0,
    "window_ms": 1_500,
}
SETTINGS = {"ranks": 3, "experts": 6, "base_step_ms": 5.0, "map_version": None}


def configuration(expert_map, planned=None):
    group = {"name": "drafting", "hosts": list(HOSTS), "map": expert_map}
    if planned:
        group["planned"] = planned
    return json.dumps({**CONFIGURATION, "rank_groups": [group]})


class RankGroupCase(testtools.TestCase):
    """Starts a group of three ranks and their agents as processes."""

    planned = None

    def start(self, **settings):
        context = system()
        self.cluster = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        cluster = self.cluster
        cluster.ready(cluster.standin("platform", "platform"))
        options = json.dumps({**SETTINGS, **settings})
        cluster.ready(cluster.standin("group", "ranks", "--settings", options))
        self.publish(SPREAD)
        # Agents exchange heartbeats through entries, so one entry is needed.
        cluster.ready(cluster.entry(HostSpec("entry-1", "fd-1")))
        for host in HOSTS:
            self.start_agent(host)
        cluster.publish_hosts()
        self.wait_for_map(SPREAD)

    def start_agent(self, host):
        number = HOSTS.index(host)
        url = "http://" + self.cluster.processes["group"].ports["ranks"][number]
        agent = self.cluster.agent(
            HostSpec(host, "fd-1", "drafting"), "group", "rank", endpoint_url=url
        )
        self.cluster.ready(agent)

    def publish(self, expert_map):
        text = configuration(expert_map, self.planned)
        self.cluster.control("platform", "configuration", {"text": text})

    def maps(self):
        for address in self.cluster.processes["group"].ports["ranks"]:
            response = pool.request("GET", f"http://{address}/v1/rank/maps")
            yield response.json()

    def group(self):
        return self.cluster.read("group", "group")

    def is_map_used(self, expert_map):
        expected = expert_map["experts_by_rank"]
        return all(
            (view["map"] or {}).get("map", {}).get("experts_by_rank") == expected
            for view in self.maps()
        )

    def wait_for_map(self, expert_map):
        wait_until(lambda: self.is_map_used(expert_map), what="the map at all ranks")
        steps = self.group()["steps"]
        wait_until(lambda: self.group()["steps"] > steps + 5, what="further steps")

    def tearDown(self):
        # In every test, all ranks must use the same map in each step.
        self.assertEqual(0, self.group()["violations"])
        self.assertGreater(self.group()["steps"], 0)
        super().tearDown()


class MapDriverTests(RankGroupCase):
    def test_published_map_is_used_by_all_ranks_from_the_same_step(self):
        self.start()
        self.publish(SWAPPED)
        self.wait_for_map(SWAPPED)

    def test_agents_killed_and_replaced_during_changes(self):
        self.start()
        for number, expert_map in enumerate((SWAPPED, THIRD, SPREAD)):
            self.publish(expert_map)
            host = HOSTS[number]
            self.cluster.processes[host].kill()
            self.start_agent(host)
            self.cluster.publish_hosts()
            self.wait_for_map(expert_map)

    def test_replaced_rank_receives_the_map_of_its_group(self):
        self.start()
        self.publish(SWAPPED)
        self.wait_for_map(SWAPPED)
        address = self.cluster.processes["group"].ports["ranks"][1]
        pool.request("POST", f"http://{address}/control/ranks/1/replace", json={})
        self.wait_for_map(SWAPPED)

    def test_agent_paused_during_a_change_adopts_it_after_resuming(self):
        self.start()
        paused_agent = self.cluster.processes["rank-2"]
        paused_agent.signal(signal.SIGSTOP)
        self.publish(SWAPPED)
        steps = self.group()["steps"]
        wait_until(lambda: self.group()["steps"] > steps + 50, what="further steps")
        paused_agent.signal(signal.SIGCONT)
        self.wait_for_map(SWAPPED)

    def test_steps_continue_without_the_platform(self):
        self.start()
        self.publish(SWAPPED)
        self.wait_for_map(SWAPPED)
        self.cluster.processes["platform"].kill()
        steps = self.group()["steps"]
        wait_until(lambda: self.group()["steps"] > steps + 50, what="further steps")

    def test_delayed_order_at_an_engine_that_ignores_fencing(self):
        self.start(refuses_old_fences=False)
        address = self.cluster.processes["group"].ports["ranks"][0]
        url = f"http://{address}/control/ranks/0/faults"
        pool.request("POST", url, json={"order_delay_ms": 300})
        self.publish(SWAPPED)
        with contextlib.suppress(Exception):
            wait_until(lambda: self.is_map_used(SWAPPED), bound_s=0.5)
        self.cluster.processes["rank-1"].kill()
        self.start_agent("rank-1")
        self.cluster.publish_hosts()
        self.wait_for_map(SWAPPED)


class PlannedCase(RankGroupCase):
    planned = PLANNED

    def set_popularity(self, *weights):
        address = self.cluster.processes["group"].ports["ranks"][0]
        url = f"http://{address}/control/popularity"
        response = pool.request("POST", url, json={"weights": weights})
        self.assertEqual(200, response.status)

    def skew(self):
        times = [
            pool.request("GET", f"http://{address}/v1/rank").json()["step_ms"]
            for address in self.cluster.processes["group"].ports["ranks"]
        ]
        return max(times) / min(times)

    def wait_for_skew(self, bound):
        wait_until(lambda: self.skew() < bound, bound_s=60, what=f"skew of {bound}")

    def start_skewed(self):
        self.start(tokens_per_step=600)
        self.set_popularity(6, 1, 1, 1, 1, 1)
        wait_until(lambda: self.skew() > 1.5, what="skew")


class PlannedMapTests(PlannedCase):
    def test_agents_rebalance_after_popularity_changes(self):
        self.start_skewed()
        self.wait_for_skew(1.1)
        self.set_popularity(1, 1, 1, 1, 1, 6)
        wait_until(lambda: self.skew() > 1.3, what="skew")
        self.wait_for_skew(1.2)

    def test_rebalancing_continues_after_the_planner_is_killed(self):
        self.start_skewed()
        self.cluster.processes["rank-1"].kill()
        steps = self.group()["steps"]
        wait_until(lambda: self.group()["steps"] > steps + 50, what="further steps")
        self.start_agent("rank-1")
        self.cluster.publish_hosts()
        self.wait_for_skew(1.1)

    def test_published_map_replaces_a_planned_one(self):
        self.start_skewed()
        self.wait_for_skew(1.1)
        self.publish(THIRD)
        wait_until(self.is_published_map_used, what="the published map")
        self.wait_for_skew(1.1)

    def is_published_map_used(self):
        """Return whether all ranks use the second map or one planned from it."""
        return all(view["map"]["map"].get("revision") == 2 for view in self.maps())

    def test_newer_revision_with_the_same_map_keeps_the_planned_one(self):
        self.start_skewed()
        self.wait_for_skew(1.1)
        version = next(self.maps())["map"]["map_version"]
        self.publish(SPREAD)
        wait_until(
            lambda: all(
                self.cluster.status(host)["configuration_revision"] == 2
                for host in HOSTS
            ),
            what="the revision at all agents",
        )
        steps = self.group()["steps"]
        wait_until(lambda: self.group()["steps"] > steps + 100, what="further steps")
        self.assertEqual(version, next(self.maps())["map"]["map_version"])


class StoredExpertsTests(PlannedCase):
    """Tests planned maps whose moved experts are loaded from a weight store."""

    def start(self, **settings):
        context = standins.serving_store()
        self.store, port = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.planned = {**PLANNED, "store_url": f"http://127.0.0.1:{port}"}
        super().start(**settings)

    def test_moved_experts_are_loaded_first(self):
        self.start_skewed()
        self.wait_for_skew(1.1)
        self.assertGreaterEqual(self.store.counts().bytes, 2 * 1_000_000)

    def test_steps_continue_on_the_old_map_while_the_store_is_down(self):
        self.start(tokens_per_step=600)
        self.store.change_limits(StoreLimits(down=True))
        self.set_popularity(6, 1, 1, 1, 1, 1)
        wait_until(lambda: self.has_failed_fetch(), what="a fetch that failed")
        steps = self.group()["steps"]
        wait_until(lambda: self.group()["steps"] > steps + 300, what="further steps")
        self.assertTrue(self.is_map_used(SPREAD))
        self.store.change_limits(StoreLimits(down=False))
        self.wait_for_skew(1.1)

    def has_failed_fetch(self):
        return any(
            "store-unread" in str(event) for event in self.cluster.events("rank-1")
        )
