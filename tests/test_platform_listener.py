"""The callers' listener, which is open before the program is loaded."""

import json
import pathlib
import socket
import subprocess
import sys
import tempfile

import testtools
from entry_process import SOURCES, free_ports

from dotterelplank.platform import listener, settings_file

IP = "127.0.0.1"


class ListenerTests(testtools.TestCase):
    def _open(self, content):
        """Open the listener of the settings ``content``."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "settings.json"
        path.write_text(content)
        self.patch(
            settings_file.os, "environ", {settings_file.PATH_VARIABLE: str(path)}
        )
        found = listener.open_early()
        if found is not None:
            self.addCleanup(found.close)
        return found

    def _open_at(self, address):
        return self._open(json.dumps({"listen": {"frontend": address}}))

    def test_callers_connect_and_send_before_anything_is_accepted(self):
        (port,) = free_ports(IP, 1)
        found = self._open_at(f"{IP}:{port}")
        with socket.create_connection((IP, port), 1.0) as caller:
            caller.sendall(b"call")
            accepted, _ = found.accept()
            with accepted:
                self.assertEqual(b"call", accepted.recv(4))

    def test_settings_without_a_usable_address_open_none(self):
        for content in ("", "[]", "{}", '{"listen": {}}', '{"listen": null}'):
            self.assertIsNone(self._open(content), content)
        for address in (None, 7, "", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000"):
            self.assertIsNone(self._open_at(address), address)

    def test_an_address_in_use_opens_none(self):
        with socket.create_server((IP, 0)) as taken:
            self.assertIsNone(self._open_at(f"{IP}:{taken.getsockname()[1]}"))

    def test_no_settings_file_opens_none(self):
        self.patch(settings_file.os, "environ", {})
        self.assertIsNone(listener.open_early())

    def test_little_is_loaded_before_the_listener_opens(self):
        code = "import sys, dotterelplank.platform.__main__; print(*sys.modules)"
        command = [sys.executable, "-c", code]
        environment = {"PYTHONPATH": f"{SOURCES}"}
        loaded = subprocess.run(
            command, env=environment, capture_output=True, check=True, text=True
        ).stdout.split()
        self.assertEqual(set(), {"asyncio", "pydantic"} & set(loaded))
