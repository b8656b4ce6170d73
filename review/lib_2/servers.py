"""Runs the stand-ins of servers, and registers them in the store as they would."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import time

REVIEW = pathlib.Path(__file__).resolve().parents[1]
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
"""Time after which the store removes the entry of a server that sends nothing."""
RESTART_S = 2.0
"""Time until a server that has crashed is back, as a new boot with a new id."""


class Servers:
    """The servers of one service.

    :param on_line: called with each line that a server prints, decoded.
    :param deadly: the part of a prompt that crashes the servers.
    :param how: ``unframed`` for answers with neither a length nor chunks.
    """

    def __init__(self, store, service, zones, on_line, deadly="none", how="framed"):
        self._store, self._service = store, service
        self._zones, self._on_line = zones, on_line
        self._words = (deadly, how)
        self._tasks = []
        self._processes = {}
        self._boots = 0
        self.restart_s = RESTART_S
        self.entries = {}
        self._is_ending = False
        self.crashes = 0
        self.up = 0

    def start(self, addresses):
        """Run a server at each address, again and again if it crashes."""
        for number, (ip, port) in enumerate(addresses):
            zone = self._zones[number % len(self._zones)]
            self._tasks.append(asyncio.create_task(self._keep(ip, port, zone)))

    def start_one(self, ip, port, zone, name):
        """Run one more server, with an id, and don't restart it when it ends."""
        born = int(time.time() * 1000)
        self._tasks.append(asyncio.create_task(self._run(name, ip, port, zone, born)))

    def leave(self, name):
        """Let a server leave that doesn't report it: it serves on without its entry."""
        self._processes[name].send_signal(signal.SIGUSR1)
        self._store.put(f"servers/{name}", None)

    def crash(self, name):
        """Crash the server with an id."""
        self._processes[name].kill()

    async def end(self):
        """End all servers."""
        self._is_ending = True
        for process in list(self._processes.values()):
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in list(self._processes.values()):
            await process.wait()

    async def _keep(self, ip, port, zone):
        while not self._is_ending:
            self._boots += 1
            born = int(time.time() * 1000)
            name = f"i-{self._boots:04x}{born & 0xffff:04x}"
            await self._run(name, ip, port, zone, born)
            self.up -= 1
            if self._is_ending:
                return
            self.crashes += 1
            self._tasks.append(asyncio.create_task(self._lapse(name)))
            await asyncio.sleep(self.restart_s)

    async def _lapse(self, name):
        await asyncio.sleep(LAPSE_S)
        self._store.put(f"servers/{name}", None)

    async def _run(self, name, ip, port, zone, born):
        words = [sys.executable, "-m", "lib_2.server", name, ip, str(port)]
        process = await asyncio.create_subprocess_exec(
            *words,
            *self._words,
            cwd=REVIEW,
            stdout=asyncio.subprocess.PIPE,
            env={"PATH": os.environ["PATH"], "PYTHONDONTWRITEBYTECODE": "1"},
        )
        self._processes[name] = process
        async for line in process.stdout:
            found = json.loads(line)
            if found["what"] == "listens":
                self.up += 1
                self._register(name, ip, port, zone, born)
            self._on_line(found)
        await process.wait()
        del self._processes[name]

    def _register(self, name, ip, port, zone, born):
        entry = {
            "service": self._service,
            "address": f"{ip}:{port}",
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": born,
        }
        self.entries[name] = entry
        self._store.put(f"servers/{name}", entry)
