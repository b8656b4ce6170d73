"""Stateful test of revisions under faults.

Adopted revisions only increase and reach every process, with few platform readers.
"""

import collections

import hypothesis
from fleet import FleetMachine
from hypothesis import stateful, strategies as st

from dotterelplank.members import revision_messages as rm, revisions

CONFIGURATION = rm.Document.CONFIGURATION
MAX_DOMAIN_ADOPTION_MS = 3_000
MAX_FLEET_ADOPTION_MS = 10_000
REACH = collections.Counter()


class RevisionsMachine(FleetMachine):
    """Publishes good and bad revisions while faults occur."""

    reach = REACH

    def __init__(self):
        self.newest = 1
        self.in_force = {}
        self.witnesses = {}
        super().__init__()

    def observe(self, process, what):
        host = process.peer.host
        if isinstance(what, rm.Report):
            self.reach[what.event.name] += 1
        if not isinstance(what, rm.Adopt) or what.document is not CONFIGURATION:
            return
        assert not what.text.startswith("bad")
        before = self.in_force.get((host, process.incarnation), 0)
        assert what.revision > before
        if not before and host in self.witnesses:
            adopted = self.witnesses.pop(host).values()
            assert what.revision >= max(adopted, default=0)
            self.reach["first after restart"] += 1
        self.in_force[host, process.incarnation] = what.revision

    def adopted(self, process):
        return revisions.adopted_revision(process.revisions[CONFIGURATION])

    def on_restart(self, host):
        self.in_force.pop(host, None)
        # A restarted process must not adopt a lower revision than its witnesses have.
        # A peer is a witness until it crashes, pauses or is cut off.
        self.witnesses[host] = {
            peer.peer.host: self.adopted(peer)
            for peer in self.live()
            if peer.peer.host != host and self.loop.reaches(host, peer.peer.host)
        }

    def on_crash(self, host):
        self.witnesses.pop(host, None)
        if self.loop.processes[host].revisions[CONFIGURATION].reader:
            self.reach["reader crashed"] += 1
        for adopted in self.witnesses.values():
            adopted.pop(host, None)

    def on_pause(self, process):
        self.witnesses.pop(process.peer.host, None)
        for adopted in self.witnesses.values():
            adopted.pop(process.peer.host, None)

    def on_cut(self):
        for host, adopted in self.witnesses.items():
            for other in list(adopted):
                if not self.loop.reaches(host, other):
                    del adopted[other]

    @stateful.rule(step=st.integers(1, 3), kind=st.sampled_from(("good", "bad")))
    def publish(self, step, kind):
        self.newest += step
        text = f"{kind} {self.newest}"
        self.loop.publish(CONFIGURATION, self.newest, text)

    @stateful.rule(gap_ms=st.integers(0, 60))
    def publish_twice_at_once(self, gap_ms):
        self.publish(1, "good")
        self.loop.run(gap_ms)
        self.publish(1, "good")

    @stateful.rule()
    def publish_one_revision_with_two_texts(self):
        self.calm()
        self.newest += 1
        texts = {CONFIGURATION: (self.newest, f"good {self.newest} twin")}
        self.loop.platform.stale["d1"] = texts
        self.loop.publish(CONFIGURATION, self.newest, f"good {self.newest}")
        self.pass_time(1_000)

    @stateful.rule(domain=st.sampled_from(("d0", "d1")))
    def go_stale(self, domain):
        self.publish(1, "good")
        self.pass_time(500)
        self.loop.platform.stale[domain] = {CONFIGURATION: (1, "good 1")}
        self.loop.fail_waiting_reads()
        self.pass_time(500)

    @stateful.rule(domain=st.sampled_from(("d0", "d1")))
    def cut_platform(self, domain):
        self.reach["platform cut"] += 1
        self.loop.platform.cut.add(domain)

    @stateful.rule()
    def platform_down(self):
        self.loop.platform.down = True

    @stateful.rule()
    def platform_up(self):
        self.loop.platform.down = False

    @stateful.rule()
    def converge(self):
        self.calm()
        self.pass_time(MAX_FLEET_ADOPTION_MS)
        adopted = {self.adopted(process) for process in self.loop.processes.values()}
        assert len(adopted) == 1
        self._assert_readers()
        self.newest += 1
        self.loop.publish(CONFIGURATION, self.newest, f"good {self.newest}")
        self.pass_time(MAX_DOMAIN_ADOPTION_MS)
        adopted = {self.adopted(process) for process in self.loop.processes.values()}
        assert adopted == {self.newest}
        self.reach["converged"] += 1

    def _assert_readers(self):
        for domain in ("d0", "d1"):
            readers = [
                process
                for process in self.loop.processes.values()
                if process.peer.domain == domain
                and process.revisions[CONFIGURATION].reader
            ]
            assert 1 <= len(readers) <= 3

    def teardown(self):
        self.publish_one_revision_with_two_texts()
        self.converge()


def test_revisions_only_increase_and_reach_all_processes():
    REACH.clear()
    settings = hypothesis.settings(
        max_examples=15, stateful_step_count=25, phases=[hypothesis.Phase.generate]
    )
    stateful.run_state_machine_as_test(RevisionsMachine, settings=settings)
    print(dict(REACH))
    for name in (
        "revision-adopted",
        "revision-refused",
        "refused-elsewhere",
        "revision-conflict",
        "stale-read",
        "platform-unread",
        "first after restart",
        "reader crashed",
        "pause",
        "clock",
        "cut",
        "converged",
    ):
        assert REACH[name], name
