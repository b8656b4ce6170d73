import json
import os
import pathlib
import signal
import subprocess
import sys

import testtools
from standin_client import Client

SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src"
RUN_CLI = "from dotterelplank.standins.cli import app; app()"


class CommandTests(testtools.TestCase):
    def _start(self, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-c", RUN_CLI, *arguments],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(SOURCE)},
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, json.loads(process.stdout.readline())

    def _port_of(self, text):
        address, port = text.split(":")
        self.assertEqual("127.0.0.1", address)
        return int(port)

    def test_each_command_prints_its_address_and_stops_on_sigterm(self):
        commands = [
            ("platform",),
            ("engine", "--settings", '{"models": ["m"]}'),
            ("ranks", "--settings", '{"ranks": 2}'),
            ("store",),
            ("service",),
            ("proxy", "--target", "127.0.0.1:1"),
        ]
        started = [self._start(*command) for command in commands]
        for (process, line), command in zip(started, commands):
            address = line.get("control", line["listening"])
            response = Client(self._port_of(address)).call("GET", "/control/unheard-of")
            self.assertEqual((404, 6002), (response.status, response.json["code"]))
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(), command)

    def test_a_group_lists_the_ports_of_its_ranks(self):
        _, line = self._start("ranks", "--settings", '{"ranks": 3}')
        self.assertEqual(3, len({self._port_of(address) for address in line["ranks"]}))
        self.assertEqual(line["listening"], line["ranks"][0])
